#include "agatetide/policy/weight_rollout.hpp"

#include <algorithm>

namespace agatetide::policy {

namespace {

/// Replicas that may swap at once: half of the zone at most, unless the time
/// left requires more.
size_t WaveSize(size_t aBehind,
                size_t aReplicas,
                Duration aElapsed,
                const WeightRolloutOptions& aOptions)
{
  const Duration left =
    aOptions.mTargetTime - aOptions.mReservedTime - aElapsed;
  const auto waves =
    std::max<int64_t>(1,
                      std::chrono::duration_cast<Milliseconds>(left).count() /
                        std::max<int64_t>(1, aOptions.mWaveInterval.count()));
  const size_t count = static_cast<size_t>(waves);
  const size_t required = (aBehind + count - 1) / count;
  const size_t half = std::max<size_t>(1, aReplicas / 2);
  // The quarter finishes early enough for a second try of failed swaps.
  const size_t quarter = std::max<size_t>(1, aReplicas / 4);
  return waves > 1 ? std::min(half, std::max(required, quarter)) : required;
}

} // namespace

std::vector<size_t> NextWave(std::span<const ReplicaWeights> aReplicas,
                             uint64_t aPublished,
                             Duration aElapsed,
                             TimePoint aNow,
                             const WeightRolloutOptions& aOptions)
{
  std::vector<size_t> ready;
  size_t behind = 0;
  size_t swapping = 0;
  for (size_t i = 0; i < aReplicas.size(); ++i) {
    const ReplicaWeights& replica = aReplicas[i];
    swapping += replica.mSwapping ? 1 : 0;
    if (replica.mVersion >= aPublished) {
      continue;
    }
    ++behind;
    const bool pausing = replica.mFailedAt != TimePoint{} &&
                         aNow - replica.mFailedAt < aOptions.mRetryBackoff;
    if (!replica.mSwapping && !pausing) {
      ready.push_back(i);
    }
  }
  const bool all = aOptions.mPolicy == WeightRolloutPolicy::AllAtOnce;
  const size_t size =
    all ? aReplicas.size()
        : std::min(aOptions.mMaxConcurrentLoads,
                   WaveSize(behind, aReplicas.size(), aElapsed, aOptions));
  // Replicas that have not failed go first, so that one that keeps failing
  // does not hold the others up.
  std::stable_sort(ready.begin(), ready.end(), [&](size_t aOne, size_t aOther) {
    return aReplicas[aOne].mFailedAt < aReplicas[aOther].mFailedAt;
  });
  ready.resize(std::min(ready.size(), size > swapping ? size - swapping : 0));
  return ready;
}

} // namespace agatetide::policy
