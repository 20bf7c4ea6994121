#include "agatetide/policy/step_group.hpp"

#include <criterion/criterion.h>

using namespace agatetide::policy;

// Guards against starting samples that are then canceled, and against groups
// that never get the samples they need.
Test(step_group, starts_what_the_group_needs)
{
  StepGroupOptions options;
  cr_assert(MayStartSample({ 3, 1, 1, 2 }, options));
  cr_assert(!MayStartSample({ 3, 1, 2, 1 }, options));
  cr_assert(!MayStartSample({ 3, 3, 0, 1 }, options));
  options.mPolicy = PromptGroupPolicy::StartAll;
  cr_assert(MayStartSample({ 3, 1, 2, 1 }, options));
  cr_assert(!MayStartSample({ 3, 3, 0, 1 }, options));
}

// Guards against spare samples that waste more than the budget, and against a
// second spare sample beside the first.
Test(step_group, starts_a_spare_within_the_waste_budget)
{
  const StepGroupOptions options;
  StepProgress progress{ 100.0, 50.0, 800, 10000.0, 0.0 };
  const StreamState straggler{ 200, 200, 4.0 };
  cr_assert(SpareTokenReserve({ 3, 2, 1, 1 }, straggler, progress, options) ==
            300.0);
  cr_assert(SpareTokenReserve({ 3, 2, 2, 1 }, straggler, progress, options) ==
            0.0);
  cr_assert(SpareTokenReserve({ 3, 3, 1, 1 }, straggler, progress, options) ==
            0.0);
  cr_assert(SpareTokenReserve(
              { 3, 2, 1, 1 }, { 120, 120, 4.0 }, progress, options) == 0.0);
  progress.mReservedTokens = 200.0;
  cr_assert(SpareTokenReserve({ 3, 2, 1, 1 }, straggler, progress, options) ==
            0.0);
}

// Guards against streams that stay on a stalled engine, and against moves that
// cost more than they save.
Test(step_group, moves_slow_streams)
{
  const StepGroupOptions options;
  const StepProgress progress{ 400.0, 100.0, 800, 10000.0, 0.0 };
  cr_assert(ShouldMoveStream({ 40, 40, 2.0 }, progress, options));
  cr_assert(ShouldMoveStream({ 40, 0, 2.0 }, progress, options));
  cr_assert(!ShouldMoveStream({ 180, 180, 2.0 }, progress, options));
  cr_assert(!ShouldMoveStream({ 4, 4, 0.2 }, progress, options));
  cr_assert(!ShouldMoveStream({ 395, 40, 2.0 }, progress, options));
}

// Guards against a typical rate that is dominated by one slow engine.
Test(step_group, typical_rate_is_the_median)
{
  const StreamState streams[] = {
    { 10, 10, 1.0 }, { 100, 100, 1.0 }, { 110, 110, 1.0 }, { 9, 9, 0.1 }
  };
  cr_assert(TypicalRate(streams, {}) == 100.0);
  cr_assert(TypicalRate({}, {}) == 0.0);
}

// Guards against samples that wait for a slow engine while others have free
// slots, and against too many samples moving to one free engine.
Test(step_group, requeues_a_few_waiting_streams)
{
  const double waits[] = { 9.0, 4.0, 3.0, 0.2 };
  cr_assert(StreamsToRequeue(waits, 0, {}) == 0);
  cr_assert(StreamsToRequeue(waits, 1, {}) == 2);
  cr_assert(StreamsToRequeue(waits, 4, {}) == 3);
}
