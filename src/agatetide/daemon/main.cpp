#include "agatetide/base/log_output.hpp"
#include "agatetide/daemon/daemon.hpp"
#include "agatetide/daemon/settings.hpp"
#include "agatetide/process/listen_addresses.hpp"
#include "agatetide/process/process.hpp"
#include "agatetide/process/signals.hpp"
#include "platform/run.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <cxxopts.hpp>

#include <array>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>

using namespace agatetide;
using namespace agatetide::daemon;
using namespace agatetide::process;

namespace {

/// What the daemon can use: half is for callers, and its server accepts 4096.
constexpr size_t kMaxDescriptors = 8192;

constexpr const char* kHelpFooter = R"(
Signals: SIGTERM or SIGINT drains and exits; a second one exits at once and
aborts running requests.
Exit codes: 0 normal, 1 runtime failure or second signal, 2 usage,
3 invalid settings, 4 address in use, 5 out of threads, descriptors or memory.
)";

/// Tells the user of a failure, if somebody reads standard error.
void PrintError(std::string_view aMessage)
{
  LogOutput::StandardError().Write("agatetided: " + std::string(aMessage) +
                                   "\n");
}

/// Reads the settings; prints the error and returns std::nullopt on failure.
std::optional<Settings> LoadOrPrintError(const std::string& aPath)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<Settings>> {
      BOOST_LEAF_AUTO(settings, LoadSettings(aPath));
      return std::optional<Settings>(std::move(settings));
    },
    [](const Error& aError) {
      PrintError(FormatError(aError));
      return std::optional<Settings>();
    },
    [] {
      PrintError("cannot read the settings");
      return std::optional<Settings>();
    });
}

/// Waits until the daemon can listen on its addresses.
Result<bool> WaitForAddresses(const Settings& aSettings)
{
  const auto listen = [](std::string_view aName,
                         const http::Endpoint& aEndpoint,
                         Transport aTransport) {
    return ListenAddress{
      aName, aEndpoint.mAddress, aEndpoint.mPort, aTransport
    };
  };
  const std::array addresses{
    listen("callers", aSettings.mCallerListen, Transport::Tcp),
    listen("daemons", aSettings.mDaemonListen, Transport::TcpAndUdp)
  };
  AddressWaitOptions options;
  options.mIsStopping = [] { return PendingStopSignal().has_value(); };
  return process::WaitForAddresses(addresses, options);
}

ProcessEnd EndByOpenError(const Error& aError)
{
  if (const auto signal = PendingStopSignal()) {
    return { EndCause::Signal, *signal };
  }
  return { aError.mKind == ErrorKind::Unavailable ? EndCause::AddressInUse
                                                  : EndCause::RuntimeFailure,
           0,
           FormatError(aError) };
}

ProcessEnd ServeCallers(const Settings& aSettings, Process& aProcess)
{
  const auto free = WaitForAddresses(aSettings);
  if (free.has_error()) {
    return EndByOpenError(free.error());
  }
  ResourceLimits limits;
  limits.mDescriptors = RaiseDescriptorLimit(kMaxDescriptors);
  aProcess.SetLimits(limits);
  auto daemon = Daemon::Create(aSettings, aProcess, limits.mDescriptors);
  if (daemon.has_error()) {
    return EndByOpenError(daemon.error());
  }
  if (const auto signal = PendingStopSignal()) {
    return { EndCause::Signal, *signal };
  }
  aProcess.SetPhase(Phase::Serving);
  // Never destroyed, since suspended coroutines refer to it.
  daemon->release()->Run();
  return aProcess.StoppedBySignal();
}

[[noreturn]] void Serve(const std::string& aPath, const Settings& aSettings)
{
  const auto process = Process::Start(
    { "daemon", aPath, aSettings.mLogLevel, aSettings.mLogPath });
  ProcessEnd end;
  try {
    end = ServeCallers(aSettings, *process);
  } catch (const std::exception& error) {
    end = { EndCause::ResourcesExhausted, 0, error.what() };
  }
  const ExitCode code = process->End(end);
  if (code != ExitCode::Success) {
    PrintError(end.mError);
  }
  // Suspended coroutines and static objects are not destroyed.
  std::_Exit(static_cast<int>(code));
}

int RunOnPlatform(const std::string& aRole)
{
  if (aRole == "entry") {
    adapter::RunEntryHost();
  }
  if (aRole == "disk") {
    adapter::RunDiskHost();
  }
  PrintError("--platform-role must be entry or disk");
  return static_cast<int>(ExitCode::Usage);
}

cxxopts::Options MakeOptions()
{
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
  return options;
}

ExitCode RunWithSettings(const std::string& aPath, bool aOnlyCheck)
{
  const auto settings = LoadOrPrintError(aPath);
  if (!settings) {
    return ExitCode::InvalidSettings;
  }
  if (!aOnlyCheck) {
    Serve(aPath, *settings);
  }
  std::cout << "settings are valid\n";
  return ExitCode::Success;
}

int Run(int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << kHelpFooter;
    return static_cast<int>(ExitCode::Success);
  }
  if (parsed.count("version") > 0) {
    std::cout << "agatetided " AGATETIDE_VERSION "\n";
    return static_cast<int>(ExitCode::Success);
  }
  if (parsed.count("platform-role") > 0) {
    return RunOnPlatform(parsed["platform-role"].as<std::string>());
  }
  if (parsed.count("settings") == 0) {
    PrintError("--settings is missing; see --help");
    return static_cast<int>(ExitCode::Usage);
  }
  return static_cast<int>(RunWithSettings(parsed["settings"].as<std::string>(),
                                          parsed.count("check-config") > 0));
}

void BlockSignalsEarly(int /*aCount*/, char** /*aArguments*/, char** /*aEnv*/)
{
  BlockSignals();
}

/// Runs before the constructors of all libraries, which take most of the time
/// until main().
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kBlockSignalsEarly)(int,
                                               char**,
                                               char**) = BlockSignalsEarly;

} // namespace

int main(int aCount, char** aArguments)
{
  Process::Prepare();
  try {
    return Run(aCount, aArguments);
  } catch (const cxxopts::exceptions::exception& error) {
    PrintError(std::string(error.what()) + "; see --help");
    return static_cast<int>(ExitCode::Usage);
  } catch (const std::exception& error) {
    PrintError(error.what());
    return static_cast<int>(ExitCode::RuntimeFailure);
  }
}
