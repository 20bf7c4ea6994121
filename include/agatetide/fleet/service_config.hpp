#pragma once

#include "agatetide/base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::fleet {

/// @brief How requests of a route are sent, and whether they may be retried.
enum class RouteKind
{
  /// May be retried and hedged.
  Idempotent,
  /// Is not repeated once a replica may have run it.
  NonIdempotent,
  Streaming,
  /// Rollout steps: a trainer submits many items at once, which run later.
  Rollout,
};

using RegionSet = std::set<std::string, std::less<>>;

/// @brief Whether the regions include aRegion; std::nullopt includes all.
inline bool Includes(const std::optional<RegionSet>& aRegions,
                     std::string_view aRegion)
{
  return !aRegions || aRegions->contains(aRegion);
}

struct WeightedService
{
  std::string mService;
  /// Share of the route's requests, relative to the sum of all weights.
  double mWeight = 1.0;
};

struct Route
{
  std::string mName;
  /// Host name of the requests, from their host header.
  std::string mHttpHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  RouteKind mKind = RouteKind::NonIdempotent;
  Milliseconds mTimeout{ 10000 };
  /// Determines the delay of hedged requests while no latencies are known, and
  /// its lower bound.
  Milliseconds mTargetLatency{ 1000 };
  /// 0 is the most urgent. Determines the fair share of a request while
  /// capacity is short; see policy::WeightOfPriority().
  int mPriority = 5;
  std::vector<WeightedService> mServices;
  /// Maximum number of attempts that a replica may have run. Attempts that were
  /// certainly not run have a limit of their own.
  unsigned mMaxAttempts = 1;
  /// Regions whose hosts and replicas may handle the requests; std::nullopt
  /// allows all.
  std::optional<RegionSet> mAllowedRegions;
  /// Whether callers need no key.
  bool mAnonymous = false;
  /// Whether callers may take up streams that broke off.
  bool mResumable = false;
  /// Whether all events of a sample must come from one weight version.
  bool mSingleVersion = false;
  /// Time from the submission of a step until its results are due.
  Milliseconds mResultTimeout{ 0 };
  /// Time from the submission of a step after which its waiting items are
  /// abandoned.
  Milliseconds mItemLifetime{ 60000 };

  /// @brief Whether requests of the route may run on replicas of the service.
  bool Allows(std::string_view aService) const;
};

/// @brief Limits for the number of replicas of a service per availability zone.
struct ScalingLimits
{
  /// Replicas of both kinds per zone.
  unsigned mMin = 0;
  unsigned mMax = 0;
  /// Time from the order of a replica until it usually serves.
  Milliseconds mBootTime{ 0 };
  /// Price of a preemptible replica relative to that of a regular one.
  double mPreemptiblePrice = 1.0;
  /// Relative price of a regular replica by availability zone.
  std::map<std::string, double> mZonePrices;
};

/// @brief Limits of the replicas of a service that have just started.
struct ColdStart
{
  Milliseconds mDuration{ 0 };
  /// Requests that a cold replica can take from all hosts together; above 0.
  double mRequestsPerSecond = 0.0;
};

struct Service
{
  std::string mName;
  bool mIsEngine = false;
  /// Requests that an engine processes in one batch.
  unsigned mSlots = 1;
  /// std::nullopt if the number of replicas is fixed by the operator.
  std::optional<ScalingLimits> mScaling;
  /// std::nullopt if replicas can take their full load from the start.
  std::optional<ColdStart> mColdStart;
};

struct ClientAccount
{
  std::string mName;
  std::vector<std::string> mKeys;
  /// As Route::mAllowedRegions.
  std::optional<RegionSet> mAllowedRegions;
  /// As Route::mPriority, and goes before it; std::nullopt if the account has
  /// none.
  std::optional<int> mPriority;
};

/// @brief Limits on requests and idle connections of callers.
struct CallerLimits
{
  size_t mMaxHeaderBytes = size_t{ 16 } << 10U;
  size_t mMaxBodyBytes = size_t{ 8 } << 20U;
  Milliseconds mIdleTimeout{ 15000 };
};

/// @brief One version of the operator's configuration, decoded for requests.
/// Immutable once built.
struct ServiceConfig
{
  int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::map<std::string, Service, std::less<>> mServices;
  std::map<std::string, ClientAccount, std::less<>> mAccounts;
  /// Account name by key.
  std::map<std::string, std::string, std::less<>> mAccountOfKey;
  CallerLimits mLimits;

  /// @brief Fills mAccountOfKey from mAccounts.
  void IndexKeys();

  /// @brief The route of aHttpHost with the longest path prefix that matches
  /// aPath; null if none matches. A query in aPath is ignored.
  const Route* FindRoute(std::string_view aHttpHost,
                         std::string_view aPath) const;

  /// @brief The regions that both the route and the account allow; std::nullopt
  /// if neither names any. aAccount may be empty.
  std::optional<RegionSet> AllowedRegions(const Route& aRoute,
                                          std::string_view aAccount) const;

  /// @brief As above, for the route that FindRoute() returns; the regions of
  /// the account if there is no such route.
  std::optional<RegionSet> AllowedRegions(std::string_view aHttpHost,
                                          std::string_view aPath,
                                          std::string_view aAccount) const;

  /// @brief Whether any route or account names allowed regions.
  bool RestrictsRegions() const;

  /// @brief The regions that callers of aHttpHost should prefer: those that all
  /// its restricted routes allow, or that any of them allows if they have none
  /// in common; std::nullopt if no route of it is restricted.
  std::optional<RegionSet> PreferredRegions(std::string_view aHttpHost) const;

  /// @brief The account that the key belongs to; null if there is none.
  const ClientAccount* FindAccount(std::string_view aKey) const;
};

} // namespace agatetide::fleet
