#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/daemon/settings.hpp"
#include "agatetide/process/process.hpp"

#include <memory>

namespace agatetide::daemon {

/// @brief One daemon process: the traffic thread, the control thread and the
/// queues between them.
class Daemon
{
public:
  /// @brief Opens all listening sockets. aSettings and aProcess must outlive
  /// the daemon; aMaxDescriptors is what the process may open.
  /// Errors: Unavailable when an address is in use; InvalidArgument.
  static Result<std::unique_ptr<Daemon>> Create(const Settings& aSettings,
                                                process::Process& aProcess,
                                                size_t aMaxDescriptors);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// @brief Serves until SIGTERM or SIGINT, then drains. A second signal ends
  /// the process at once.
  void Run();

private:
  struct State;
  explicit Daemon(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace agatetide::daemon
