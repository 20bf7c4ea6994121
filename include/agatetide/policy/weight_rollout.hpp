#pragma once

#include "agatetide/base/clock.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace agatetide::policy {

enum class WeightRolloutPolicy
{
  /// Orders every replica that is behind at once.
  AllAtOnce,
  /// Orders waves that leave capacity, as large as the target time needs.
  Waves,
};

struct WeightRolloutOptions
{
  WeightRolloutPolicy mPolicy = WeightRolloutPolicy::Waves;
  /// Time in which all replicas should have a new version.
  Milliseconds mTargetTime{ 7000 };
  /// Part of the target kept for publishing and for failed swaps.
  Milliseconds mReservedTime{ 2500 };
  /// Time from the order of a wave to the order of the next, until learnt.
  Milliseconds mWaveInterval{ 1000 };
  Milliseconds mRetryBackoff{ 500 };
  /// Loads that the weight store serves to one zone at once.
  size_t mMaxConcurrentLoads = 64;
};

/// @brief One replica of the availability zone that serves the model.
struct ReplicaWeights
{
  uint64_t mVersion = 0;
  bool mSwapping = false;
  /// Time of the last failed order; the epoch when there is none.
  TimePoint mFailedAt{};
};

/// @brief Indices of the replicas to order to aPublished now. aElapsed is
/// the time since the version was published.
std::vector<size_t> NextWave(std::span<const ReplicaWeights> aReplicas,
                             uint64_t aPublished,
                             Duration aElapsed,
                             TimePoint aNow,
                             const WeightRolloutOptions& aOptions);

} // namespace agatetide::policy
