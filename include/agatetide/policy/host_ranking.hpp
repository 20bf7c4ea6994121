#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::policy {

/// @brief An entry host that a caller may be directed to.
struct HostCandidate
{
  std::string mAddress;
  std::string mAvailabilityZone;
  std::string mRegion;
  bool mAlive = true;
  bool mDraining = false;
  /// Reaches no replica.
  bool mCutOff = false;
  /// In a region that the routes of the caller allow, while others are not.
  bool mPreferred = false;
};

/// @brief Account and location of a caller; empty members are unknown.
struct CallerLocation
{
  std::string_view mAccount;
  std::string_view mAvailabilityZone;
  std::string_view mRegion;
};

/// @brief Returns the indices of the hosts to use, best first: hosts in the
/// caller's availability zone, then in its region, then preferred ones, then
/// the others. Within
/// each group, rendezvous hashing by client account orders the hosts, so that
/// accounts share few of them. Dead, draining and cut-off hosts are left out
/// unless there are no others; cut-off ones are used before the other two.
std::vector<size_t> RankHosts(std::span<const HostCandidate> aHosts,
                              const CallerLocation& aCaller);

} // namespace agatetide::policy
