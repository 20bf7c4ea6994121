#include "agatetide/request/request_limits.hpp"

#include "agatetide/base/event_log.hpp"

namespace agatetide::request {

namespace {

/// Period over which the requests to a limited replica are counted in the log.
constexpr std::chrono::seconds kCountPeriod{ 4 };

} // namespace

RequestLimits::RequestLimits(Clock aClock)
  : mClock(std::move(aClock))
{
}

void RequestLimits::Record(std::string_view aReplicaId,
                           const LimitReport& aReport)
{
  const auto found = mLimits.find(aReplicaId);
  const TimePoint now = mClock();
  if (!aReport.mRequestsPerSecond) {
    if (found != mLimits.end() && aReport.mSentAt > found->second.mNamedAt) {
      LogEvent("replica_limit_ended").Field("replica", aReplicaId).Write();
      mLimits.erase(found);
    }
    return;
  }
  if (found == mLimits.end() ||
      found->second.mRequestsPerSecond != *aReport.mRequestsPerSecond) {
    LogEvent("replica_limit")
      .Field("replica", aReplicaId)
      .Field("requests_per_second", *aReport.mRequestsPerSecond)
      .Write();
  }
  Limit& limit =
    found == mLimits.end()
      ? mLimits.emplace(std::string(aReplicaId), Limit{}).first->second
      : found->second;
  if (limit.mCountStart == TimePoint{}) {
    limit.mCountStart = now;
  }
  limit.mRequestsPerSecond = *aReport.mRequestsPerSecond;
  limit.mNamedAt = now;
}

void RequestLimits::CountSent(std::string_view aReplicaId)
{
  const auto found = mLimits.find(aReplicaId);
  if (found == mLimits.end()) {
    return;
  }
  Limit& limit = found->second;
  ++limit.mSentCount;
  if (mClock() - limit.mCountStart < kCountPeriod) {
    return;
  }
  LogEvent("limited_replica_requests")
    .Field("replica", aReplicaId)
    .Field("requests_per_second", limit.mRequestsPerSecond)
    .Field("sent", limit.mSentCount)
    .Field("ms",
           static_cast<int64_t>(std::chrono::duration_cast<Milliseconds>(
                                  mClock() - limit.mCountStart)
                                  .count()))
    .Write();
  limit.mSentCount = 0;
  limit.mCountStart = mClock();
}

} // namespace agatetide::request
