#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::policy {

/// @brief An entry host as the answer sees it.
struct EntryHost
{
  std::string mAddress;
  std::string mAvailabilityZone;
  std::string mRegion;
  bool mAlive = true;
  bool mDraining = false;
};

/// @brief Where the caller is, as far as it said.
struct CallerLocation
{
  std::string_view mAccount;
  std::string_view mAvailabilityZone;
  std::string_view mRegion;
};

/// @brief Indices of the hosts to use, best first: hosts in the caller's
/// availability zone, then its region, then the rest; within each group in
/// an order that depends on the client account, so that accounts share few
/// hosts. Dead and draining hosts are left out unless nothing else remains.
std::vector<size_t> RankHosts(std::span<const EntryHost> aHosts,
                              const CallerLocation& aCaller);

} // namespace agatetide::policy
