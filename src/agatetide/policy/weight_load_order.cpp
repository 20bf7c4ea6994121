#include "agatetide/policy/weight_load_order.hpp"

#include <algorithm>

namespace agatetide::policy {

void SortWeightLoads(std::vector<PendingWeightLoad>& aLoads,
                     WeightLoadPriority aPriority)
{
  if (aPriority == WeightLoadPriority::Unsorted) {
    return;
  }
  std::stable_sort(
    aLoads.begin(),
    aLoads.end(),
    [](const PendingWeightLoad& aLeft, const PendingWeightLoad& aRight) {
      if (aLeft.mVersionLag != aRight.mVersionLag) {
        return aLeft.mVersionLag > aRight.mVersionLag;
      }
      return aLeft.mModelLastOrdered < aRight.mModelLastOrdered;
    });
}

} // namespace agatetide::policy
