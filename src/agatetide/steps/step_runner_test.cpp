#include "agatetide/steps/test_runner.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace agatetide;
using namespace agatetide::steps;

// Guards against a step that is taken over and starts like a new one: results
// and partial samples count for its groups, and the group that the trainer does
// not need still does not start.
Test(step_runner, a_step_that_is_taken_over_is_planned_again)
{
  TestRunner fixture(true);
  LogPart log;
  ItemResult result;
  result.mId = "0";
  log.mResults.push_back(std::move(result));
  log.mResultCounts = { 1 };
  PartialSample partial;
  partial.mId = "1";
  partial.mEvents.assign(150, "event");
  const auto step = fixture.Adopt(
    MakeItems({ 40, 160, 40, 100 }), 3, std::move(log), { partial });
  cr_assert_eq(fixture.mSent.size(), 2);
  cr_expect_str_eq(fixture.mSent[0].c_str(), "2");
  cr_expect_str_eq(fixture.mSent[1].c_str(), "1");
  cr_expect_eq(fixture.mResumed[1], 150);
  fixture.mTime.Advance(std::chrono::seconds(1));
  fixture.mRunner.StartWaitingItems();
  fixture.mContext.poll();
  cr_expect_eq(fixture.mSent.size(), 2);
  cr_assert_eq(step->mPlan.mSpare.size(), 1);
  cr_expect_eq(step->mPlan.mSpare[0].mGroup, 3);
}

// Guards against streams that fail without suspending, as those of a host that
// is cut off from all replicas do, and start further items from inside the loop
// that started them: the loop then walked a plan that was freed, and each
// stream took more of the stack.
Test(step_runner, streams_that_fail_at_once_do_not_start_others_inside_a_pass)
{
  constexpr size_t kEngines = 300;
  constexpr uint32_t kItems = kEngines * kSlots;
  constexpr uintptr_t kMaxStackBytes = 4096;
  TestRunner fixture(true, kEngines);
  uintptr_t lowest = UINTPTR_MAX;
  uintptr_t highest = 0;
  fixture.mOnStream = [&] {
    const auto frame = reinterpret_cast<uintptr_t>(__builtin_frame_address(0));
    lowest = std::min(lowest, frame);
    highest = std::max(highest, frame);
    return Error{ ErrorKind::Unavailable,
                  "no connection is open",
                  "use another replica",
                  Execution::NotRun };
  };
  fixture.AdoptInLoop(MakeItems(std::vector<uint32_t>(kItems, 40)), kItems / 2);
  cr_expect_geq(fixture.mSent.size(), kEngines);
  cr_expect_lt(highest - lowest, kMaxStackBytes);
  const std::set<std::string> sent(fixture.mSent.begin(), fixture.mSent.end());
  cr_expect_eq(sent.size(), fixture.mSent.size(), "an item started twice");
  cr_expect_eq(fixture.mRunner.RunningItemCount(), 0);
}

// Guards against an item that a step has started and that is sent although the
// step was stopped before its stream began.
Test(step_runner, a_step_that_stops_at_once_sends_nothing)
{
  TestRunner fixture(true);
  fixture.AdoptInLoop(
    MakeItems({ 40 }), 1, [&fixture](const OwnedStepPtr& aStep) {
      fixture.mRunner.Stop(aStep, false);
    });
  cr_expect(fixture.mSent.empty());
  cr_expect_eq(fixture.mRunner.RunningItemCount(), 0);
}

// Guards against a group that comes again in a later step and is left out
// because it is long, where its place in the list does not tell.
Test(step_runner, a_group_of_an_earlier_step_is_needed)
{
  TestRunner fixture(true);
  const auto first = fixture.Adopt(MakeItems({ 200 }), 1, {}, {}, "first");
  fixture.mRunner.Stop(first, false);
  auto items = MakeItems({ 200, 20 });
  items[0].mId = "again";
  fixture.Adopt(std::move(items), 1, {}, {}, "second");
  cr_assert_geq(fixture.mSent.size(), 2);
  cr_expect_str_eq(fixture.mSent[1].c_str(), "again");
}

// Guards against the new order where no replica reports a pace: there, all
// groups start, the longest item first.
Test(step_runner, services_without_a_pace_keep_the_order_by_length)
{
  TestRunner fixture(false);
  fixture.Adopt(MakeItems({ 40, 90, 40, 300 }), 3);
  const std::vector<std::string> expected{ "3", "1", "0", "2" };
  cr_expect(fixture.mSent == expected);
}
