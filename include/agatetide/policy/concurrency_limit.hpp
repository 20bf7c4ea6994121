#pragma once

#include "agatetide/base/clock.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace agatetide::policy {

enum class LimitPolicy
{
  Fixed,
  Adaptive,
};

/// @brief How far a concurrency limit is used.
enum class LimitUsage
{
  /// Slots are free and no request waits.
  BelowLimit,
  /// Requests wait although slots are free: headroom reserves these.
  RequestsWaiting,
  /// All slots are taken.
  AtLimit,
};

struct ConcurrencyLimitOptions
{
  LimitPolicy mPolicy = LimitPolicy::Adaptive;
  /// Requests per replica with LimitPolicy::Fixed.
  double mFixedLimit = 16.0;
  /// Requests per replica at the start. From there the limit grows by
  /// mStartupGrowthFactor per adjustment until the upstream first queues.
  double mInitialLimit = 4.0;
  double mStartupGrowthFactor = 1.5;
  /// Bounds of the adaptive limit, in requests per replica.
  double mMinLimit = 2.0;
  double mMaxLimit = 64.0;
  /// Responses observed per adjustment.
  size_t mWindowSize = 100;
  /// Ratio of latency to the replica's lowest latency above which a request
  /// counts as queued in the upstream.
  double mQueueingRatio = 1.4;
  /// Excess over the lowest latency that never counts as queueing: scheduling
  /// delays of a few milliseconds do not indicate load.
  Duration mLatencyTolerance = std::chrono::milliseconds(3);
  /// Share of queued requests above which the limit is decreased.
  double mMaxQueuedShare = 0.01;
  /// Smallest factor that one adjustment multiplies the limit by.
  double mMinDecreaseFactor = 0.5;
  /// Additive increase per adjustment, in requests per replica.
  double mIncrement = 0.04;
  /// Age at which a replica's lowest latency is replaced by a newer
  /// measurement, so that a lasting change of the service time is not taken
  /// for queueing.
  Duration mBaselineLifetime = std::chrono::seconds(30);
};

/// @brief Limits the concurrent requests of one daemon to an upstream, per
/// replica. While the limit is used, it grows as long as latency stays near its
/// lowest. When the upstream queues, the limit is multiplied by the mean ratio
/// of lowest to observed latency; by Little's law, the result is the
/// concurrency without queueing. Not thread-safe.
class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions aOptions)
    : mOptions(aOptions)
    , mLimitPerReplica(aOptions.mPolicy == LimitPolicy::Fixed
                         ? aOptions.mFixedLimit
                         : aOptions.mInitialLimit)
  {
  }

  /// @brief Records a response. aLatency is the time in the upstream, or the
  /// time per token where responses differ in length. Returns true if the
  /// limit changed.
  bool Observe(std::string_view aReplica,
               Duration aLatency,
               LimitUsage aUsage,
               TimePoint aNow);

  double LimitPerReplica() const { return mLimitPerReplica; }

  /// @brief Returns the limit for aReplicas replicas together; at least 1.
  size_t Limit(size_t aReplicas) const;

private:
  struct Baseline
  {
    Duration mLowest{};
    /// Lowest latency since mPeriodStart; the next baseline.
    Duration mNextLowest{};
    TimePoint mPeriodStart{};
  };

  /// Returns the replica's lowest latency, with aLatency included.
  Duration UpdateBaseline(std::string_view aReplica,
                          Duration aLatency,
                          TimePoint aNow);
  /// Adjusts the limit to the observed window. Returns true if it changed.
  bool Adjust(TimePoint aNow);

  ConcurrencyLimitOptions mOptions;
  double mLimitPerReplica;
  /// By replica.
  std::map<std::string, Baseline, std::less<>> mBaselines;
  size_t mObservedCount = 0;
  size_t mQueuedCount = 0;
  /// Sum of the ratios of lowest to observed latency.
  double mLatencyRatioSum = 0.0;
  /// True until the limit is decreased for the first time.
  bool mStartup = true;
  /// Highest usage in the current window.
  LimitUsage mMaxUsage = LimitUsage::BelowLimit;
  TimePoint mLastAdjustment{};
};

} // namespace agatetide::policy
