#pragma once

#include "agatetide/base/clock.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace agatetide::policy {

/// @brief Load of a replica at one time, as the replica reported it.
struct LoadReport
{
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  /// How long work takes relative to the usual time; std::nullopt if the
  /// replica does not report it.
  std::optional<double> mPace;
  /// When the report arrived, minus the age stated with it.
  TimePoint mMeasuredAt{};

  uint32_t Requests() const { return mRunning + mWaiting; }
};

struct LoadEstimateOptions
{
  /// Older reports are ignored.
  Duration mLifetime = std::chrono::seconds(2);
  /// Time constant with which the load of other hosts returns to the mean. A
  /// replay of requests of 0.1 s had more waits with 0.3 s.
  double mLoadDecaySeconds = 0.15;
  /// Time constant with which the pace returns to 1. Phases of slowness last
  /// about 0.6 s, and a report meets one in its middle on average.
  double mPaceDecaySeconds = 0.3;
};

/// @brief Number of requests of this host that run on one replica, now and
/// within the lifetime of a report. Not thread-safe.
class OwnRequests
{
public:
  /// @brief Records a request that starts (1) or ends (-1). Precondition: aNow
  /// does not decrease from call to call.
  void Add(int aChange, TimePoint aNow);

  /// @brief Number of requests that run now.
  uint32_t Running() const { return mRunning; }

  /// @brief Number of requests that ran at aTime; the oldest known number if
  /// the history does not reach back that far.
  uint32_t RunningAt(TimePoint aTime) const;

private:
  uint32_t mRunning = 0;
  /// Times of changes, and the number of requests before each.
  std::deque<std::pair<TimePoint, uint32_t>> mChanges;
};

/// @brief What is assumed of a replica between reports.
struct EstimatedLoad
{
  /// Running and waiting requests of all hosts.
  double mRequests = 0.0;
  /// 1.0 is usual; above that, work takes longer.
  double mPace = 1.0;
  /// Part of the difference between the reported load and the mean that is
  /// left, from 0 (no recent report) to 1 (a report of this moment).
  double mCertainty = 0.0;
  /// Age of the report; std::nullopt if there is none that is recent enough.
  std::optional<Duration> mAge;
};

/// @brief Requests of other hosts at the time of a report. Thread-safe.
double OtherRequests(const LoadReport& aReport, const OwnRequests& aOwn);

/// @brief Estimates the load of a replica: the requests of this host as they
/// are, those of other hosts as reported but returning to aMeanOthers with age,
/// and the pace returning to 1. aMeanOthers is the expected number of requests
/// of other hosts on a replica of this size. A null report stands for none.
/// Thread-safe.
EstimatedLoad EstimateLoad(const LoadReport* aReport,
                           const OwnRequests& aOwn,
                           double aMeanOthers,
                           TimePoint aNow,
                           const LoadEstimateOptions& aOptions);

} // namespace agatetide::policy
