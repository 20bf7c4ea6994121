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

/// @brief Whether a limit is in use: not at all, by requests that wait for
/// slots which headroom keeps free, or up to the last slot.
enum class LimitUsage
{
  BelowLimit,
  RequestsWaiting,
  AtLimit,
};

struct ConcurrencyLimitOptions
{
  LimitPolicy mPolicy = LimitPolicy::Adaptive;
  /// Requests per replica of LimitPolicy::Fixed.
  double mFixedLimit = 16.0;
  /// Requests per replica at the start. From there the limit grows by
  /// mStartupGrowthFactor until answers are queued for the first time.
  double mInitialLimit = 4.0;
  double mStartupGrowthFactor = 1.5;
  double mMinLimit = 2.0;
  double mMaxLimit = 64.0;
  /// Observations of one adjustment.
  size_t mWindowSize = 100;
  /// Ratio of latency to the replica's lowest latency above which an answer
  /// counts as queued in the upstream.
  double mQueueingRatio = 1.4;
  /// Latency above the lowest that never counts as queueing; scheduling
  /// delays of a few milliseconds are no sign of load.
  Duration mLatencyTolerance = std::chrono::milliseconds(3);
  /// Share of queued answers above which the limit falls.
  double mMaxQueuedShare = 0.01;
  /// Lowest factor of one decrease.
  double mMinDecreaseFactor = 0.5;
  /// Growth per adjustment, in requests per replica.
  double mIncrement = 0.04;
  /// Age at which a replica's lowest latency is measured anew, so that a
  /// lasting change of the service time is not taken for queueing.
  Duration mBaselineLifetime = std::chrono::seconds(30);
};

/// @brief Requests that one daemon lets run on an upstream, per replica.
/// While the limit is in use, it grows step by step as long as latency stays
/// near its lowest; otherwise it falls by the ratio of the lowest latency to
/// the mean, which by Little's law is what runs without queueing.
/// Not thread-safe.
class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions aOptions)
    : mOptions(aOptions)
    , mPerReplica(aOptions.mPolicy == LimitPolicy::Fixed
                    ? aOptions.mFixedLimit
                    : aOptions.mInitialLimit)
  {
  }

  /// @brief One answered request. aLatency is the time in the upstream, or
  /// the time per token where answers differ in length. aUse tells how far
  /// the limit was in use. Returns whether the limit changed.
  bool Observe(std::string_view aReplica,
               Duration aLatency,
               LimitUsage aUse,
               TimePoint aNow);

  double LimitPerReplica() const { return mPerReplica; }

  /// @brief Requests that may run on aReplicas replicas; at least 1.
  size_t Limit(size_t aReplicas) const;

private:
  struct Baseline
  {
    Duration mLowest{};
    Duration mNext{};
    TimePoint mSince{};
  };

  Duration Lowest(std::string_view aReplica, Duration aLatency, TimePoint aNow);
  bool Adjust(TimePoint aNow);

  ConcurrencyLimitOptions mOptions;
  double mPerReplica;
  std::map<std::string, Baseline, std::less<>> mBaselines;
  size_t mAnswers = 0;
  size_t mQueuedAnswers = 0;
  /// Sum of the ratios of lowest latency to latency.
  double mRatios = 0.0;
  bool mStarting = true;
  LimitUsage mUse = LimitUsage::BelowLimit;
  TimePoint mChanged{};
};

} // namespace agatetide::policy
