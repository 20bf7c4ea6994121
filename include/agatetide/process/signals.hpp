#pragma once

#include <optional>

namespace agatetide::process {

/// @brief Blocks the signals to stop and to reload until UnblockSignals(),
/// and ignores those that have no meaning for the daemon and would end it, such
/// as SIGPIPE and SIGUSR1. Threads that start before UnblockSignals() never
/// receive a signal to stop. Does not allocate; call it before any other thread
/// runs.
void BlockSignals();

/// @brief Delivers pending signals and later ones to this thread, also those
/// that the starter of the process had blocked. Call it once their handlers are
/// installed.
void UnblockSignals();

/// @brief A pending signal that asks the process to stop, if one has arrived.
/// Thread-safe between BlockSignals() and UnblockSignals().
std::optional<int> PendingStopSignal();

} // namespace agatetide::process
