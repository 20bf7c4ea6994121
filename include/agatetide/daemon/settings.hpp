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
  http::Endpoint mCallerListen;
  http::Endpoint mDaemonListen;
  /// Daemon address that the other daemons use; mDaemonListen unless set.
  http::Endpoint mDaemonAdvertise;
  std::string mAvailabilityZone;
  std::string mRegion;
  std::vector<http::Endpoint> mStoreEndpoints;
  http::Endpoint mPlatformEndpoint;
  std::string mClusterSecret;
  /// Hex SHA-256 of a key that may administer until an operator key exists.
  std::string mBootstrapKeySha256;
  /// Daemon addresses to ask for the configuration while the store is down.
  std::vector<std::string> mSeeds;
  std::string mDataFolder;
  LogLevel mLogLevel = LogLevel::Info;
  std::string mLogPath;
  std::chrono::milliseconds mReadLeaseDuration{ 5000 };
  std::chrono::milliseconds mAddressLifetime{ 10000 };
  std::chrono::milliseconds mUsageWindow{ 60000 };
  std::chrono::milliseconds mDrainTimeout{ 30000 };
  /// Policy names by decision, for example "replica_choice".
  std::map<std::string, std::string> mPolicies;
};

/// @brief Reads settings from JSON with comments.
/// Loads a leaf Error of kind InvalidArgument that names the key, the reason
/// and the remedy.
leaf::result<Settings> ParseSettings(std::string_view aText);

/// @brief Reads settings from a file. Also loads NotFound.
leaf::result<Settings> LoadSettings(const std::string& aPath);

} // namespace agatetide::daemon
