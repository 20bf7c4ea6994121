#pragma once

#include "agatetide/base/random.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace agatetide::policy {

/// @brief What is known about one replica at the time of a choice.
struct ReplicaCandidate
{
  std::string_view mAddress;
  bool mSameRegion = true;
  bool mLeaving = false;
  /// Failed for this request, or ejected.
  bool mExcluded = false;
  /// Last load report; it lags.
  uint32_t mReportedRunning = 0;
  uint32_t mReportedQueued = 0;
  /// Requests of this daemon that run there now.
  uint32_t mOwnRunning = 0;
  /// Mean of mOwnRunning over about the lag of the report.
  double mOwnRunningAverage = 0.0;
};

enum class ReplicaPolicy
{
  RoundRobin,
  LeastRequests,
};

struct ReplicaChoiceOptions
{
  ReplicaPolicy mPolicy = ReplicaPolicy::LeastRequests;
  /// Candidates compared in this region, and as many in the others; a few
  /// instead of all, since all daemons see the same lagged reports and would
  /// pick the same replica.
  unsigned mSampleSize = 3;
  /// Cost of crossing a region, in requests ahead in the queue.
  double mCrossRegionCost = 8.0;
};

/// @brief Requests that are probably at the replica now: this daemon's own,
/// and those that the report names beyond the own ones of its time.
double EstimatedRequests(const ReplicaCandidate& aCandidate);

/// @brief Index of the replica to use, or nullopt when none is usable.
/// aTurn is the caller's round robin counter. Thread-safe if aRandom is.
std::optional<size_t> ChooseReplica(
  std::span<const ReplicaCandidate> aCandidates,
  const ReplicaChoiceOptions& aOptions,
  const Random& aRandom,
  uint64_t& aTurn);

} // namespace agatetide::policy
