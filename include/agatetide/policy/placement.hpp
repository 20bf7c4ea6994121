#pragma once

#include "agatetide/base/clock.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace agatetide::policy {

// Decides how many replicas one upstream has, from its load and the deadlines
// of its steps; used by daemon::PlacementDuty. capacity.hpp decides the same
// for duty::Autoscaler, from the items of the open steps.

struct PlacementOptions
{
  /// Regular replicas of an upstream, over all zones, kept for urgent requests.
  /// Also the minimum of all replicas.
  uint32_t mMinRegularReplicas = 3;
  uint32_t mMaxReplicas = 64;
  /// Requests that a replica runs at once.
  uint32_t mSlotsPerReplica = 16;
  /// Share of the slots that should be in use.
  double mTargetUtilization = 0.8;
  /// Largest change in one decision, as a share of the current replicas. One
  /// replica may always be added or removed.
  double mMaxGrowth = 0.5;
  double mMaxShrink = 0.1;
  /// Minimum time between the last change and a growth or shrinkage.
  Milliseconds mGrowInterval{ 10000 };
  Milliseconds mShrinkInterval{ 60000 };
};

/// @brief An availability zone in which replicas can be ordered.
struct ZoneState
{
  std::string mName;
  /// False while the zone's preemptible replicas are reclaimed or unavailable.
  bool mPreemptibleAvailable = true;
};

/// @brief The load of one upstream over all zones.
struct PlacementLoad
{
  uint32_t mReplicas = 0;
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  /// Requests that must run at once for steps to meet their deadlines; 0 if no
  /// deadline requires more than the current load.
  uint32_t mDeadlineRequests = 0;
  /// Time since the number of replicas was last changed.
  Duration mSinceChange{};
};

/// @brief The replicas that an upstream should have in one zone.
struct ZonePlacement
{
  std::string mZone;
  uint32_t mRegular = 0;
  uint32_t mPreemptible = 0;
};

/// @brief Returns the number of replicas that the upstream should have for its
/// load: changes by at most mMaxGrowth or mMaxShrink at once, but is always
/// within [mMinRegularReplicas, mMaxReplicas].
uint32_t DesiredReplicas(const PlacementLoad& aLoad,
                         const PlacementOptions& aOptions);

/// @brief Spreads aReplicas over the zones: mMinRegularReplicas regular ones,
/// and the rest preemptible in the zones that have these. If no zone has
/// preemptible replicas, all are regular.
std::vector<ZonePlacement> PlaceReplicas(uint32_t aReplicas,
                                         std::span<const ZoneState> aZones,
                                         const PlacementOptions& aOptions);

/// @brief Returns whether trainer requests should avoid the regular replicas:
/// while the preemptible ones have free slots. aPreemptibleRunning is the
/// number of requests that run on the preemptible replicas.
bool PreferPreemptible(uint32_t aPreemptibleReplicas,
                       uint32_t aPreemptibleRunning,
                       const PlacementOptions& aOptions);

} // namespace agatetide::policy
