#pragma once

#include "agatetide/base/clock.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace agatetide::policy {

enum class WeightRolloutPolicy
{
  /// Orders all replicas that are behind to load at once.
  AllAtOnce,
  /// Orders waves of replicas to load: small ones to keep serving capacity, but
  /// large enough for the target time.
  Waves,
};

struct WeightRolloutOptions
{
  WeightRolloutPolicy mPolicy = WeightRolloutPolicy::Waves;
  /// Time within which all replicas should have a new version.
  Milliseconds mTargetTime{ 7000 };
  /// Part of the target time reserved for publishing and for failed loads.
  Milliseconds mReservedTime{ 2500 };
  /// Expected time between the orders of two waves.
  Milliseconds mWaveInterval{ 1000 };
  /// Delay before a failed load is ordered again.
  Milliseconds mRetryDelay{ 500 };
  /// Concurrent loads that the weight store serves to one zone.
  size_t mMaxConcurrentLoads = 64;
};

/// @brief Weight state of a replica that serves the model in the zone.
struct ReplicaWeights
{
  uint64_t mVersion = 0;
  /// True while the replica loads weights.
  bool mLoading = false;
  /// Time of the last failed order; the epoch if there is none.
  TimePoint mFailedAt{};
};

/// @brief Returns the indices of the replicas that should be ordered to load
/// aPublishedVersion now. aElapsed is the time since its publication. Used by
/// daemon::UpstreamDuty; duty::VersionUpdater uses SortWeightLoads() instead.
std::vector<size_t> NextWave(std::span<const ReplicaWeights> aReplicas,
                             uint64_t aPublishedVersion,
                             Duration aElapsed,
                             TimePoint aNow,
                             const WeightRolloutOptions& aOptions);

} // namespace agatetide::policy
