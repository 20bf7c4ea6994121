#pragma once

namespace agatetide {

/// @brief Writes a log line to standard error when a signal of a fault (such
/// as SIGSEGV) ends the process: the signal, the address that was accessed, and
/// the call stack as offsets into the program, which `addr2line -e` resolves.
/// The process ends with the signal as before.
///
/// An exception that nobody catches leaves a line with its text before that of
/// the abort. A full pipe does not hold up the end of the process: the line is
/// dropped.
///
/// Call it once at the start, from the main thread; it allocates. The handler
/// does not, so that it also works after the heap was damaged or used up, and
/// has a stack of its own, so that it also works after a stack overflow of the
/// main thread.
void InstallCrashLog();

/// @brief Called in the handler of a fault with its signal. It may do only what
/// a signal handler may.
using FaultObserver = void (*)(int);

/// @brief Sets the observer of faults, or none. Precondition: no fault is being
/// handled.
void SetFaultObserver(FaultObserver aObserver);

} // namespace agatetide
