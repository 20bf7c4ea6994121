#include "agatetide/policy/weight_load_order.hpp"

#include <algorithm>

namespace agatetide::policy {

void SortWeightLoads(std::vector<PendingWeightLoad>& aMoves,
                     WeightLoadOrder aPolicy)
{
  if (aPolicy == WeightLoadOrder::Unsorted) {
    return;
  }
  std::stable_sort(
    aMoves.begin(),
    aMoves.end(),
    [](const PendingWeightLoad& aLeft, const PendingWeightLoad& aRight) {
      if (aLeft.mVersionLag != aRight.mVersionLag) {
        return aLeft.mVersionLag > aRight.mVersionLag;
      }
      return aLeft.mModelLastOrdered < aRight.mModelLastOrdered;
    });
}

} // namespace agatetide::policy
