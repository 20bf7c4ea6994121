#pragma once

#include "agatetide/base/clock.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace agatetide::policy {

struct PlacementOptions
{
  /// Regular replicas of an upstream, over all zones, kept for urgent calls.
  uint32_t mMinRegularReplicas = 3;
  uint32_t mMaxReplicas = 64;
  /// Requests that one replica runs at once.
  uint32_t mSlotsPerReplica = 16;
  /// Share of slots to fill.
  double mTargetUtilization = 0.8;
  /// Largest growth and shrinkage in one decision.
  double mMaxGrowth = 0.5;
  double mMaxShrink = 0.1;
  Milliseconds mGrowInterval{ 10000 };
  Milliseconds mShrinkInterval{ 60000 };
};

/// @brief One availability zone in which replicas can be ordered.
struct ZoneState
{
  std::string mName;
  /// False while the zone's cheaper upstreams are reclaimed or unavailable.
  bool mPreemptibleAvailable = true;
};

/// @brief The load of one upstream over all zones.
struct PlacementLoad
{
  uint32_t mReplicas = 0;
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  /// Requests that must run at once so that steps meet their deadlines; 0
  /// when no deadline requires more than the present load.
  uint32_t mDeadlineRequests = 0;
  /// Time since the number of replicas was last changed.
  Duration mSinceChange{};
};

struct ZonePlacement
{
  std::string mZone;
  uint32_t mRegular = 0;
  uint32_t mPreemptible = 0;
};

/// @brief Replicas that the upstream should have, by load, limited in how
/// fast it changes.
uint32_t DesiredReplicas(const PlacementLoad& aLoad,
                         const PlacementOptions& aOptions);

/// @brief Spreads replicas over the zones: the urgent floor on regular
/// upstreams, the rest on cheaper ones in the zones that have them, and on
/// regular ones when no zone has.
std::vector<ZonePlacement> PlaceReplicas(uint32_t aReplicas,
                                         std::span<const ZoneState> aZones,
                                         const PlacementOptions& aOptions);

/// @brief Whether trainer work should leave the regular replicas alone: while
/// the cheaper ones have free slots. aCheapRunning is the number of requests
/// that run on aCheapReplicas cheaper replicas.
bool PreferPreemptible(uint32_t aCheapReplicas,
                       uint32_t aCheapRunning,
                       const PlacementOptions& aOptions);

} // namespace agatetide::policy
