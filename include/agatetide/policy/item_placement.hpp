#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace agatetide::policy {

enum class ItemPolicy
{
  /// The replica with the fewest requests.
  LeastLoaded,
  /// Also weighs the speed of the replica, its region and the prompt parts
  /// that it has read.
  Weighted,
};

struct ItemPlacementOptions
{
  ItemPolicy mPolicy = ItemPolicy::Weighted;
  /// Costs in shares of a replica's slots.
  double mOtherRegion = 0.1;
  double mPromptKnown = 0.25;
  double mSlowness = 0.6;
};

/// @brief A replica that could generate an item.
struct ItemCandidate
{
  /// Requests that probably run there.
  double mRunning = 0.0;
  unsigned mSlots = 1;
  bool mSameRegion = true;
  /// Has read the prompt that the item shares with its group.
  bool mPromptKnown = false;
  /// Time for each event relative to the typical replica.
  double mSlowness = 1.0;
};

/// @brief The replica to generate an item on; nullopt while all slots are
/// taken. Items of a burst spread over the replicas with free slots, since
/// the longest item of a step decides when the step is whole.
std::optional<size_t> PlaceItem(std::span<const ItemCandidate> aCandidates,
                                const ItemPlacementOptions& aOptions);

/// @brief Whether a running item should go on at another replica: its own
/// one needs more than mMoveFactor times as long for each event as the best
/// one with a free slot.
struct ItemMoveOptions
{
  double mMoveFactor = 1.8;
  /// Events after which the speed of a stream is known.
  unsigned mMinEvents = 2;
};
bool ShouldMoveItem(double aOwnSlowness,
                    double aBestSlowness,
                    unsigned aEvents,
                    const ItemMoveOptions& aOptions);

} // namespace agatetide::policy
