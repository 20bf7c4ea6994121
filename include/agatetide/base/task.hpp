#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/error.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <exception>
#include <functional>
#include <string_view>
#include <utility>

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

/// @brief Starts a task that lasts as long as the process. When an exception
/// ends it, for example for lack of memory, it is logged and the task is
/// started again after a second. When its coroutine is destroyed, as asio does
/// if an operation cannot be started, RestartLostTasks() starts it again. It
/// ends when aStart returns. Thread-safe. Precondition: aTask, the name in the
/// log, is a literal.
void SpawnSupervised(boost::asio::any_io_executor aExecutor,
                     std::string_view aTask,
                     std::function<Awaitable<void>()> aStart);

/// @brief Starts tasks of SpawnSupervised() again whose coroutines were
/// destroyed. Thread-safe. Precondition: the event loops of the tasks exist.
void RestartLostTasks();

/// @brief Logs an exception that left a task or an event handler, at most one a
/// second, and counts it. Thread-safe.
void LogTaskFailure(std::string_view aTask,
                    const std::exception_ptr& aFailure) noexcept;

/// @brief The error of a call that an exception has ended. Logs the exception,
/// see LogTaskFailure(). Thread-safe.
Error EndedByException(std::string_view aCall,
                       const std::exception_ptr& aFailure);

/// @brief Turns an exception of a call, most often for lack of memory for its
/// response, into an error (ResourceExhausted, outcome unknown), so that those
/// who wait for the call, and what they note of it, go on as after any other
/// failure. Thread-safe. Precondition: aCall, the name in the log, is a
/// literal.
template<class T>
Awaitable<Result<T>> FailureAsError(std::string_view aCall,
                                    Awaitable<Result<T>> aResult)
{
  std::exception_ptr failure;
  try {
    co_return co_await std::move(aResult);
  } catch (...) {
    failure = std::current_exception();
  }
  co_return EndedByException(aCall, failure);
}

/// @brief Tasks and event handlers that an exception has left since the start.
/// Thread-safe.
uint64_t TaskFailureCount();

} // namespace agatetide
