#include "agatetide/policy/reachability.hpp"

#include <algorithm>

namespace agatetide::policy {

Reachability::Reachability(ReachabilityOptions aOptions)
  : mOptions(aOptions)
{
}

bool Reachability::CheckDue(TimePoint aNow) const
{
  return (mSuspected || mCutOff) && aNow >= mNextCheck;
}

bool Reachability::RecordCheck(size_t aTried, size_t aReached, TimePoint aNow)
{
  const bool wasCutOff = mCutOff;
  mSuspected = false;
  if (aTried > 0) {
    mCutOff = mCutOff ? aReached < std::min(mOptions.mRestoredReplicas, aTried)
                      : aReached == 0;
  }
  mNextCheck =
    aNow + (mCutOff ? mOptions.mRecheckInterval : mOptions.mCheckInterval);
  return mCutOff != wasCutOff;
}

} // namespace agatetide::policy
