#pragma once

#include <span>
#include <string>
#include <vector>

namespace agatetide::policy {

/// @brief Replicas of a service in one availability zone.
struct ZoneCapacity
{
  std::string mZone;
  /// Price of a regular replica relative to those of other zones.
  double mPrice = 1.0;
  /// Replicas that run or are being started.
  unsigned mRegular = 0;
  unsigned mPreemptible = 0;
  /// Replicas that the zone may have of both kinds together.
  unsigned mMaxReplicas = 0;
  /// False while none can be had.
  bool mRegularAvailable = true;
  bool mPreemptibleAvailable = true;
};

struct CapacityOptions
{
  /// Share of the wanted replicas that are regular ones, so that a zone whose
  /// preemptible replicas are reclaimed takes no more than the rest.
  double mRegularShare = 0.5;
  /// Replicas are given back when fewer than this share of them is wanted.
  double mReleaseThreshold = 0.6;
};

/// @brief A change of the number of replicas in one zone.
struct CapacityChange
{
  size_t mZone = 0;
  bool mPreemptible = false;
  int mDelta = 0;
};

/// @brief Which replicas to add so that there are aWanted of them.
///
/// Answers steps whose items wait for a place while the trainer waits for the
/// step: all items of a step are to run at once, also while a zone's
/// preemptible replicas are reclaimed.
std::vector<CapacityChange> AddCapacity(unsigned aWanted,
                                        std::span<const ZoneCapacity> aZones,
                                        const CapacityOptions& aOptions);

/// @brief The replica to give back when far fewer are wanted; empty if none.
/// One at a time, since each stops running work.
std::vector<CapacityChange> ReleaseCapacity(
  unsigned aWanted,
  unsigned aLeastPerZone,
  std::span<const ZoneCapacity> aZones,
  const CapacityOptions& aOptions);

} // namespace agatetide::policy
