#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/base/event_log.hpp"
#include "agatetide/http/message.hpp"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::daemon {

namespace leaf = boost::leaf;

/// @brief Settings of one daemon, read once at start.
struct Settings
{
  /// Address that callers connect to.
  http::Endpoint mCallerListen;
  /// Address for datagrams and requests of other daemons.
  http::Endpoint mDaemonListen;
  /// Address by which other daemons reach this one; mDaemonListen unless set.
  http::Endpoint mDaemonAdvertise;
  std::string mAvailabilityZone;
  std::string mRegion;
  std::vector<http::Endpoint> mStoreEndpoints;
  /// Empty without a platform API.
  http::Endpoint mPlatformEndpoint;
  std::string mClusterSecret;
  /// Hex SHA-256 digest of the bootstrap key, which may administer until an
  /// operator account has a valid key.
  std::string mBootstrapKeySha256;
  /// Addresses of daemons to contact even without a configuration, so that it
  /// can be fetched from them while the store is down.
  std::vector<std::string> mSeeds;
  std::string mDataFolder;
  LogLevel mLogLevel = LogLevel::Info;
  std::string mLogPath;
  /// Maximum staleness of the configuration copy while it is served from.
  std::chrono::milliseconds mReadLeaseDuration{ 5000 };
  /// How long callers may cache a Locate response.
  std::chrono::milliseconds mAddressLifetime{ 10000 };
  /// Length of a usage window.
  std::chrono::milliseconds mUsageWindow{ 60000 };
  /// Maximum time that a drain waits for running requests.
  std::chrono::milliseconds mDrainTimeout{ 30000 };
  /// Policy name by decision, for example by "replica_choice".
  std::map<std::string, std::string> mPolicies;
};

/// @brief Parses settings from JSON with comments.
/// Errors: an Error object of kind InvalidArgument with the key, the reason and
/// the remedy is loaded into the LEAF result.
leaf::result<Settings> ParseSettings(std::string_view aText);

/// @brief Reads settings from a file. Errors: those of ParseSettings();
/// NotFound when the file cannot be read.
leaf::result<Settings> LoadSettings(const std::string& aPath);

} // namespace agatetide::daemon
