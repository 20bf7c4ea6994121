#include "agatetide/base/task.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <mutex>
#include <new>
#include <string>
#include <thread>

namespace agatetide {

namespace {

constexpr std::chrono::seconds kRestartDelay{ 1 };
constexpr std::chrono::milliseconds kBlockingDelay{ 10 };

std::atomic<uint64_t> gFailures{ 0 };

std::string Describe(const std::exception_ptr& aFailure)
{
  try {
    std::rethrow_exception(aFailure);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "an exception of an unknown type";
  }
}

void WriteTaskFailure(std::string_view aTask,
                      const std::exception_ptr& aFailure)
{
  static std::mutex mutex;
  static LogLimiter limiter;
  const std::lock_guard lock(mutex);
  if (!limiter.Allow(std::chrono::steady_clock::now())) {
    return;
  }
  LogEvent("task_failed", LogLevel::Error)
    .Field("task", aTask)
    .Field("error", Describe(aFailure))
    .Field("suppressed", limiter.ResetSuppressedCount())
    .Write();
}

/// Without memory for a timer, the thread waits for a moment in its place.
Awaitable<void> WaitToRestart(boost::asio::steady_timer& aTimer)
{
  aTimer.expires_after(kRestartDelay);
  try {
    co_await aTimer.async_wait(boost::asio::use_awaitable);
    co_return;
  } catch (const std::bad_alloc&) {
    std::this_thread::sleep_for(kBlockingDelay);
  }
}

} // namespace

void LogFailure::operator()(const std::exception_ptr& aFailure) const
{
  if (aFailure) {
    LogTaskFailure(mTask, aFailure);
  }
}

void LogTaskFailure(std::string_view aTask,
                    const std::exception_ptr& aFailure) noexcept
{
  ++gFailures;
  try {
    WriteTaskFailure(aTask, aFailure);
  } catch (const std::exception&) {
    // Without memory there is no line; TaskFailureCount() tells of it.
  }
}

uint64_t TaskFailureCount()
{
  return gFailures;
}

Awaitable<void> KeepRunning(std::string_view aTask,
                            std::function<Awaitable<void>()> aStart)
{
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  for (;;) {
    std::exception_ptr failure;
    try {
      co_await aStart();
      co_return;
    } catch (...) {
      failure = std::current_exception();
    }
    LogTaskFailure(aTask, failure);
    co_await WaitToRestart(timer);
  }
}

void SpawnKept(boost::asio::any_io_executor aExecutor,
               std::string_view aTask,
               std::function<Awaitable<void>()> aStart)
{
  boost::asio::co_spawn(
    aExecutor, KeepRunning(aTask, std::move(aStart)), LogFailure(aTask));
}

} // namespace agatetide
