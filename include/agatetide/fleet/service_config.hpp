#pragma once

#include "agatetide/base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::fleet {

/// @brief What may be repeated on a route, and how its requests arrive.
enum class RouteKind
{
  Idempotent,
  NonIdempotent,
  Streaming,
  /// Steps of trainers: many items handed in at once and run later.
  Rollout,
};

struct WeightedService
{
  std::string mService;
  double mWeight = 1.0;
};

struct Route
{
  std::string mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  RouteKind mKind = RouteKind::NonIdempotent;
  Milliseconds mTimeout{ 10000 };
  Milliseconds mTargetLatency{ 1000 };
  /// 0 is the most urgent.
  int mPriority = 5;
  std::vector<WeightedService> mServices;
  /// Replicas that one request may be sent to.
  unsigned mMaxAttempts = 1;
  /// Open to callers without a key.
  bool mAnonymous = false;
  bool mResumable = false;
  /// All events of a sample must come from one version of the weights.
  bool mSingleVersion = false;
  /// Results of a step are due this long after its submission.
  Milliseconds mResultTimeout{ 0 };
  /// Items may be given up this long after the submission of their step.
  Milliseconds mRetention{ 60000 };
};

/// @brief How many replicas of a service may be ordered in each zone.
struct ScalingLimits
{
  unsigned mMin = 0;
  unsigned mMax = 0;
  Milliseconds mBootTime{ 0 };
  /// Price of a preemptible replica relative to a regular one.
  double mPreemptiblePrice = 1.0;
  std::map<std::string, double> mZonePrices;
};

struct Service
{
  std::string mName;
  bool mIsEngine = false;
  /// Requests that an engine processes in one batch.
  unsigned mSlots = 1;
  std::optional<ScalingLimits> mScaling;
};

struct ClientAccount
{
  std::string mName;
  std::vector<std::string> mKeys;
  std::optional<int> mPriority;
};

/// @brief What a caller may send, and how long it may stay idle.
struct CallerLimits
{
  size_t mMaxHeaderBytes = size_t{ 16 } << 10U;
  size_t mMaxBodyBytes = size_t{ 8 } << 20U;
  Milliseconds mIdleTimeout{ 15000 };
};

/// @brief The operator's configuration at one version. Immutable once built.
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

  /// @brief Among the routes of the host, the one with the longest prefix
  /// that begins the path; null when there is none. The path may carry a
  /// query.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;

  /// @brief The account that holds the key; null when there is none.
  const ClientAccount* FindAccount(std::string_view aKey) const;
};

} // namespace agatetide::fleet
