#pragma once

#include <optional>

namespace agatetide::process {

/// @brief Holds the signals to stop and to reload back until AllowSignals(),
/// and ignores those that have no meaning for the daemon and would end it, such
/// as SIGPIPE and SIGUSR1. Threads that start before AllowSignals() never
/// receive a signal to stop. Does not allocate; call it before any other thread
/// runs.
void HoldSignals();

/// @brief Delivers held signals and later ones to this thread, also those that
/// the starter of the process had blocked. Call it once their handlers are
/// installed.
void AllowSignals();

/// @brief A held signal that asks the process to stop, if one has arrived.
/// Thread-safe between HoldSignals() and AllowSignals().
std::optional<int> PendingStopSignal();

} // namespace agatetide::process
