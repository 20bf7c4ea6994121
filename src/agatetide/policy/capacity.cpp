#include "agatetide/policy/capacity.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace agatetide::policy {

namespace {

unsigned Total(std::span<const ZoneCapacity> aZones)
{
  unsigned total = 0;
  for (const ZoneCapacity& zone : aZones) {
    total += zone.mRegular + zone.mPreemptible;
  }
  return total;
}

unsigned Regular(std::span<const ZoneCapacity> aZones)
{
  unsigned regular = 0;
  for (const ZoneCapacity& zone : aZones) {
    regular += zone.mRegular;
  }
  return regular;
}

/// The emptiest zone in which one more of the kind can be had; among equals
/// the cheapest.
std::optional<size_t> ZoneForOneMore(std::span<const ZoneCapacity> aZones,
                                     bool aPreemptible)
{
  std::optional<size_t> best;
  std::pair<double, double> lowest;
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
    if (!best || cost < lowest) {
      best = i;
      lowest = cost;
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
  const auto regularWanted =
    static_cast<unsigned>(std::ceil(aWanted * aOptions.mRegularShare));
  while (Total(zones) < aWanted) {
    bool preemptible = Regular(zones) >= regularWanted;
    auto zone = ZoneForOneMore(zones, preemptible);
    if (!zone) {
      preemptible = !preemptible;
      zone = ZoneForOneMore(zones, preemptible);
    }
    if (!zone) {
      break;
    }
    ++(preemptible ? zones[*zone].mPreemptible : zones[*zone].mRegular);
    const auto same = std::find_if(
      changes.begin(), changes.end(), [&](const CapacityChange& aChange) {
        return aChange.mZone == *zone && aChange.mPreemptible == preemptible;
      });
    if (same == changes.end()) {
      changes.push_back({ *zone, preemptible, 1 });
    } else {
      ++same->mDelta;
    }
  }
  return changes;
}

std::vector<CapacityChange> ReleaseCapacity(
  unsigned aWanted,
  unsigned aLeastPerZone,
  std::span<const ZoneCapacity> aZones,
  const CapacityOptions& aOptions)
{
  if (aWanted >= Total(aZones) * aOptions.mReleaseThreshold) {
    return {};
  }
  // The dearest regular replica goes first, unless too few would be left.
  const bool regular = Regular(aZones) > aWanted * aOptions.mRegularShare;
  std::optional<size_t> dearest;
  for (size_t i = 0; i < aZones.size(); ++i) {
    const ZoneCapacity& zone = aZones[i];
    const unsigned ofKind = regular ? zone.mRegular : zone.mPreemptible;
    if (ofKind > 0 && zone.mRegular + zone.mPreemptible > aLeastPerZone &&
        (!dearest || zone.mPrice > aZones[*dearest].mPrice)) {
      dearest = i;
    }
  }
  if (!dearest) {
    return {};
  }
  return { { *dearest, !regular, -1 } };
}

} // namespace agatetide::policy
