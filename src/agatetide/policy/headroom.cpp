#include "agatetide/policy/headroom.hpp"

#include <algorithm>

namespace agatetide::policy {

namespace {

bool Within(size_t aUsed, size_t aLimit, double aShare)
{
  const auto allowed =
    static_cast<size_t>(static_cast<double>(aLimit) * aShare);
  return aUsed < std::max<size_t>(1, allowed);
}

} // namespace

bool MayTakeSlot(RequestClass aClass,
                 const SlotUsage& aUse,
                 const HeadroomOptions& aOptions)
{
  if (aUse.mRunning >= aUse.mLimit) {
    return false;
  }
  if (!aOptions.mEnabled) {
    return true;
  }
  if (!Within(aUse.mRunningOfAccount, aUse.mLimit, aOptions.mAccountShare)) {
    return false;
  }
  switch (aClass) {
    case RequestClass::Urgent:
      return true;
    case RequestClass::Trainer:
      return Within(
        aUse.mRunningDeferrable, aUse.mLimit, aOptions.mTrainerShare);
    case RequestClass::Background:
      return Within(aUse.mRunningBackground,
                    aUse.mLimit,
                    aOptions.mBackgroundShare) &&
             Within(
               aUse.mRunningDeferrable, aUse.mLimit, aOptions.mTrainerShare);
  }
  return true;
}

} // namespace agatetide::policy
