#include "agatetide/policy/item_placement.hpp"

#include <criterion/criterion.h>

using namespace agatetide::policy;

namespace {

/// Time for each event on a usual replica, and on one that is slower by its
/// kind.
constexpr double kUsual = 0.035;
constexpr double kSlowKind = 0.046;
constexpr size_t kLongItem = 131;

/// The time that an item needs which starts on the slower kind and may move
/// to a usual replica at any event.
double TimeOf(size_t aEvents, const ItemMoveOptions& aOptions)
{
  double time = 0.0;
  double each = kSlowKind;
  for (size_t done = 1; done <= aEvents; ++done) {
    time += each;
    if (each != kUsual && ShouldMoveItem({ each, done, 0 }, kUsual, aOptions)) {
      time += aOptions.mMoveCostSeconds;
      each = kUsual;
    }
  }
  return time;
}

} // namespace

// Replays a step whose longest item starts on a replica that is slower by its
// kind: with moves only away from broken replicas the step takes 6.0 s.
Test(item_placement, a_long_item_leaves_a_slower_replica_in_time)
{
  cr_expect(TimeOf(kLongItem, {}) < 0.9 * kSlowKind * kLongItem);
  ItemMoveOptions never;
  never.mMoveCostSeconds = 1e9;
  cr_expect(TimeOf(kLongItem, never) >= 0.99 * kSlowKind * kLongItem);
}

// Guards against moves that cost more than they save.
Test(item_placement, a_short_item_stays)
{
  cr_expect(!ShouldMoveItem({ kSlowKind, 8, 0 }, kUsual, {}));
  cr_expect(!ShouldMoveItem({ kUsual, kLongItem, 0 }, kUsual, {}));
}

// Guards against items that wander between replicas.
Test(item_placement, each_move_makes_the_next_dearer)
{
  cr_expect(ShouldMoveItem({ kSlowKind, 20, 0 }, kUsual, {}));
  cr_expect(!ShouldMoveItem({ kSlowKind, 20, 1 }, kUsual, {}));
}

// Guards against a step that waits for a replica which has become several
// times as slow.
Test(item_placement, leaves_a_replica_that_turned_slow_after_a_few_events)
{
  cr_expect(ShouldMoveItem({ 3.5 * kUsual, 2, 0 }, kUsual, {}));
}

// Guards against sound streams that are cut for a difference which comes and
// goes with the load: a long item moved up to six times.
Test(item_placement, a_long_item_stays_on_a_replica_that_is_little_slower)
{
  cr_expect(!ShouldMoveItem({ 1.2 * kUsual, kLongItem, 0 }, kUsual, {}));
}
