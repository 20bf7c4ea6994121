#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/fleet/fleet_view.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace agatetide::entry {

struct TakeoverOptions
{
  /// A daemon does not know which owners went before it started. While it is
  /// this young it looks at all steps when the hosts have changed.
  Milliseconds mStartupPeriod{ 5000 };
};

/// @brief Decides when this daemon looks for steps without an owner, and
/// which of them it takes over.
///
/// Answers the load of many hosts that restart one after the other: if all
/// daemons read all records at each change of the hosts, their calls grow
/// with the square of the fleet. One daemon of the region, chosen by hash,
/// looks for the steps of an owner that has gone. Not thread-safe.
class TakeoverPlan
{
public:
  TakeoverPlan(TakeoverOptions aOptions, Clock aClock, std::string aSelf);

  /// @brief ShouldTakeOver note of the hosts that are present now.
  void Update(
    const std::map<std::string, fleet::EntryHost, std::less<>>& aHosts);

  /// @brief Whether this daemon has to look at the records of steps.
  bool ScanDue() const { return mScanAll || !mDepartedOwners.empty(); }

  /// @brief Whether this daemon takes a step over whose owner has gone.
  bool ShouldTakeOver(std::string_view aStep,
                      std::string_view aOwner,
                      std::string_view aRegion) const;

  /// @brief All records were looked at.
  void MarkScanned();

private:
  /// The host that is responsible for a key, of the region if there is one.
  std::string ResponsibleHost(std::string_view aKey,
                              std::string_view aRegion) const;

  TakeoverOptions mOptions;
  Clock mClock;
  std::string mSelf;
  TimePoint mStartTime;
  std::map<std::string, fleet::EntryHost, std::less<>> mHosts;
  bool mScanAll = false;
  /// Owners that have gone and whose steps this daemon looks for.
  std::set<std::string, std::less<>> mDepartedOwners;
};

} // namespace agatetide::entry
