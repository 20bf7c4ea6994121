#include "agatetide/fleet/service_config.hpp"

#include <algorithm>

namespace agatetide::fleet {

bool Route::Allows(std::string_view aService) const
{
  return std::any_of(
    mServices.begin(), mServices.end(), [&](const WeightedService& aWeighted) {
      return aWeighted.mService == aService;
    });
}

void ServiceConfig::IndexKeys()
{
  mAccountOfKey.clear();
  for (const auto& [name, account] : mAccounts) {
    for (const std::string& key : account.mKeys) {
      mAccountOfKey[key] = name;
    }
  }
}

const Route* ServiceConfig::FindRoute(std::string_view aHttpHost,
                                      std::string_view aPath) const
{
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  const Route* best = nullptr;
  for (const Route& route : mRoutes) {
    if (route.mHttpHost != aHttpHost || !path.starts_with(route.mPathPrefix)) {
      continue;
    }
    if (best == nullptr ||
        route.mPathPrefix.size() > best->mPathPrefix.size()) {
      best = &route;
    }
  }
  return best;
}

const ClientAccount* ServiceConfig::FindAccount(std::string_view aKey) const
{
  const auto name = mAccountOfKey.find(aKey);
  if (name == mAccountOfKey.end()) {
    return nullptr;
  }
  const auto account = mAccounts.find(name->second);
  return account == mAccounts.end() ? nullptr : &account->second;
}

std::optional<RegionSet> ServiceConfig::AllowedRegions(
  const Route& aRoute,
  std::string_view aAccount) const
{
  const auto account = mAccounts.find(aAccount);
  if (account == mAccounts.end() || !account->second.mAllowedRegions) {
    return aRoute.mAllowedRegions;
  }
  RegionSet regions = *account->second.mAllowedRegions;
  std::erase_if(regions, [&](const std::string& aRegion) {
    return aRoute.mAllowedRegions && !aRoute.mAllowedRegions->contains(aRegion);
  });
  return regions;
}

std::optional<RegionSet> ServiceConfig::AllowedRegions(
  std::string_view aHttpHost,
  std::string_view aPath,
  std::string_view aAccount) const
{
  const Route* route = FindRoute(aHttpHost, aPath);
  return AllowedRegions(route == nullptr ? Route() : *route, aAccount);
}

bool ServiceConfig::RestrictsRegions() const
{
  return std::any_of(mRoutes.begin(),
                     mRoutes.end(),
                     [](const Route& aRoute) {
                       return aRoute.mAllowedRegions.has_value();
                     }) ||
         std::any_of(mAccounts.begin(), mAccounts.end(), [](const auto& aItem) {
           return aItem.second.mAllowedRegions.has_value();
         });
}

std::optional<RegionSet> ServiceConfig::PreferredRegions(
  std::string_view aHttpHost) const
{
  std::optional<RegionSet> common;
  RegionSet any;
  for (const Route& route : mRoutes) {
    if (route.mHttpHost != aHttpHost || !route.mAllowedRegions) {
      continue;
    }
    any.insert(route.mAllowedRegions->begin(), route.mAllowedRegions->end());
    if (!common) {
      common = route.mAllowedRegions;
    }
    std::erase_if(*common, [&](const std::string& aRegion) {
      return !route.mAllowedRegions->contains(aRegion);
    });
  }
  return common && common->empty() ? std::optional(std::move(any)) : common;
}

} // namespace agatetide::fleet
