#pragma once

#include "agatetide/base/random.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace agatetide::policy {

/// @brief State of a replica at the time of a choice.
struct ReplicaCandidate
{
  std::string_view mAddress;
  bool mSameRegion = true;
  bool mDraining = false;
  /// True if the replica failed this request or is ejected.
  bool mExcluded = false;
  /// Requests according to the last load report, which lags.
  uint32_t mReportedRunning = 0;
  uint32_t mReportedQueued = 0;
  /// Requests of this daemon that run there now.
  uint32_t mOwnRunning = 0;
  /// Mean of mOwnRunning over about the lag of the load report.
  double mMeanOwnRunning = 0.0;
};

enum class ReplicaPolicy
{
  RoundRobin,
  LeastRequests,
};

struct ReplicaChoiceOptions
{
  ReplicaPolicy mPolicy = ReplicaPolicy::LeastRequests;
  /// Number of random candidates compared in this region, and as many in the
  /// others. Comparing all would make every daemon choose the same replica,
  /// since all see the same lagged load reports.
  unsigned mSampleSize = 3;
  /// Cost of a replica in another region, in requests.
  double mCrossRegionCost = 8.0;
};

/// @brief Estimates the current requests of the replica: this daemon's own
/// ones, and the reported ones that this daemon's average does not explain.
double EstimatedRequests(const ReplicaCandidate& aCandidate);

/// @brief Returns the index of the replica to use; std::nullopt if none is
/// usable. aRoundRobin is the caller's counter for ReplicaPolicy::RoundRobin.
/// Thread-safe if aRandom is and aRoundRobin is not shared.
std::optional<size_t> ChooseReplica(
  std::span<const ReplicaCandidate> aCandidates,
  const ReplicaChoiceOptions& aOptions,
  const Random& aRandom,
  uint64_t& aRoundRobin);

} // namespace agatetide::policy
