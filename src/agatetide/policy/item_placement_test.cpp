#include "agatetide/policy/item_placement.hpp"

#include "agatetide/base/random.hpp"

#include <criterion/criterion.h>

#include <functional>
#include <vector>

using namespace agatetide::policy;

namespace {

/// Seconds per event of a usual replica, and of a slower kind of replica.
constexpr double kUsualSecondsPerEvent = 0.035;
constexpr double kSlowSecondsPerEvent = 0.046;
/// Events of a long item.
constexpr size_t kLongItem = 131;

/// Returns the seconds for an item that starts on the slower kind of replica
/// and may move to a usual one after each event.
double ItemSeconds(size_t aEvents, const ItemMoveOptions& aOptions)
{
  double time = 0.0;
  double secondsPerEvent = kSlowSecondsPerEvent;
  for (size_t done = 1; done <= aEvents; ++done) {
    time += secondsPerEvent;
    if (secondsPerEvent != kUsualSecondsPerEvent &&
        ShouldMoveItem(
          { secondsPerEvent, done, 0 }, kUsualSecondsPerEvent, aOptions)) {
      time += aOptions.mMoveCostSeconds;
      secondsPerEvent = kUsualSecondsPerEvent;
    }
  }
  return time;
}

} // namespace

// Guards against a step that waits for its longest item on a slower kind of
// replica: the step took 6.0 s when items moved only away from broken replicas.
Test(item_placement, a_long_item_leaves_a_slower_replica_in_time)
{
  cr_expect(ItemSeconds(kLongItem, {}) <
            0.9 * kSlowSecondsPerEvent * kLongItem);
  ItemMoveOptions never;
  never.mMoveCostSeconds = 1e9;
  cr_expect(ItemSeconds(kLongItem, never) >=
            0.99 * kSlowSecondsPerEvent * kLongItem);
}

// Guards against moves that cost more than they save.
Test(item_placement, a_short_item_stays)
{
  cr_expect(
    !ShouldMoveItem({ kSlowSecondsPerEvent, 8, 0 }, kUsualSecondsPerEvent, {}));
  cr_expect(!ShouldMoveItem(
    { kUsualSecondsPerEvent, kLongItem, 0 }, kUsualSecondsPerEvent, {}));
}

// Guards against items that move repeatedly between replicas.
Test(item_placement, each_move_makes_the_next_dearer)
{
  cr_expect(
    ShouldMoveItem({ kSlowSecondsPerEvent, 20, 0 }, kUsualSecondsPerEvent, {}));
  cr_expect(!ShouldMoveItem(
    { kSlowSecondsPerEvent, 20, 1 }, kUsualSecondsPerEvent, {}));
}

// Guards against a step that waits for a replica that has become several times
// slower.
Test(item_placement, leaves_a_replica_that_turned_slow_after_a_few_events)
{
  cr_expect(ShouldMoveItem(
    { 3.5 * kUsualSecondsPerEvent, 2, 0 }, kUsualSecondsPerEvent, {}));
}

// Guards against interrupting healthy streams for differences that vary with
// the load: a long item moved up to six times.
Test(item_placement, a_long_item_stays_on_a_replica_that_is_little_slower)
{
  cr_expect(!ShouldMoveItem(
    { 1.2 * kUsualSecondsPerEvent, kLongItem, 0 }, kUsualSecondsPerEvent, {}));
}

// Guards against items that wait for a software version that has left, or for
// longer than generating their text again takes.
Test(item_placement, an_item_waits_for_its_software_version_only_if_that_pays)
{
  InterruptedItem item;
  item.mEvents = 20;
  item.mSecondsPerEvent = 0.04;
  item.mCanRestart = true;
  cr_expect(ShouldRestartItem(item));
  item.mCanContinue = true;
  item.mWaitedSeconds = 0.5;
  cr_expect_not(ShouldRestartItem(item));
  item.mWaitedSeconds = 0.9;
  cr_expect(ShouldRestartItem(item));
  item.mCanRestart = false;
  cr_expect_not(ShouldRestartItem(item));
}

namespace {

/// Returns when a stream on a replica with the given pace over time is moved to
/// a usual replica, in seconds; 0 if it is not.
double MoveTime(size_t aEvents, const std::function<double(double)>& aPace)
{
  const PacedMoveOptions options;
  constexpr double kReview = 0.1;
  StreamWindow window(options.mWindowSeconds);
  double events = 0.0;
  for (double time = 0.0; events < static_cast<double>(aEvents);
       time += kReview) {
    window.Observe(time, static_cast<size_t>(events));
    if (window.IsFull()) {
      PacedItemProgress progress;
      progress.mSecondsPerEvent = window.SecondsPerEvent();
      progress.mEvents = static_cast<size_t>(events);
      progress.mExpectedEvents = static_cast<double>(aEvents);
      progress.mPromptSeconds = 0.15;
      if (ShouldMovePacedItem(progress, kUsualSecondsPerEvent, options)) {
        return time;
      }
    }
    events += kReview / (kUsualSecondsPerEvent * aPace(time));
  }
  return 0.0;
}

} // namespace

// Guards against moves because of phases of slowness: they cut most of the
// 2,478 of 11,137 streams that the system canceled in one day.
Test(item_placement, short_phases_of_slowness_move_few_items)
{
  constexpr double kPhase = 0.6;
  constexpr int kStreams = 2000;
  const agatetide::Random random = agatetide::SeededRandom(1);
  int moved = 0;
  for (int i = 0; i < kStreams; ++i) {
    std::vector<double> paces(100);
    for (double& pace : paces) {
      pace = agatetide::UniformUnit(random) < 0.2 ? 3.5 : 1.0;
    }
    moved +=
      MoveTime(
        kLongItem,
        [&](double aTime) {
          return paces[static_cast<size_t>(aTime / kPhase) % paces.size()];
        }) > 0.0
        ? 1
        : 0;
  }
  cr_log_info("%d of %d moved", moved, kStreams);
  cr_expect_lt(moved * 100, kStreams);
}

// Guards against streams that stay on a replica that is slow for many seconds,
// or gets no events at all.
Test(item_placement, an_item_leaves_a_replica_that_stays_slow)
{
  const double moved = MoveTime(kLongItem, [](double aTime) {
    return aTime >= 1.0 && aTime < 7.5 ? 3.5 : 1.0;
  });
  cr_expect_gt(moved, 1.0);
  cr_expect_lt(moved, 4.0);
  cr_expect_gt(
    MoveTime(kLongItem, [](double aTime) { return aTime < 1.0 ? 1.0 : 1e9; }),
    0.0);
}

// Guards against items that move without end, and against moves that come too
// late to save more than reading the prompt and the text again takes.
Test(item_placement, moves_of_paced_items_are_bounded)
{
  PacedItemProgress item{ 3.5 * kUsualSecondsPerEvent, 40, 100.0, 0, 0.15 };
  cr_expect(ShouldMovePacedItem(item, kUsualSecondsPerEvent, {}));
  item.mMoveCount = PacedMoveOptions{}.mMaxMoves;
  cr_expect_not(ShouldMovePacedItem(item, kUsualSecondsPerEvent, {}));
  item.mMoveCount = 0;
  item.mEvents = 98;
  item.mExpectedEvents = 0.0;
  item.mPromptSeconds = 2.0;
  cr_expect_not(ShouldMovePacedItem(item, kUsualSecondsPerEvent, {}));
}
