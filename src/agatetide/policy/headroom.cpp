#include "agatetide/policy/headroom.hpp"

#include <algorithm>

namespace agatetide::policy {

namespace {

bool BelowShare(size_t aUsed, size_t aLimit, double aShare)
{
  const auto allowed =
    static_cast<size_t>(static_cast<double>(aLimit) * aShare);
  return aUsed < std::max<size_t>(1, allowed);
}

} // namespace

bool MayTakeSlot(RequestClass aClass,
                 const SlotUsage& aUsage,
                 const HeadroomOptions& aOptions)
{
  if (aUsage.mRunning >= aUsage.mLimit) {
    return false;
  }
  if (!aOptions.mEnabled) {
    return true;
  }
  if (!BelowShare(
        aUsage.mRunningOfAccount, aUsage.mLimit, aOptions.mAccountShare)) {
    return false;
  }
  switch (aClass) {
    case RequestClass::Urgent:
      return true;
    case RequestClass::Trainer:
      return BelowShare(
        aUsage.mRunningNonUrgent, aUsage.mLimit, aOptions.mTrainerShare);
    case RequestClass::Background:
      return BelowShare(aUsage.mRunningBackground,
                        aUsage.mLimit,
                        aOptions.mBackgroundShare) &&
             BelowShare(
               aUsage.mRunningNonUrgent, aUsage.mLimit, aOptions.mTrainerShare);
  }
  return true;
}

} // namespace agatetide::policy
