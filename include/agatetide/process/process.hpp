#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/base/error.hpp"
#include "agatetide/base/event_log.hpp"
#include "agatetide/process/end.hpp"
#include "agatetide/process/resources.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace agatetide::process {

enum class Phase
{
  Starting,
  Serving,
  Stopping,
};

struct ProcessOptions
{
  /// The role in the log, for example "entry".
  std::string mRole;
  /// Tells processes with the same role apart.
  std::string mSettingsPath;
  LogLevel mLogLevel = LogLevel::Info;
  /// Empty for standard error.
  std::string mLogPath;
};

/// @brief The life of a process, from its first statement to its exit code:
/// standard streams, signals, memory of the C library, log, event loops, the
/// last line of the log, and the record for the next start.
///
/// Start it once. A thread watches the event loops, writes the record and a
/// line about resources, and enforces the deadline of the stop.
class Process
{
public:
  /// @brief Prepares standard streams, signals, memory and the log of faults.
  /// The first statement of main(); no other thread runs.
  static void Prepare();

  /// @brief Starts the log and the watching thread, and logs how the process
  /// before ended. Precondition: Prepare() was called.
  static std::unique_ptr<Process> Start(ProcessOptions aOptions);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// @brief The phase in the record and the log. Thread-safe.
  void SetPhase(Phase aPhase);

  /// @brief The limits that usage is compared with. Thread-safe.
  void SetLimits(const ResourceLimits& aLimits);

  /// @brief Runs an event loop until it is stopped or has no work. An
  /// exception that leaves a handler is logged and counted, and the loop goes
  /// on. The loop calls aActivity once a second; its short text, such as
  /// "requests=3", tells in the log and in the record what was being done. May
  /// run on several threads, each with a loop of its own.
  /// Precondition: aName is a literal, and the loop is used by one thread.
  void RunLoop(boost::asio::io_context& aLoop,
               std::string_view aName,
               std::function<std::string()> aActivity = {});

  /// @brief Begins the phase Stopping. If End() is not called in time, the
  /// process ends with EndCause::StopTimedOut. Thread-safe.
  void BeginStop(int aSignal, Milliseconds aTimeout);

  /// @brief Writes the last line of the log and the record, and stops the log.
  /// Returns the exit code. Call it once; no other thread logs any more.
  ExitCode End(const ProcessEnd& aEnd);

  /// @brief Writes the last line and the record, and ends the process although
  /// its loops run. Thread-safe.
  [[noreturn]] void EndNow(EndCause aCause, int aSignal);

  /// @brief The end that the signal of BeginStop() caused. Thread-safe.
  ProcessEnd StoppedBySignal() const;

private:
  struct State;
  explicit Process(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace agatetide::process
