#include "agatetide/policy/weight_rollout.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::policy;
using std::chrono::seconds;

// Guards against all replicas of a zone loading at once although there is
// time for smaller waves.
Test(weight_rollout, keeps_capacity_while_there_is_time)
{
  const TimePoint now = TimePoint{} + seconds(100);
  std::vector<ReplicaWeights> replicas(4, { 1, false, {} });
  const auto wave = NextWave(replicas, 2, seconds(0), now, {});
  cr_assert(wave.size() == 1);
  replicas[wave[0]].mLoading = true;
  cr_assert(NextWave(replicas, 2, seconds(0), now, {}).empty());
}

// Guards against waves that are too small for the target time.
Test(weight_rollout, orders_all_when_the_target_needs_it)
{
  const TimePoint now = TimePoint{} + seconds(100);
  const std::vector<ReplicaWeights> replicas(4, { 1, false, {} });
  cr_assert(NextWave(replicas, 2, seconds(6), now, {}).size() == 4);
  WeightRolloutOptions all;
  all.mPolicy = WeightRolloutPolicy::AllAtOnce;
  cr_assert(NextWave(replicas, 2, seconds(0), now, all).size() == 4);
}

// Guards against a failed load that is never retried, is retried without
// backoff, or delays the other replicas.
Test(weight_rollout, retries_failed_swaps_after_the_others)
{
  const TimePoint now = TimePoint{} + seconds(100);
  std::vector<ReplicaWeights> replicas(2, { 1, false, {} });
  replicas[0].mFailedAt = now - seconds(1);
  cr_assert(NextWave(replicas, 2, seconds(0), now, {}) ==
            std::vector<size_t>{ 1 });
  replicas[1].mVersion = 2;
  cr_assert(NextWave(replicas, 2, seconds(0), now, {}) ==
            std::vector<size_t>{ 0 });
  replicas[0].mFailedAt = now;
  cr_assert(NextWave(replicas, 2, seconds(0), now, {}).empty());
}
