#include "agatetide/policy/item_placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace agatetide::policy {

namespace {

/// Observations of a stream that are closer together replace each other.
constexpr double kMinSampleSeconds = 0.2;
/// Expected rest of a text that is longer than its estimate, as a share of its
/// length.
constexpr double kOverrunShare = 0.25;

double PlacementCost(const ItemCandidate& aCandidate,
                     const ItemReplicaChoiceOptions& aOptions)
{
  const double load = aCandidate.mRunning / aCandidate.mSlots;
  if (aOptions.mPolicy == ItemReplicaChoicePolicy::LeastLoaded) {
    return load;
  }
  return load + (aCandidate.mSameRegion ? 0.0 : aOptions.mOtherRegionCost) -
         (aCandidate.mPromptCached ? aOptions.mCachedPromptDiscount : 0.0) +
         (aCandidate.mSlowness - 1.0) * aOptions.mSlownessCost;
}

} // namespace

std::optional<size_t> ChooseItemReplica(
  std::span<const ItemCandidate> aCandidates,
  const ItemReplicaChoiceOptions& aOptions)
{
  std::optional<size_t> best;
  double lowestCost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    if (aCandidates[i].mRunning + 1.0 > aCandidates[i].mSlots) {
      continue;
    }
    const double cost = PlacementCost(aCandidates[i], aOptions);
    if (cost < lowestCost) {
      lowestCost = cost;
      best = i;
    }
  }
  return best;
}

bool ShouldMoveItem(const ItemProgress& aItem,
                    double aOtherSecondsPerEvent,
                    const ItemMoveOptions& aOptions)
{
  if (aItem.mSecondsPerEvent <
      aOptions.mMinSlownessRatio * aOtherSecondsPerEvent) {
    return false;
  }
  const double saved = (aItem.mSecondsPerEvent - aOtherSecondsPerEvent) *
                       static_cast<double>(aItem.mEvents);
  return saved > aOptions.mMoveCostSeconds *
                   std::pow(aOptions.mCostGrowthFactor, aItem.mMoveCount);
}

void StreamWindow::Observe(double aTime, size_t aEvents)
{
  if (mSamples.size() >= 2 &&
      mSamples.back().mTime - mSamples[mSamples.size() - 2].mTime <
        kMinSampleSeconds) {
    mSamples.pop_back();
  }
  mSamples.push_back({ aTime, aEvents });
  while (mSamples.size() > 2 && aTime - mSamples[1].mTime >= mSeconds) {
    mSamples.pop_front();
  }
}

bool StreamWindow::IsFull() const
{
  return !mSamples.empty() &&
         mSamples.back().mTime - mSamples.front().mTime >= mSeconds;
}

double StreamWindow::SecondsPerEvent() const
{
  const size_t events = mSamples.back().mEvents - mSamples.front().mEvents;
  return (mSamples.back().mTime - mSamples.front().mTime) /
         static_cast<double>(std::max<size_t>(1, events));
}

MoveBenefit EstimateMove(const PacedItemProgress& aItem,
                         double aOtherSecondsPerEvent,
                         const PacedMoveOptions& aOptions)
{
  const auto events = static_cast<double>(aItem.mEvents);
  const double remaining =
    std::max({ 1.0, aItem.mExpectedEvents - events, events * kOverrunShare });
  // While the replica stays slow, the other one generates the same events in a
  // part of the time.
  const double whileSlow =
    aOptions.mWindowSeconds *
    (1.0 - aOtherSecondsPerEvent / aItem.mSecondsPerEvent);
  const double whileRunning =
    remaining * (aItem.mSecondsPerEvent - aOtherSecondsPerEvent);
  return { std::min(whileSlow, whileRunning),
           aItem.mPromptSeconds + aOptions.mConnectionSeconds +
             aOptions.mRiskSeconds + events * aOptions.mReadSecondsPerEvent };
}

bool ShouldMovePacedItem(const PacedItemProgress& aItem,
                         double aOtherSecondsPerEvent,
                         const PacedMoveOptions& aOptions)
{
  if (aItem.mMoveCount >= aOptions.mMaxMoves ||
      aItem.mSecondsPerEvent <
        aOptions.mMinSlownessRatio * aOtherSecondsPerEvent) {
    return false;
  }
  const MoveBenefit benefit =
    EstimateMove(aItem, aOtherSecondsPerEvent, aOptions);
  return benefit.mSavedSeconds > benefit.mCostSeconds;
}

bool ShouldRestartItem(const InterruptedItem& aItem)
{
  return aItem.mCanRestart &&
         (!aItem.mCanContinue ||
          aItem.mWaitedSeconds >=
            static_cast<double>(aItem.mEvents) * aItem.mSecondsPerEvent);
}

} // namespace agatetide::policy
