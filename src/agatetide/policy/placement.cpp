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
  const double current = aLoad.mReplicas;
  double wanted = current;
  if (required > current && aLoad.mSinceChange >= aOptions.mGrowInterval) {
    const double growth =
      std::max(1.0, std::floor(current * aOptions.mMaxGrowth));
    wanted = std::min(required, current + growth);
  } else if (required < current &&
             aLoad.mSinceChange >= aOptions.mShrinkInterval) {
    const double shrink =
      std::max(1.0, std::floor(current * aOptions.mMaxShrink));
    wanted = std::max(required, current - shrink);
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
  std::vector<size_t> preemptibleZones;
  for (size_t i = 0; i < aZones.size(); ++i) {
    placed.push_back({ aZones[i].mName, 0, 0 });
    if (aZones[i].mPreemptibleAvailable) {
      preemptibleZones.push_back(i);
    }
  }
  if (placed.empty()) {
    return placed;
  }
  const uint32_t regular = preemptibleZones.empty()
                             ? std::max(aReplicas, aOptions.mMinRegularReplicas)
                             : aOptions.mMinRegularReplicas;
  for (uint32_t i = 0; i < regular; ++i) {
    ++placed[i % placed.size()].mRegular;
  }
  for (uint32_t i = regular; i < aReplicas; ++i) {
    // Continues after the last regular replica, so that the zones stay
    // balanced.
    ++placed[preemptibleZones[i % preemptibleZones.size()]].mPreemptible;
  }
  return placed;
}

bool PreferPreemptible(uint32_t aPreemptibleReplicas,
                       uint32_t aPreemptibleRunning,
                       const PlacementOptions& aOptions)
{
  return aPreemptibleReplicas > 0 &&
         aPreemptibleRunning < aPreemptibleReplicas * aOptions.mSlotsPerReplica;
}

} // namespace agatetide::policy
