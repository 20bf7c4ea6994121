#include "agatetide/policy/concurrency_limit.hpp"

#include <algorithm>

namespace agatetide::policy {

bool ConcurrencyLimit::Observe(std::string_view aReplica,
                               Duration aLatency,
                               LimitUsage aUse,
                               TimePoint aNow)
{
  if (mOptions.mPolicy == LimitPolicy::Fixed || aLatency <= Duration::zero()) {
    return false;
  }
  // Requests that were sent under an earlier limit tell nothing about this
  // one; counting them makes the limit fall far too low.
  if (aNow - aLatency < mChanged) {
    return false;
  }
  const Duration lowest = Lowest(aReplica, aLatency, aNow);
  const double ratio =
    static_cast<double>(lowest.count()) / static_cast<double>(aLatency.count());
  ++mAnswers;
  mRatios += ratio;
  const bool queued = ratio * mOptions.mQueueingRatio < 1.0 &&
                      aLatency - lowest > mOptions.mLatencyTolerance;
  mQueuedAnswers += queued ? 1 : 0;
  mUse = std::max(mUse, aUse);
  return mAnswers >= mOptions.mWindowSize && Adjust(aNow);
}

Duration ConcurrencyLimit::Lowest(std::string_view aReplica,
                                  Duration aLatency,
                                  TimePoint aNow)
{
  auto found = mBaselines.find(aReplica);
  if (found == mBaselines.end()) {
    const Baseline first{ aLatency, aLatency, aNow };
    found = mBaselines.emplace(std::string(aReplica), first).first;
  }
  Baseline& baseline = found->second;
  if (aNow - baseline.mSince > mOptions.mBaselineLifetime) {
    baseline = { baseline.mNext, aLatency, aNow };
  }
  baseline.mLowest = std::min(baseline.mLowest, aLatency);
  baseline.mNext = std::min(baseline.mNext, aLatency);
  return baseline.mLowest;
}

bool ConcurrencyLimit::Adjust(TimePoint aNow)
{
  const double queued =
    static_cast<double>(mQueuedAnswers) / static_cast<double>(mAnswers);
  const double before = mPerReplica;
  // A limit that is not in use tells nothing about a higher or lower one, and
  // slots that headroom keeps free leave room to grow only when they are used.
  if (mUse != LimitUsage::BelowLimit && queued > mOptions.mMaxQueuedShare) {
    const double ratio = mRatios / static_cast<double>(mAnswers);
    mPerReplica *= std::max(ratio, mOptions.mMinDecreaseFactor);
    mStarting = false;
  } else if (mUse == LimitUsage::AtLimit ||
             (mStarting && mUse == LimitUsage::RequestsWaiting)) {
    mPerReplica = mStarting ? mPerReplica * mOptions.mStartupGrowthFactor
                            : mPerReplica + mOptions.mIncrement;
  }
  mPerReplica = std::clamp(mPerReplica, mOptions.mMinLimit, mOptions.mMaxLimit);
  mChanged = aNow;
  mAnswers = 0;
  mQueuedAnswers = 0;
  mRatios = 0.0;
  mUse = LimitUsage::BelowLimit;
  return mPerReplica != before;
}

size_t ConcurrencyLimit::Limit(size_t aReplicas) const
{
  const double limit = mPerReplica * static_cast<double>(aReplicas);
  return std::max<size_t>(1, static_cast<size_t>(limit));
}

} // namespace agatetide::policy
