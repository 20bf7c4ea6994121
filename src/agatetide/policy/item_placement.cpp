#include "agatetide/policy/item_placement.hpp"

#include <cmath>
#include <limits>

namespace agatetide::policy {

namespace {

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

bool ShouldRestartItem(const InterruptedItem& aItem)
{
  return aItem.mCanRestart &&
         (!aItem.mCanContinue ||
          aItem.mWaitedSeconds >=
            static_cast<double>(aItem.mEvents) * aItem.mSecondsPerEvent);
}

} // namespace agatetide::policy
