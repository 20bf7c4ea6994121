#include "agatetide/policy/capacity.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace agatetide::policy {

namespace {

unsigned TotalReplicas(std::span<const ZoneCapacity> aZones)
{
  unsigned total = 0;
  for (const ZoneCapacity& zone : aZones) {
    total += zone.mRegular + zone.mPreemptible;
  }
  return total;
}

unsigned RegularReplicas(std::span<const ZoneCapacity> aZones)
{
  unsigned regular = 0;
  for (const ZoneCapacity& zone : aZones) {
    regular += zone.mRegular;
  }
  return regular;
}

/// Returns the zone with the lowest utilization that can provide another
/// replica of the kind; ties go to the lowest price.
std::optional<size_t> LeastFullZone(std::span<const ZoneCapacity> aZones,
                                    bool aPreemptible)
{
  std::optional<size_t> best;
  std::pair<double, double> lowestCost;
  for (size_t i = 0; i < aZones.size(); ++i) {
    const ZoneCapacity& zone = aZones[i];
    const unsigned replicas = zone.mRegular + zone.mPreemptible;
    const bool available =
      aPreemptible ? zone.mPreemptibleAvailable : zone.mRegularAvailable;
    if (!available || replicas >= zone.mMaxReplicas) {
      continue;
    }
    const std::pair<double, double> cost{
      static_cast<double>(replicas) / zone.mMaxReplicas, zone.mPrice
    };
    if (!best || cost < lowestCost) {
      best = i;
      lowestCost = cost;
    }
  }
  return best;
}

} // namespace

std::vector<CapacityChange> AddCapacity(unsigned aWanted,
                                        std::span<const ZoneCapacity> aZones,
                                        const CapacityOptions& aOptions)
{
  std::vector<ZoneCapacity> zones(aZones.begin(), aZones.end());
  std::vector<CapacityChange> changes;
  const auto wantedRegular =
    static_cast<unsigned>(std::ceil(aWanted * aOptions.mRegularShare));
  while (TotalReplicas(zones) < aWanted) {
    bool preemptible = RegularReplicas(zones) >= wantedRegular;
    auto zone = LeastFullZone(zones, preemptible);
    if (!zone) {
      preemptible = !preemptible;
      zone = LeastFullZone(zones, preemptible);
    }
    if (!zone) {
      break;
    }
    ++(preemptible ? zones[*zone].mPreemptible : zones[*zone].mRegular);
    const auto existing = std::find_if(
      changes.begin(), changes.end(), [&](const CapacityChange& aChange) {
        return aChange.mZone == *zone && aChange.mPreemptible == preemptible;
      });
    if (existing == changes.end()) {
      changes.push_back({ *zone, preemptible, 1 });
    } else {
      ++existing->mDelta;
    }
  }
  return changes;
}

std::vector<CapacityChange> ReleaseCapacity(
  unsigned aWanted,
  unsigned aMinPerZone,
  std::span<const ZoneCapacity> aZones,
  const CapacityOptions& aOptions)
{
  if (aWanted >= TotalReplicas(aZones) * aOptions.mReleaseThreshold) {
    return {};
  }
  // Releases the most expensive regular replica, or a preemptible one if too
  // few regular ones would remain.
  const bool regular =
    RegularReplicas(aZones) > aWanted * aOptions.mRegularShare;
  std::optional<size_t> mostExpensive;
  for (size_t i = 0; i < aZones.size(); ++i) {
    const ZoneCapacity& zone = aZones[i];
    const unsigned replicasOfKind = regular ? zone.mRegular : zone.mPreemptible;
    if (replicasOfKind > 0 && zone.mRegular + zone.mPreemptible > aMinPerZone &&
        (!mostExpensive || zone.mPrice > aZones[*mostExpensive].mPrice)) {
      mostExpensive = i;
    }
  }
  if (!mostExpensive) {
    return {};
  }
  return { { *mostExpensive, !regular, -1 } };
}

} // namespace agatetide::policy
