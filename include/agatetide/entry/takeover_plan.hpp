#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/fleet/fleet_view.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace agatetide::entry {

struct TakeoverOptions
{
  /// Time after its start for which the daemon scans all steps whenever the
  /// hosts change, since it doesn't know which owners left before.
  Milliseconds mStartupPeriod{ 5000 };
};

/// @brief Decides when this daemon scans the records of steps for those whose
/// owner is gone, and which of them it takes over.
///
/// Only one daemon of the region, chosen by rendezvous hashing, scans for the
/// steps of an owner that is gone. If all daemons scanned all records at each
/// change of the hosts, the number of store calls during a rolling restart
/// would grow with the square of the fleet's size. A step that may not run in
/// all regions may belong to a host of another region, so with such steps one
/// daemon of each region scans. Not thread-safe.
class TakeoverPlan
{
public:
  TakeoverPlan(TakeoverOptions aOptions, Clock aClock, std::string aSelf);

  /// @brief Updates the plan with the current hosts. aRestricted: whether the
  /// configuration restricts the regions of any step.
  void Update(
    const std::map<std::string, fleet::EntryHost, std::less<>>& aHosts,
    bool aRestricted = false);

  /// @brief Whether this daemon has to scan the records of steps.
  bool ScanDue() const { return mScanAll || !mDepartedOwners.empty(); }

  /// @brief Whether this daemon takes over a step. Precondition: its owner is
  /// gone.
  bool ShouldTakeOver(
    std::string_view aStep,
    std::string_view aOwner,
    std::string_view aRegion,
    const std::optional<fleet::RegionSet>& aAllowedRegions = {}) const;

  /// @brief The host that is responsible for a key: one of aRegion, or of any
  /// region if that one has none; only of allowed regions. Draining hosts are
  /// skipped; empty if none is left.
  std::string ResponsibleHost(
    std::string_view aKey,
    std::string_view aRegion,
    const std::optional<fleet::RegionSet>& aAllowedRegions = {}) const;

  /// @brief Records that the scan has read all records.
  void MarkScanned();

private:
  /// An owner that is gone and whose steps this daemon scans for.
  struct DepartedOwner
  {
    std::string mRegion;
    /// Whether this daemon takes over those that may run in its region;
    /// otherwise only those that may not run in regions before it.
    bool mTakeAll = false;
  };

  std::string OwnRegion() const;

  TakeoverOptions mOptions;
  Clock mClock;
  std::string mSelf;
  TimePoint mStartTime;
  std::map<std::string, fleet::EntryHost, std::less<>> mHosts;
  /// Whether the next scan covers the steps of all owners.
  bool mScanAll = false;
  std::map<std::string, DepartedOwner, std::less<>> mDepartedOwners;
};

} // namespace agatetide::entry
