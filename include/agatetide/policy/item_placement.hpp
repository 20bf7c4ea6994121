#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace agatetide::policy {

enum class ItemPlacementPolicy
{
  /// The replica with the fewest requests.
  LeastLoaded,
  /// Also weighs the speed of the replica, its region and the prompt parts
  /// that it has read.
  Weighted,
};

struct ItemPlacementOptions
{
  ItemPlacementPolicy mPolicy = ItemPlacementPolicy::Weighted;
  /// Costs in shares of a replica's slots.
  double mOtherRegionCost = 0.1;
  double mCachedPromptDiscount = 0.25;
  double mSlownessCost = 0.6;
};

/// @brief A replica that could generate an item.
struct ItemCandidate
{
  /// Requests that probably run there.
  double mRunning = 0.0;
  unsigned mSlots = 1;
  bool mSameRegion = true;
  /// Has read the prompt that the item shares with its group.
  bool mPromptCached = false;
  /// Time for each event relative to the typical replica.
  double mSlowness = 1.0;
};

/// @brief The replica to generate an item on; nullopt while all slots are
/// taken. Items of a burst spread over the replicas with free slots, since
/// the longest item of a step decides when the step is whole.
std::optional<size_t> PlaceItem(std::span<const ItemCandidate> aCandidates,
                                const ItemPlacementOptions& aOptions);

struct ItemMoveOptions
{
  /// What a move costs the item: a new connection, and its text read again.
  double mMoveCostSeconds = 0.15;
  /// A replica must take this many times as long as the other one: smaller
  /// differences come and go with the load.
  double mMinSlownessRatio = 1.25;
  /// Each move of an item makes the next one this much dearer, so that items
  /// do not wander between replicas that differ by chance.
  double mCostGrowthFactor = 2.0;
};

/// @brief A running item.
struct ItemProgress
{
  /// Time for each event of the present stream.
  double mSecondsPerEvent = 0.0;
  /// All events so far.
  size_t mEvents = 0;
  /// Streams before the present one.
  unsigned mMoveCount = 0;
};

/// @brief Whether a running item should go on at another replica that needs
/// aOtherSecondsPerEvent: the time that it would save exceeds the cost.
///
/// Answers the load of a step with a few long items: the longest one decides
/// when the step is whole, and on a slower replica it takes that much longer.
/// Lengths have a heavy tail, so an item is expected to have as much before it
/// as behind it.
bool ShouldMoveItem(const ItemProgress& aItem,
                    double aOtherSecondsPerEvent,
                    const ItemMoveOptions& aOptions);

} // namespace agatetide::policy
