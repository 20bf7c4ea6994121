#include "agatetide/policy/replica_choice.hpp"

#include <criterion/criterion.h>

#include <vector>

using namespace agatetide;
using namespace agatetide::policy;

namespace {

std::vector<ReplicaCandidate> MakeCandidates(size_t aSameRegion,
                                             size_t aOtherRegions)
{
  std::vector<ReplicaCandidate> candidates(aSameRegion + aOtherRegions);
  for (size_t i = aSameRegion; i < candidates.size(); ++i) {
    candidates[i].mSameRegion = false;
  }
  return candidates;
}

} // namespace

// Guards against a random sample that lacks the idle replicas of the own
// region.
Test(replica_choice, an_idle_upstream_is_not_used_over_regions)
{
  const auto candidates = MakeCandidates(2, 8);
  const Random random = SeededRandom(1);
  uint64_t roundRobin = 0;
  for (unsigned i = 0; i < 1000; ++i) {
    const auto chosen = ChooseReplica(candidates, {}, random, roundRobin);
    cr_assert(candidates[*chosen].mSameRegion);
  }
}

// Guards against using a busy region while others are idle.
Test(replica_choice, a_loaded_region_spills_to_another)
{
  auto candidates = MakeCandidates(2, 2);
  candidates[0].mOwnRunning = 20;
  candidates[1].mReportedQueued = 20;
  const Random random = SeededRandom(1);
  uint64_t roundRobin = 0;
  const auto chosen = ChooseReplica(candidates, {}, random, roundRobin);
  cr_assert(!candidates[*chosen].mSameRegion);
}

// Guards against counting own requests twice: directly and in the load report.
Test(replica_choice, a_report_counts_only_the_requests_of_others)
{
  ReplicaCandidate candidate;
  candidate.mReportedRunning = 10;
  candidate.mOwnRunning = 6;
  candidate.mMeanOwnRunning = 4.0;
  cr_assert(EstimatedRequests(candidate) == 10.0);
  candidate.mMeanOwnRunning = 30.0;
  cr_assert(EstimatedRequests(candidate) == 6.0);
}

// Guards against choosing a leaving or excluded replica.
Test(replica_choice, unusable_replicas_are_not_chosen)
{
  auto candidates = MakeCandidates(1, 1);
  candidates[0].mDraining = true;
  const Random random = SeededRandom(1);
  uint64_t roundRobin = 0;
  cr_assert(*ChooseReplica(candidates, {}, random, roundRobin) == 1);
  candidates[1].mExcluded = true;
  cr_assert(!ChooseReplica(candidates, {}, random, roundRobin));
}
