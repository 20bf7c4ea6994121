#include "agatetide/daemon/settings.hpp"

#include "agatetide/coordination/read_lease.hpp"
#include "agatetide/process/settings_file.hpp"
#include "agatetide/process/settings_schema.hpp"
#include "agatetide/process/signals.hpp"

#include <nlohmann/json.hpp>

namespace agatetide::daemon {

using nlohmann::json;

namespace {

constexpr const char* kSettingsSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["listen", "availability_zone", "region", "store", "cluster_secret"],
  "properties": {
    "listen": {
      "type": "object",
      "additionalProperties": false,
      "required": ["callers", "daemons"],
      "properties": {
        "callers": { "type": "string" },
        "daemons": { "type": "string" }
      }
    },
    "advertise": {
      "type": "object",
      "additionalProperties": false,
      "properties": { "daemons": { "type": "string" } }
    },
    "availability_zone": { "type": "string", "minLength": 1 },
    "region": { "type": "string", "minLength": 1 },
    "store": { "type": "array", "minItems": 1, "items": { "type": "string" } },
    "platform": { "type": "string" },
    "cluster_secret": { "type": "string", "minLength": 16 },
    "bootstrap_key_sha256": { "type": "string", "minLength": 64, "maxLength": 64 },
    "seeds": { "type": "array", "items": { "type": "string" } },
    "data_folder": { "type": "string" },
    "log": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "level": { "enum": ["debug", "info", "warning", "error"] },
        "path": { "type": "string" }
      }
    },
    "trust_time_ms": { "type": "integer", "minimum": 500, "maximum": 6000 },
    "address_lifetime_ms": { "type": "integer", "minimum": 100, "maximum": 600000 },
    "usage_window_ms": { "type": "integer", "minimum": 1000, "maximum": 3600000 },
    "drain_time_ms": { "type": "integer", "minimum": 0, "maximum": 3600000 },
    "policies": { "type": "object", "additionalProperties": { "type": "string" } }
  }
})";

leaf::error_id InvalidSettings(std::string aMessage, std::string aRemedy)
{
  return leaf::new_error(Error{
    ErrorKind::InvalidArgument, std::move(aMessage), std::move(aRemedy) });
}

leaf::result<http::Endpoint> ParseAddress(const std::string& aKey,
                                          const std::string& aText)
{
  const auto endpoint = http::ParseEndpoint(aText);
  if (endpoint.has_error()) {
    return InvalidSettings(aKey + ": " + endpoint.error().mMessage,
                           endpoint.error().mRemedy);
  }
  return *endpoint;
}

std::chrono::milliseconds DurationOr(const json& aSettings,
                                     const char* aKey,
                                     std::chrono::milliseconds aDefault)
{
  return std::chrono::milliseconds(aSettings.value(aKey, aDefault.count()));
}

} // namespace

leaf::result<Settings> ParseSettings(std::string_view aText)
{
  constexpr bool kAllowComments = true;
  json parsed;
  try {
    parsed = json::parse(aText, nullptr, true, kAllowComments);
  } catch (const json::exception& error) {
    return InvalidSettings(std::string("the settings are not valid JSON: ") +
                             error.what(),
                           "correct the syntax at this position");
  }
  const auto checked = process::CheckSettings(parsed, kSettingsSchema);
  if (checked.has_error()) {
    return leaf::new_error(checked.error());
  }
  Settings settings;
  BOOST_LEAF_ASSIGN(
    settings.mCallerListen,
    ParseAddress("listen.callers", parsed["listen"]["callers"]));
  BOOST_LEAF_ASSIGN(
    settings.mDaemonListen,
    ParseAddress("listen.daemons", parsed["listen"]["daemons"]));
  settings.mDaemonAdvertise = settings.mDaemonListen;
  const json advertise = parsed.value("advertise", json::object());
  if (advertise.contains("daemons")) {
    BOOST_LEAF_ASSIGN(settings.mDaemonAdvertise,
                      ParseAddress("advertise.daemons", advertise["daemons"]));
  }
  for (const json& store : parsed["store"]) {
    BOOST_LEAF_AUTO(endpoint, ParseAddress("store", store));
    settings.mStoreEndpoints.push_back(endpoint);
  }
  if (parsed.contains("platform")) {
    BOOST_LEAF_ASSIGN(settings.mPlatformEndpoint,
                      ParseAddress("platform", parsed["platform"]));
  }
  settings.mAvailabilityZone = parsed["availability_zone"];
  settings.mRegion = parsed["region"];
  settings.mClusterSecret = parsed["cluster_secret"];
  settings.mBootstrapKeySha256 = parsed.value("bootstrap_key_sha256", "");
  settings.mSeeds = parsed.value("seeds", std::vector<std::string>());
  settings.mDataFolder = parsed.value("data_folder", "");
  const json log = parsed.value("log", json::object());
  settings.mLogLevel = LogLevelFromName(log.value("level", "info"));
  settings.mLogPath = log.value("path", "");
  settings.mReadLeaseDuration =
    DurationOr(parsed, "trust_time_ms", settings.mReadLeaseDuration);
  settings.mAddressLifetime =
    DurationOr(parsed, "address_lifetime_ms", settings.mAddressLifetime);
  settings.mUsageWindow =
    DurationOr(parsed, "usage_window_ms", settings.mUsageWindow);
  settings.mDrainTimeout =
    DurationOr(parsed, "drain_time_ms", settings.mDrainTimeout);
  settings.mPolicies =
    parsed.value("policies", std::map<std::string, std::string>());
  return settings;
}

leaf::result<Settings> LoadSettings(const std::string& aPath)
{
  process::SettingsFileOptions options;
  options.mIsStopping = [] { return process::PendingStopSignal().has_value(); };
  constexpr bool kAllowComments = true;
  const auto isComplete = [](std::string_view aText) {
    return json::accept(aText, kAllowComments);
  };
  const auto text = process::ReadSettingsFile(aPath, isComplete, options);
  if (text.has_error()) {
    return leaf::new_error(text.error());
  }
  return ParseSettings(*text);
}

} // namespace agatetide::daemon
