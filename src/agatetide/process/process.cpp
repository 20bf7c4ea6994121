#include "agatetide/process/process.hpp"

#include "agatetide/base/crash_log.hpp"
#include "agatetide/base/task.hpp"
#include "agatetide/process/process_record.hpp"
#include "agatetide/process/signals.hpp"
#include "agatetide/process/standard_streams.hpp"
#include "watched_loop.hpp"

#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <system_error>
#include <thread>

namespace agatetide::process {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds kWatchInterval{ 1000 };
/// The record is written, and usage logged, once in so many watch intervals.
constexpr unsigned kIntervalsPerRecord = 2;
constexpr unsigned kIntervalsPerLine = 10;
/// What the last line and the stop of the log may take.
constexpr unsigned kEndTimeoutS = 5;
constexpr double kBytesPerMegabyte = 1048576.0;

double Megabytes(size_t aBytes)
{
  return static_cast<double>(aBytes) / kBytesPerMegabyte;
}

std::string_view PhaseName(Phase aPhase)
{
  switch (aPhase) {
    case Phase::Starting:
      return "starting";
    case Phase::Serving:
      return "serving";
    case Phase::Stopping:
      break;
  }
  return "stopping";
}

std::string ReadBootId()
{
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  std::getline(file, id);
  return id;
}

void AppendUsage(LogEvent& aEvent,
                 const ResourceUsage& aUsage,
                 const ResourceLimits& aLimits)
{
  aEvent.Field("memory_mb", Megabytes(aUsage.mResidentBytes))
    .Field("memory_peak_mb", Megabytes(aUsage.mPeakResidentBytes))
    .Field("memory_limit_mb", Megabytes(aLimits.mMemoryBytes))
    .Field("descriptors", static_cast<uint64_t>(aUsage.mDescriptors))
    .Field("descriptor_limit", static_cast<uint64_t>(aLimits.mDescriptors));
}

/// An end that the process could not record came from outside, for example as
/// SIGKILL for too much memory.
std::string_view CauseOf(const ProcessRecord& aRecord, std::string_view aBootId)
{
  if (!aRecord.mEndCause.empty()) {
    return aRecord.mEndCause;
  }
  return aRecord.mBootId == aBootId ? "killed" : "host_restarted";
}

void LogPreviousEnd(const ProcessRecord& aRecord, std::string_view aBootId)
{
  LogEvent event("previous_end");
  event.Field("cause", CauseOf(aRecord, aBootId));
  if (aRecord.mEndSignal != 0) {
    event.Field("signal", aRecord.mEndSignal);
  }
  if (!aRecord.mEndError.empty()) {
    event.Field("error", aRecord.mEndError);
  }
  event.Field("phase", aRecord.mPhase)
    .Field("pid", aRecord.mProcessId)
    .Field("uptime_s", aRecord.mUptimeS)
    .Field("stalled_s", aRecord.mStalledS);
  AppendUsage(event, aRecord.mUsage, aRecord.mLimits);
  event.Field("activity", aRecord.mActivity).Write();
}

} // namespace

struct Process::State
{
  explicit State(ProcessOptions aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  double UptimeS() const
  {
    return Seconds(std::chrono::steady_clock::now() - mStartedAt);
  }

  void OpenRecord()
  {
    auto file = ProcessRecordFile::Open(
      ProcessRecordFile::PathFor(mOptions.mRole, mOptions.mSettingsPath));
    if (file.has_error()) {
      LogEvent("process_record_unusable", LogLevel::Warning)
        .Field("error", FormatError(file.error()))
        .Write();
      return;
    }
    mRecord.emplace(std::move(*file));
    if (mRecord->Previous()) {
      LogPreviousEnd(*mRecord->Previous(), mBootId);
    }
    SetFaultObserver(ProcessRecordFile::RecordFault);
  }

  /// Precondition: mMutex is held.
  ProcessRecord MakeRecord(const ResourceUsage& aUsage) const
  {
    ProcessRecord record;
    record.mProcessId = ::getpid();
    record.mBootId = mBootId;
    record.mPhase = PhaseName(mPhase);
    record.mUptimeS = UptimeS();
    record.mUsage = aUsage;
    record.mLimits = mLimits;
    record.mStalledS = Seconds(mStalled);
    record.mActivity = Activity();
    return record;
  }

  /// Precondition: mMutex is held.
  std::string Activity() const
  {
    std::string activity;
    for (const WatchedLoop& loop : mLoops) {
      activity += (activity.empty() ? "" : " ") + loop.LastActivity();
    }
    return activity;
  }

  /// Precondition: mMutex is held.
  void WriteRecord(const ResourceUsage& aUsage)
  {
    if (mRecord) {
      mRecord->Write(MakeRecord(aUsage));
    }
  }

  void StartWatching()
  {
    try {
      mWatcher = std::thread([this] { Watch(); });
    } catch (const std::system_error& error) {
      LogEvent("watcher_missing", LogLevel::Warning)
        .Field("error", error.what())
        .Write();
    }
  }

  void StopWatching()
  {
    {
      const std::lock_guard lock(mMutex);
      mEnded = true;
    }
    mWake.notify_all();
    if (mWatcher.joinable()) {
      mWatcher.join();
    }
  }

  void Watch()
  {
    for (unsigned interval = 1; WaitForInterval(); ++interval) {
      EndLateStop();
      try {
        WatchOnce(interval);
      } catch (...) {
        LogTaskFailure("watch", std::current_exception());
      }
    }
  }

  /// Waits for the next interval, or less until the deadline of the stop.
  /// Returns false if the process ends.
  bool WaitForInterval()
  {
    std::unique_lock lock(mMutex);
    const TimePoint next = std::chrono::steady_clock::now() + kWatchInterval;
    mWake.wait_until(lock, std::min(next, mStopDeadline));
    return !mEnded;
  }

  /// Ends the process if it has not stopped in time. Needs no memory.
  void EndLateStop()
  {
    const std::lock_guard lock(mMutex);
    if (std::chrono::steady_clock::now() >= mStopDeadline) {
      EndNow(EndCause::StopTimedOut, mStopSignal);
    }
  }

  void WatchOnce(unsigned aInterval)
  {
    const bool readsUsage = aInterval % kIntervalsPerRecord == 0;
    const ResourceUsage usage =
      readsUsage ? ReadResourceUsage() : ResourceUsage();
    RestartLostTasks();
    RefillMemoryReserve();
    const std::lock_guard lock(mMutex);
    CheckLoops();
    FlushEventLog();
    if (readsUsage) {
      WriteRecord(usage);
    }
    if (aInterval % kIntervalsPerLine == 0) {
      LogUsage(usage);
    }
  }

  /// Precondition: mMutex is held.
  void CheckLoops()
  {
    mStalled = Duration::zero();
    for (WatchedLoop& loop : mLoops) {
      const Duration stalled = loop.Check();
      mStalled = std::max(mStalled, stalled);
      if (loop.IsNewStall(stalled)) {
        LogEvent("loop_stalled", LogLevel::Error)
          .Field("loop", loop.Name())
          .Field("stalled_s", Seconds(stalled))
          .Write();
      }
    }
  }

  /// Precondition: mMutex is held.
  void LogUsage(const ResourceUsage& aUsage) const
  {
    LogEvent event("process");
    event.Field("phase", PhaseName(mPhase)).Field("uptime_s", UptimeS());
    AppendUsage(event, aUsage, mLimits);
    event.Field("address_space_mb", Megabytes(aUsage.mAddressSpaceBytes))
      .Field("stalled_s", Seconds(mStalled))
      .Field("task_failures", TaskFailureCount())
      .Field("dropped_lines", DroppedLogLines())
      .Field("activity", Activity())
      .Write();
  }

  /// Precondition: mMutex is held.
  void LogEnd(const ProcessEnd& aEnd)
  {
    const ResourceUsage usage = ReadResourceUsage();
    const bool failed = ExitCodeOf(aEnd.mCause) != ExitCode::Success;
    LogEvent event(mPhase == Phase::Starting && failed ? "start_failed"
                                                       : "stopped",
                   failed ? LogLevel::Error : LogLevel::Info);
    event.Field("role", mOptions.mRole)
      .Field("cause", EndCauseName(aEnd.mCause));
    if (aEnd.mSignal != 0) {
      event.Field("signal", aEnd.mSignal);
    }
    event.Field("code", static_cast<int>(ExitCodeOf(aEnd.mCause)));
    if (!aEnd.mError.empty()) {
      event.Field("error", aEnd.mError);
    }
    event.Field("phase", PhaseName(mPhase)).Field("uptime_s", UptimeS());
    AppendUsage(event, usage, mLimits);
    event.Field("dropped_lines", DroppedLogLines()).Write();
    if (mRecord) {
      ProcessRecord record = MakeRecord(usage);
      record.mEndCause = EndCauseName(aEnd.mCause);
      record.mEndSignal = aEnd.mSignal;
      record.mEndError = aEnd.mError;
      mRecord->Write(record);
    }
  }

  /// Precondition: mMutex is held.
  [[noreturn]] void EndNow(EndCause aCause, int aSignal)
  {
    try {
      LogEnd({ aCause, aSignal });
      // Other threads may log, so the log is not stopped.
      FlushEventLog();
    } catch (const std::exception&) {
      // Without memory there is no last line.
    }
    std::this_thread::sleep_for(kLastLineTime);
    std::_Exit(static_cast<int>(ExitCodeOf(aCause)));
  }

  /// Time for the log thread to write the last line.
  static constexpr Milliseconds kLastLineTime{ 100 };

  const ProcessOptions mOptions;
  const TimePoint mStartedAt = std::chrono::steady_clock::now();
  const std::string mBootId = ReadBootId();
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mEnded = false;
  Phase mPhase = Phase::Starting;
  ResourceLimits mLimits;
  std::list<WatchedLoop> mLoops;
  /// The longest time for which a loop has not responded now.
  Duration mStalled{};
  int mStopSignal = 0;
  TimePoint mStopDeadline = TimePoint::max();
  std::optional<ProcessRecordFile> mRecord;
  std::thread mWatcher;
};

void Process::Prepare()
{
  OpenClosedStreams();
  BlockSignals();
  ConfigureMemory();
  RefillMemoryReserve();
  InstallCrashLog();
}

std::unique_ptr<Process> Process::Start(ProcessOptions aOptions)
{
  StartEventLog(aOptions.mLogLevel, aOptions.mLogPath);
  auto state = std::make_unique<State>(std::move(aOptions));
  state->OpenRecord();
  {
    const std::lock_guard lock(state->mMutex);
    state->WriteRecord(ReadResourceUsage());
  }
  state->StartWatching();
  return std::unique_ptr<Process>(new Process(std::move(state)));
}

Process::Process(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

Process::~Process()
{
  mState->StopWatching();
}

void Process::SetPhase(Phase aPhase)
{
  const std::lock_guard lock(mState->mMutex);
  mState->mPhase = aPhase;
  try {
    mState->WriteRecord(ReadResourceUsage());
  } catch (const std::exception&) {
    LogTaskFailure("process_record", std::current_exception());
  }
}

void Process::SetLimits(const ResourceLimits& aLimits)
{
  const std::lock_guard lock(mState->mMutex);
  mState->mLimits = aLimits;
}

void Process::RunLoop(asio::io_context& aLoop,
                      std::string_view aName,
                      std::function<std::string()> aActivity)
{
  std::list<WatchedLoop>::iterator watched;
  {
    const std::lock_guard lock(mState->mMutex);
    watched = mState->mLoops.emplace(
      mState->mLoops.end(), aLoop, aName, std::move(aActivity));
  }
  for (bool ended = false; !ended;) {
    try {
      aLoop.run();
      ended = true;
    } catch (...) {
      LogTaskFailure(aName, std::current_exception());
    }
  }
  const std::lock_guard lock(mState->mMutex);
  mState->mLoops.erase(watched);
}

void Process::BeginStop(int aSignal, Milliseconds aTimeout)
{
  {
    const std::lock_guard lock(mState->mMutex);
    mState->mStopSignal = aSignal;
    mState->mStopDeadline = std::chrono::steady_clock::now() + aTimeout;
  }
  mState->mWake.notify_all();
  SetPhase(Phase::Stopping);
}

ExitCode Process::End(const ProcessEnd& aEnd)
{
  mState->StopWatching();
  // Ends the process by SIGALRM if the log cannot be stopped, for example when
  // its file system hangs.
  std::signal(SIGALRM, SIG_DFL);
  ::alarm(kEndTimeoutS);
  {
    const std::lock_guard lock(mState->mMutex);
    mState->LogEnd(aEnd);
  }
  StopEventLog();
  return ExitCodeOf(aEnd.mCause);
}

void Process::EndNow(EndCause aCause, int aSignal)
{
  const std::lock_guard lock(mState->mMutex);
  mState->EndNow(aCause, aSignal);
}

ProcessEnd Process::StoppedBySignal() const
{
  const std::lock_guard lock(mState->mMutex);
  return { EndCause::Signal, mState->mStopSignal };
}

} // namespace agatetide::process
