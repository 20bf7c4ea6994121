#pragma once

#include <span>
#include <string>
#include <vector>

namespace agatetide::policy {

// Decides the replicas of a service from the number that the items of the open
// steps need; used by duty::Autoscaler. placement.hpp decides the same for
// daemon::PlacementDuty, from the load of an upstream.

/// @brief Replicas of a service in one availability zone, and what can be
/// added there.
struct ZoneCapacity
{
  std::string mZone;
  /// Price of a regular replica relative to other zones.
  double mPrice = 1.0;
  /// Regular replicas that run or are being started.
  unsigned mRegular = 0;
  /// Preemptible replicas that run or are being started.
  unsigned mPreemptible = 0;
  /// Limit on the replicas of both kinds together.
  unsigned mMaxReplicas = 0;
  /// False while the zone provides no further replicas of the kind.
  bool mRegularAvailable = true;
  bool mPreemptibleAvailable = true;
};

struct CapacityOptions
{
  /// Share of the wanted replicas that should be regular. Limits the loss
  /// when the preemptible replicas of a zone are reclaimed.
  double mRegularShare = 0.5;
  /// A replica is released when fewer than this share of the present ones is
  /// wanted.
  double mReleaseThreshold = 0.6;
};

/// @brief A change of the number of replicas of one kind in one zone.
struct CapacityChange
{
  /// Index of the zone.
  size_t mZone = 0;
  bool mPreemptible = false;
  /// Replicas to add, or to release if negative.
  int mDelta = 0;
};

/// @brief Returns the replicas to add so that there are aWanted in total, or
/// as many as the zones allow. Adds regular replicas up to their share first;
/// a kind that is not available anywhere is replaced by the other one.
///
/// The trainer waits for whole steps, so all items of a step should run at
/// once, even while the preemptible replicas of a zone are reclaimed.
std::vector<CapacityChange> AddCapacity(unsigned aWanted,
                                        std::span<const ZoneCapacity> aZones,
                                        const CapacityOptions& aOptions);

/// @brief Returns the replica to release if far fewer are wanted; empty if
/// none. Keeps aMinPerZone replicas in each zone. Releases one replica at a
/// time, since each release interrupts running work.
std::vector<CapacityChange> ReleaseCapacity(
  unsigned aWanted,
  unsigned aMinPerZone,
  std::span<const ZoneCapacity> aZones,
  const CapacityOptions& aOptions);

} // namespace agatetide::policy
