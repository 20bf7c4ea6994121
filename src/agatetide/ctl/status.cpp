#include "agatetide/ctl/objects.hpp"
#include "agatetide/ctl/output.hpp"

#include <iostream>
#include <thread>

namespace agatetide::ctl {

namespace {

Result<int> ShowStatus(const Session& aSession, const Arguments& aArguments)
{
  const auto status =
    aSession.Invoke<v1::StatusResponse>("Admin/Status", v1::StatusRequest());
  if (status.has_error()) {
    return status.error();
  }
  if (aArguments.mJson) {
    PrintJson(*status);
    std::cout.flush();
    return Success;
  }
  std::cout << "configuration version " << status->config_version()
            << (status->trusted() ? ", trusted" : ", not trusted")
            << (status->store_contact() ? ", store reached\n\n"
                                        : ", store not reached\n\n")
            << MessageTable(status->hosts()).Text() << "\n"
            << MessageTable(status->leases()).Text() << "\n"
            << MessageTable(status->replicas()).Text() << "\n"
            << "quarantined requests: " << status->quarantined_size() << "\n";
  for (const std::string& fingerprint : status->quarantined()) {
    std::cout << "  " << fingerprint << "\n";
  }
  std::cout.flush();
  return Success;
}

Result<int> Watch(const Session& aSession, const Arguments& aArguments)
{
  const auto interval =
    ParseNumber("--interval", aArguments.Value("interval", "2"));
  const auto count = ParseNumber("--count", aArguments.Value("count", "0"));
  for (const auto* number : { &interval, &count }) {
    if (number->has_error()) {
      return number->error();
    }
  }
  for (uint64_t shown = 0; *count == 0 || shown < *count; ++shown) {
    if (shown > 0) {
      std::this_thread::sleep_for(std::chrono::seconds(*interval));
    }
    auto result = ShowStatus(aSession, aArguments);
    // Continue while the hosts are unavailable, and report it.
    if (result.has_error() &&
        ExitCodeOf(result.error()) != ServiceUnavailable) {
      return result;
    }
    if (result.has_error()) {
      std::cerr << FormatError(result.error()) << "\n";
    }
  }
  return Success;
}

Result<int> ShowUsage(const Session& aSession, const Arguments& aArguments)
{
  const auto windows =
    ParseNumber("--windows", aArguments.Value("windows", "1"));
  if (windows.has_error()) {
    return windows.error();
  }
  v1::UsageRequest request;
  request.set_windows(static_cast<uint32_t>(*windows));
  const auto usage = aSession.Invoke<v1::UsageResponse>("Admin/Usage", request);
  if (usage.has_error()) {
    return usage.error();
  }
  if (aArguments.mJson) {
    PrintJson(*usage);
  } else {
    std::cout << MessageTable(usage->lines()).Text();
  }
  return Success;
}

} // namespace

std::vector<Command> StatusCommands()
{
  Command status;
  status.mName = "status";
  status.mSummary =
    "Hosts with their configuration version, leases, replicas and "
    "quarantined requests";
  status.mForms = { "" };
  status.mRun = ShowStatus;

  Command watch;
  watch.mName = "watch";
  watch.mSummary = "Show the status repeatedly";
  watch.mForms = { "" };
  watch.mOptions = {
    { "interval", "SECONDS", "Time between two outputs; 2 by default" },
    { "count",
      "N",
      "Stop after this many outputs; 0 (the default) means never" },
  };
  watch.mRun = Watch;

  Command usage;
  usage.mName = "usage";
  usage.mSummary = "Usage by client account in sealed windows";
  usage.mForms = { "" };
  usage.mOptions = {
    { "windows", "N", "Number of most recent windows; 1 by default" }
  };
  usage.mRun = ShowUsage;
  return { status, watch, usage };
}

} // namespace agatetide::ctl
