#include "agatetide/policy/placement.hpp"

#include <algorithm>
#include <cmath>

namespace agatetide::policy {

uint32_t DesiredReplicas(const PlacementLoad& aLoad,
                         const PlacementOptions& aOptions)
{
  const double work =
    std::max(aLoad.mRunning + aLoad.mQueued, aLoad.mDeadlineRequests);
  const double required =
    std::ceil(work / (aOptions.mSlotsPerReplica * aOptions.mTargetUtilization));
  const double present = aLoad.mReplicas;
  double wanted = present;
  if (required > present && aLoad.mSinceChange >= aOptions.mGrowInterval) {
    const double growth =
      std::max(1.0, std::floor(present * aOptions.mMaxGrowth));
    wanted = std::min(required, present + growth);
  } else if (required < present &&
             aLoad.mSinceChange >= aOptions.mShrinkInterval) {
    const double shrink =
      std::max(1.0, std::floor(present * aOptions.mMaxShrink));
    wanted = std::max(required, present - shrink);
  }
  return std::clamp(
    static_cast<uint32_t>(wanted),
    aOptions.mMinRegularReplicas,
    std::max(aOptions.mMinRegularReplicas, aOptions.mMaxReplicas));
}

std::vector<ZonePlacement> PlaceReplicas(uint32_t aReplicas,
                                         std::span<const ZoneState> aZones,
                                         const PlacementOptions& aOptions)
{
  std::vector<ZonePlacement> placed;
  std::vector<size_t> cheap;
  for (size_t i = 0; i < aZones.size(); ++i) {
    placed.push_back({ aZones[i].mName, 0, 0 });
    if (aZones[i].mPreemptibleAvailable) {
      cheap.push_back(i);
    }
  }
  if (placed.empty()) {
    return placed;
  }
  const uint32_t regular = cheap.empty()
                             ? std::max(aReplicas, aOptions.mMinRegularReplicas)
                             : aOptions.mMinRegularReplicas;
  for (uint32_t i = 0; i < regular; ++i) {
    ++placed[i % placed.size()].mRegular;
  }
  for (uint32_t i = regular; i < aReplicas; ++i) {
    // Starts after the last regular one, so that totals stay level.
    ++placed[cheap[i % cheap.size()]].mPreemptible;
  }
  return placed;
}

bool PreferPreemptible(uint32_t aCheapReplicas,
                       uint32_t aCheapRunning,
                       const PlacementOptions& aOptions)
{
  return aCheapReplicas > 0 &&
         aCheapRunning < aCheapReplicas * aOptions.mSlotsPerReplica;
}

} // namespace agatetide::policy
