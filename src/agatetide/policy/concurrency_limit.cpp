#include "agatetide/policy/concurrency_limit.hpp"

#include <algorithm>

namespace agatetide::policy {

bool ConcurrencyLimit::Observe(std::string_view aReplica,
                               Duration aLatency,
                               LimitUsage aUsage,
                               TimePoint aNow)
{
  if (mOptions.mPolicy == LimitPolicy::Fixed || aLatency <= Duration::zero()) {
    return false;
  }
  // Requests sent under the previous limit do not reflect the current one;
  // counting them would make the limit fall far too low.
  if (aNow - aLatency < mLastAdjustment) {
    return false;
  }
  const Duration lowest = UpdateBaseline(aReplica, aLatency, aNow);
  const double ratio =
    static_cast<double>(lowest.count()) / static_cast<double>(aLatency.count());
  ++mObservedCount;
  mLatencyRatioSum += ratio;
  const bool queued = ratio * mOptions.mQueueingRatio < 1.0 &&
                      aLatency - lowest > mOptions.mLatencyTolerance;
  mQueuedCount += queued ? 1 : 0;
  mMaxUsage = std::max(mMaxUsage, aUsage);
  return mObservedCount >= mOptions.mWindowSize && Adjust(aNow);
}

Duration ConcurrencyLimit::UpdateBaseline(std::string_view aReplica,
                                          Duration aLatency,
                                          TimePoint aNow)
{
  auto found = mBaselines.find(aReplica);
  if (found == mBaselines.end()) {
    const Baseline first{ aLatency, aLatency, aNow };
    found = mBaselines.emplace(std::string(aReplica), first).first;
  }
  Baseline& baseline = found->second;
  if (aNow - baseline.mPeriodStart > mOptions.mBaselineLifetime) {
    baseline = { baseline.mNextLowest, aLatency, aNow };
  }
  baseline.mLowest = std::min(baseline.mLowest, aLatency);
  baseline.mNextLowest = std::min(baseline.mNextLowest, aLatency);
  return baseline.mLowest;
}

bool ConcurrencyLimit::Adjust(TimePoint aNow)
{
  const double queued =
    static_cast<double>(mQueuedCount) / static_cast<double>(mObservedCount);
  const double before = mLimitPerReplica;
  // Latency says nothing about a limit that is not used, so it is then left
  // unchanged. After the startup the limit grows only when all slots are taken,
  // those that headroom reserves included.
  if (mMaxUsage != LimitUsage::BelowLimit &&
      queued > mOptions.mMaxQueuedShare) {
    const double ratio = mLatencyRatioSum / static_cast<double>(mObservedCount);
    mLimitPerReplica *= std::max(ratio, mOptions.mMinDecreaseFactor);
    mStartup = false;
  } else if (mMaxUsage == LimitUsage::AtLimit ||
             (mStartup && mMaxUsage == LimitUsage::RequestsWaiting)) {
    mLimitPerReplica = mStartup
                         ? mLimitPerReplica * mOptions.mStartupGrowthFactor
                         : mLimitPerReplica + mOptions.mIncrement;
  }
  mLimitPerReplica =
    std::clamp(mLimitPerReplica, mOptions.mMinLimit, mOptions.mMaxLimit);
  mLastAdjustment = aNow;
  mObservedCount = 0;
  mQueuedCount = 0;
  mLatencyRatioSum = 0.0;
  mMaxUsage = LimitUsage::BelowLimit;
  return mLimitPerReplica != before;
}

size_t ConcurrencyLimit::Limit(size_t aReplicas) const
{
  const double limit = mLimitPerReplica * static_cast<double>(aReplicas);
  return std::max<size_t>(1, static_cast<size_t>(limit));
}

} // namespace agatetide::policy
