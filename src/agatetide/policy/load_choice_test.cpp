#include "agatetide/policy/load_choice.hpp"

#include <criterion/criterion.h>

#include <vector>

using namespace agatetide;
using namespace agatetide::policy;

namespace {

/// How often each candidate is chosen in 1000 choices.
std::vector<unsigned> CountChoices(
  const std::vector<LoadCandidate>& aCandidates,
  const LoadChoiceOptions& aOptions = {})
{
  const Random random = SeededRandom(1);
  std::vector<unsigned> counts(aCandidates.size());
  for (unsigned i = 0; i < 1000; ++i) {
    if (const auto chosen =
          ChooseByExpectedTime(aCandidates, aOptions, random)) {
      ++counts[*chosen];
    }
  }
  return counts;
}

LoadCandidate MakeCandidate(double aRequests)
{
  LoadCandidate candidate;
  candidate.mRequests = aRequests;
  candidate.mSlots = 8;
  candidate.mCertainty = 0.5;
  return candidate;
}

} // namespace

// Guards against hosts that all choose the replica with the lowest load, and
// against shares that do not follow the free capacity.
Test(load_choice, shares_follow_free_capacity)
{
  const auto counts =
    CountChoices({ MakeCandidate(2), MakeCandidate(5), MakeCandidate(20) });
  cr_expect(counts[0] > 550 && counts[1] > 200 && counts[2] < 50);
}

// Guards against using other regions while this one has free slots, and against
// queues here while others are idle: a way costs time, not requests.
Test(load_choice, another_region_is_used_if_it_is_faster)
{
  std::vector<LoadCandidate> candidates{ MakeCandidate(6), MakeCandidate(0) };
  candidates[1].mSameRegion = false;
  cr_expect(CountChoices(candidates)[1] == 0);
  candidates[0].mRequests = 14;
  cr_expect(CountChoices(candidates)[1] > 900);
}

// Guards against slow replicas that get as much work as others, and against
// avoiding them altogether.
Test(load_choice, slow_replicas_get_less)
{
  std::vector<LoadCandidate> candidates{ MakeCandidate(4), MakeCandidate(4) };
  candidates[1].mPace = 2.0;
  const auto counts = CountChoices(candidates);
  cr_expect(counts[1] > 50 && counts[1] < 400);
}

// Guards against items beyond the free slots, and against reading a group's
// prompt again elsewhere.
Test(load_choice, items_get_free_slots_and_prefer_their_prompt)
{
  LoadChoiceOptions options;
  options.mFreeSlotsOnly = true;
  std::vector<LoadCandidate> candidates{ MakeCandidate(7.6),
                                         MakeCandidate(4),
                                         MakeCandidate(4) };
  candidates[2].mSavedSeconds = 0.1;
  const auto counts = CountChoices(candidates, options);
  cr_expect(counts[0] == 0 && counts[2] > 2 * counts[1]);
  candidates.resize(1);
  cr_expect(!ChooseByExpectedTime(candidates, options, SeededRandom(1)));
  candidates[0].mExcluded = true;
  cr_expect(!ChooseByExpectedTime(candidates, {}, SeededRandom(1)));
}
