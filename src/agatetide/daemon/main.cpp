#include "agatetide/base/crash_log.hpp"
#include "agatetide/base/event_log.hpp"
#include "agatetide/daemon/daemon.hpp"
#include "agatetide/daemon/settings.hpp"
#include "platform/run.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <cxxopts.hpp>

#include <csignal>
#include <iostream>
#include <optional>

using namespace agatetide;
using namespace agatetide::daemon;

namespace {

enum ExitCode
{
  Success = 0,
  RuntimeFailure = 1,
  Usage = 2,
  InvalidSettings = 3,
  AddressInUse = 4,
};

constexpr const char* kHelpFooter = R"(
Signals: SIGTERM or SIGINT drains and exits; a second one exits at once and
aborts running requests.
Exit codes: 0 normal, 1 runtime failure or second signal, 2 usage,
3 invalid settings, 4 address in use.
)";

/// Reads the settings; prints the error and returns std::nullopt on failure.
std::optional<Settings> LoadOrPrintError(const std::string& aPath)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<Settings>> {
      BOOST_LEAF_AUTO(settings, LoadSettings(aPath));
      return std::optional<Settings>(std::move(settings));
    },
    [](const Error& aError) {
      std::cerr << "agatetided: " << FormatError(aError) << "\n";
      return std::optional<Settings>();
    },
    [] {
      std::cerr << "agatetided: cannot read the settings\n";
      return std::optional<Settings>();
    });
}

int Serve(const Settings& aSettings)
{
  StartEventLog(aSettings.mLogLevel, aSettings.mLogPath);
  auto created = Daemon::Create(aSettings);
  if (created.has_error()) {
    LogEvent("start_failed", LogLevel::Error)
      .Field("error", FormatError(created.error()))
      .Write();
    StopEventLog();
    std::cerr << "agatetided: " << FormatError(created.error()) << "\n";
    return created.error().mKind == ErrorKind::Unavailable ? AddressInUse
                                                           : RuntimeFailure;
  }
  const int code = (*created)->Run();
  StopEventLog();
  return code;
}

int RunOnPlatform(const std::string& aRole)
{
  if (aRole == "entry") {
    return adapter::RunEntryHost();
  }
  if (aRole == "disk") {
    return adapter::RunDiskHost();
  }
  std::cerr << "agatetided: --platform-role must be entry or disk\n";
  return Usage;
}

} // namespace

int main(int aCount, char** aArguments)
{
  // The request to reload may arrive before its handler is set, and would end
  // the process by default.
  std::signal(SIGHUP, SIG_IGN);
  // A reader of the log that goes away must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  InstallCrashLog();
  cxxopts::Options options("agatetided", "Rollout service daemon.");
  options.add_options()("settings",
                        "Settings file, JSON with comments",
                        cxxopts::value<std::string>())(
    "check-config", "Check the settings file and exit")(
    "platform-role",
    "Run on the platform as \"entry\" or \"disk\", with the settings that the "
    "platform provides",
    cxxopts::value<std::string>())("version", "Print the version")(
    "help", "Print this text");
  try {
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << kHelpFooter;
      return Success;
    }
    if (parsed.count("version") > 0) {
      std::cout << "agatetided " AGATETIDE_VERSION "\n";
      return Success;
    }
    if (parsed.count("platform-role") > 0) {
      return RunOnPlatform(parsed["platform-role"].as<std::string>());
    }
    if (parsed.count("settings") == 0) {
      std::cerr << "agatetided: --settings is missing; see --help\n";
      return Usage;
    }
    const auto settings =
      LoadOrPrintError(parsed["settings"].as<std::string>());
    if (!settings) {
      return InvalidSettings;
    }
    if (parsed.count("check-config") > 0) {
      std::cout << "settings are valid\n";
      return Success;
    }
    return Serve(*settings);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "agatetided: " << error.what() << "; see --help\n";
    return Usage;
  }
}
