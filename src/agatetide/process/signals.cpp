#include "agatetide/process/signals.hpp"

#include <array>
#include <csignal>

namespace agatetide::process {

namespace {

constexpr std::array kStopSignals{ SIGTERM, SIGINT };
/// Signals whose default action ends or stops a process. A write to a pipe
/// without a reader, over the limit of the file size or to a terminal in the
/// background fails instead.
constexpr std::array kIgnoredSignals{ SIGPIPE,   SIGXFSZ, SIGTTOU,
                                      SIGUSR1,   SIGUSR2, SIGALRM,
                                      SIGVTALRM, SIGIO,   SIGPWR };

sigset_t BlockedSignals()
{
  sigset_t signals;
  ::sigemptyset(&signals);
  for (const int signal : kStopSignals) {
    ::sigaddset(&signals, signal);
  }
  ::sigaddset(&signals, SIGHUP);
  return signals;
}

} // namespace

void BlockSignals()
{
  const sigset_t signals = BlockedSignals();
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  for (const int signal : kIgnoredSignals) {
    std::signal(signal, SIG_IGN);
  }
}

void UnblockSignals()
{
  const sigset_t signals = BlockedSignals();
  ::pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

std::optional<int> PendingStopSignal()
{
  sigset_t pending;
  ::sigpending(&pending);
  for (const int signal : kStopSignals) {
    if (::sigismember(&pending, signal) == 1) {
      return signal;
    }
  }
  return std::nullopt;
}

} // namespace agatetide::process
