#pragma once

#include "agatetide/base/awaitable.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <exception>
#include <functional>
#include <string_view>

namespace agatetide {

/// @brief Completion token of a coroutine that nobody waits for: logs an
/// exception that leaves the coroutine, and counts it. Without it the exception
/// is lost. Any thread may complete the coroutine.
class LogFailure
{
public:
  /// Precondition: aTask, the name in the log, is a literal.
  constexpr explicit LogFailure(std::string_view aTask)
    : mTask(aTask)
  {
  }

  void operator()(const std::exception_ptr& aFailure) const;

  template<class T>
  void operator()(const std::exception_ptr& aFailure, T&& /*aResult*/) const
  {
    operator()(aFailure);
  }

private:
  std::string_view mTask;
};

/// @brief Runs a task that lasts as long as the process. When an exception ends
/// it, for example for lack of memory, it is logged and the task is started
/// again after a second. Returns when the task does.
/// Precondition: aTask, the name in the log, is a literal.
Awaitable<void> KeepRunning(std::string_view aTask,
                            std::function<Awaitable<void>()> aStart);

/// @brief Starts a task that is kept running; see KeepRunning().
void SpawnKept(boost::asio::any_io_executor aExecutor,
               std::string_view aTask,
               std::function<Awaitable<void>()> aStart);

/// @brief Logs an exception that left a task or an event handler, at most one a
/// second, and counts it. Thread-safe.
void LogTaskFailure(std::string_view aTask,
                    const std::exception_ptr& aFailure) noexcept;

/// @brief Tasks and event handlers that an exception has left since the start.
/// Thread-safe.
uint64_t TaskFailureCount();

} // namespace agatetide
