#include "agatetide/policy/move_order.hpp"

#include <algorithm>

namespace agatetide::policy {

void OrderMoves(std::vector<PendingMove>& aMoves, MoveOrderPolicy aPolicy)
{
  if (aPolicy == MoveOrderPolicy::AsFound) {
    return;
  }
  std::stable_sort(aMoves.begin(),
                   aMoves.end(),
                   [](const PendingMove& aLeft, const PendingMove& aRight) {
                     if (aLeft.mLag != aRight.mLag) {
                       return aLeft.mLag > aRight.mLag;
                     }
                     return aLeft.mModelMoved < aRight.mModelMoved;
                   });
}

} // namespace agatetide::policy
