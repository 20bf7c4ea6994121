#include "agatetide/policy/weight_rollout.hpp"

#include <algorithm>

namespace agatetide::policy {

namespace {

/// Returns how many replicas may load at once: at most half of the zone, unless
/// the remaining time requires more.
size_t WaveSize(size_t aBehindCount,
                size_t aReplicaCount,
                Duration aElapsed,
                const WeightRolloutOptions& aOptions)
{
  const Duration timeLeft =
    aOptions.mTargetTime - aOptions.mReservedTime - aElapsed;
  const auto waves = std::max<int64_t>(
    1,
    std::chrono::duration_cast<Milliseconds>(timeLeft).count() /
      std::max<int64_t>(1, aOptions.mWaveInterval.count()));
  const size_t waveCount = static_cast<size_t>(waves);
  const size_t required = (aBehindCount + waveCount - 1) / waveCount;
  const size_t half = std::max<size_t>(1, aReplicaCount / 2);
  // Waves of a quarter finish early enough to retry failed loads.
  const size_t quarter = std::max<size_t>(1, aReplicaCount / 4);
  return waves > 1 ? std::min(half, std::max(required, quarter)) : required;
}

} // namespace

std::vector<size_t> NextWave(std::span<const ReplicaWeights> aReplicas,
                             uint64_t aPublishedVersion,
                             Duration aElapsed,
                             TimePoint aNow,
                             const WeightRolloutOptions& aOptions)
{
  std::vector<size_t> ready;
  size_t behind = 0;
  size_t swapping = 0;
  for (size_t i = 0; i < aReplicas.size(); ++i) {
    const ReplicaWeights& replica = aReplicas[i];
    swapping += replica.mLoading ? 1 : 0;
    if (replica.mVersion >= aPublishedVersion) {
      continue;
    }
    ++behind;
    const bool inBackoff = replica.mFailedAt != TimePoint{} &&
                           aNow - replica.mFailedAt < aOptions.mRetryDelay;
    if (!replica.mLoading && !inBackoff) {
      ready.push_back(i);
    }
  }
  const bool all = aOptions.mPolicy == WeightRolloutPolicy::AllAtOnce;
  const size_t size =
    all ? aReplicas.size()
        : std::min(aOptions.mMaxConcurrentLoads,
                   WaveSize(behind, aReplicas.size(), aElapsed, aOptions));
  // Replicas that have not failed come first, so that one that keeps failing
  // does not delay the others.
  std::stable_sort(ready.begin(), ready.end(), [&](size_t aOne, size_t aOther) {
    return aReplicas[aOne].mFailedAt < aReplicas[aOther].mFailedAt;
  });
  ready.resize(std::min(ready.size(), size > swapping ? size - swapping : 0));
  return ready;
}

} // namespace agatetide::policy
