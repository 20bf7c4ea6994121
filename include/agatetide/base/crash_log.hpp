#pragma once

namespace agatetide {

/// @brief Writes a log line to standard error when a signal of a fault (such
/// as SIGSEGV) ends the process: the signal, the address that was accessed, and
/// the call stack as offsets into the program, which `addr2line -e` resolves.
/// The process ends with the signal as before.
///
/// Call it once at the start, from the main thread; it allocates. The handler
/// does not, so that it also works after the heap was damaged or used up, and
/// has a stack of its own, so that it also works after a stack overflow of the
/// main thread.
void InstallCrashLog();

} // namespace agatetide
