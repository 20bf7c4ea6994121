#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <span>

namespace agatetide::policy {

enum class ItemReplicaChoicePolicy
{
  /// Chooses the replica with the smallest share of its slots in use.
  LeastLoaded,
  /// Also weighs the replica's speed, its region and whether it has the prompt
  /// cached.
  Weighted,
};

struct ItemReplicaChoiceOptions
{
  ItemReplicaChoicePolicy mPolicy = ItemReplicaChoicePolicy::Weighted;
  /// Cost of a replica in another region, as a share of its slots.
  double mOtherRegionCost = 0.1;
  /// Cost saved by a cached prompt, as a share of the replica's slots.
  double mCachedPromptDiscount = 0.25;
  /// Cost of a replica that is twice as slow as the median one, as a share of
  /// its slots.
  double mSlownessCost = 0.6;
};

/// @brief A replica that can generate an item.
struct ItemCandidate
{
  /// Estimated number of running requests.
  double mRunning = 0.0;
  unsigned mSlots = 1;
  bool mSameRegion = true;
  /// True if the replica has read the prompt that the item's group shares.
  bool mPromptCached = false;
  /// Time per event relative to the median replica.
  double mSlowness = 1.0;
};

/// @brief Returns the index of the replica to generate an item on;
/// std::nullopt if all slots are taken. Spreads a burst of items over the
/// replicas with free slots, since the longest item of a step decides when the
/// step completes.
std::optional<size_t> ChooseItemReplica(
  std::span<const ItemCandidate> aCandidates,
  const ItemReplicaChoiceOptions& aOptions);

struct ItemMoveOptions
{
  /// Delay that a move adds: a new connection and another prefill.
  double mMoveCostSeconds = 0.15;
  /// Minimum ratio of the time per event to that of the other replica; smaller
  /// differences vary with the load.
  double mMinSlownessRatio = 1.25;
  /// Factor that each earlier move of an item multiplies the cost by, so that
  /// items do not move repeatedly between replicas that differ by chance.
  double mCostGrowthFactor = 2.0;
};

/// @brief A running item.
struct ItemProgress
{
  /// Time per event in the current stream.
  double mSecondsPerEvent = 0.0;
  /// Events of all streams so far.
  size_t mEvents = 0;
  /// Streams before the current one.
  unsigned mMoveCount = 0;
};

/// @brief Returns whether a running item should continue on another replica
/// that needs aOtherSecondsPerEvent: if the time saved exceeds the cost.
///
/// In a step with a few long items, the longest one decides when the step
/// completes, and a slower replica delays it. Item lengths have a heavy tail,
/// so the expected remaining length equals the length so far. Used by
/// steps::StepRunner; daemon::Rollout uses ShouldMoveStream() instead.
bool ShouldMoveItem(const ItemProgress& aItem,
                    double aOtherSecondsPerEvent,
                    const ItemMoveOptions& aOptions);

/// @brief The speed of a stream over its last seconds. Not thread-safe.
class StreamWindow
{
public:
  /// @brief Precondition: aSeconds > 0.
  explicit StreamWindow(double aSeconds)
    : mSeconds(aSeconds)
  {
  }

  /// @brief Records the number of events at a time, both since the stream's
  /// first event. Precondition: neither decreases.
  void Observe(double aTime, size_t aEvents);

  /// @brief Drops all observations, for a new stream.
  void Clear() { mSamples.clear(); }

  /// @brief Whether the observations cover the window.
  bool IsFull() const;

  /// @brief Time per event over the window; all of the window if there was no
  /// event. Precondition: IsFull().
  double SecondsPerEvent() const;

private:
  struct Sample
  {
    double mTime = 0.0;
    size_t mEvents = 0;
  };

  double mSeconds;
  std::deque<Sample> mSamples;
};

/// @brief Options of ShouldMovePacedItem().
struct PacedMoveOptions
{
  /// Window over which the speed is judged: five of the phases of 0.6 s in
  /// which the speed of replicas changes.
  double mWindowSeconds = 3.0;
  /// Minimum ratio of the time per event to that of the other replica. A window
  /// in which most phases are slow stays below it.
  double mMinSlownessRatio = 2.5;
  double mConnectionSeconds = 0.1;
  /// Time to read the text generated so far again.
  double mReadSecondsPerEvent = 0.002;
  /// Expected loss when the other replica refuses the item or is slow as well.
  double mRiskSeconds = 0.4;
  unsigned mMaxMoves = 2;
};

/// @brief A running item on a replica of a service that reports a pace.
struct PacedItemProgress
{
  /// Over the window.
  double mSecondsPerEvent = 0.0;
  /// Events of all streams so far.
  size_t mEvents = 0;
  /// 0 if there is no estimate.
  double mExpectedEvents = 0.0;
  /// Earlier moves of the item.
  unsigned mMoveCount = 0;
  /// Time from the start of a stream to its first event.
  double mPromptSeconds = 0.0;
};

/// @brief Time that a move is expected to save, and its cost, in seconds.
struct MoveBenefit
{
  double mSavedSeconds = 0.0;
  double mCostSeconds = 0.0;
};

/// @brief Returns what a move to a replica that needs aOtherSecondsPerEvent
/// saves and costs. The replica is expected to stay slow for as long as the
/// window. Thread-safe.
MoveBenefit EstimateMove(const PacedItemProgress& aItem,
                         double aOtherSecondsPerEvent,
                         const PacedMoveOptions& aOptions);

/// @brief Returns whether a running item should continue on another replica: if
/// its replica was much slower over the whole window, the time saved exceeds
/// the cost, and the item has not moved too often. Thread-safe.
bool ShouldMovePacedItem(const PacedItemProgress& aItem,
                         double aOtherSecondsPerEvent,
                         const PacedMoveOptions& aOptions);

/// @brief An item whose stream has ended before its text was complete, and that
/// no replica can continue now.
struct InterruptedItem
{
  /// Events of the text so far.
  size_t mEvents = 0;
  /// Usual time per event.
  double mSecondsPerEvent = 0.1;
  /// Time since the item last had a stream with events.
  double mWaitedSeconds = 0.0;
  /// Whether there are replicas that could continue the text, even if they have
  /// no free slot.
  bool mCanContinue = false;
  /// Whether there are replicas that could only generate it from the start.
  bool mCanRestart = false;
};

/// @brief Returns whether the item should start again on another replica: if
/// none can continue its text, or if it has waited for one as long as
/// generating the text again takes. So the item takes at most twice the time
/// that the better choice would have taken.
bool ShouldRestartItem(const InterruptedItem& aItem);

} // namespace agatetide::policy
