#pragma once

#include <string>
#include <string_view>

namespace agatetide::process {

/// @brief Exit codes of the daemon. An end by a signal has none.
enum class ExitCode
{
  Success = 0,
  RuntimeFailure = 1,
  Usage = 2,
  InvalidSettings = 3,
  AddressInUse = 4,
  ResourcesExhausted = 5,
};

/// @brief Why a process ended.
enum class EndCause
{
  /// A signal asked it to stop.
  Signal,
  /// A second signal asked it to stop without waiting.
  SecondSignal,
  /// It did not end by itself within the time to stop.
  StopTimedOut,
  InvalidSettings,
  AddressInUse,
  /// The system refused a thread, a descriptor or memory at the start.
  ResourcesExhausted,
  RuntimeFailure,
};

/// @brief The end of a process, as its last log line tells it.
struct ProcessEnd
{
  EndCause mCause = EndCause::Signal;
  /// 0 if no signal caused the end.
  int mSignal = 0;
  std::string mError = {};
};

/// @brief The name in the log, for example "invalid_settings".
std::string_view EndCauseName(EndCause aCause);

ExitCode ExitCodeOf(EndCause aCause);

} // namespace agatetide::process
