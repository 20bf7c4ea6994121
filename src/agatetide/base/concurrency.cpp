#include "agatetide/base/concurrency.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <memory>

namespace agatetide {

namespace asio = boost::asio;

namespace {

/// The calls of one ForEachConcurrently(). Canceling the timer tells it that a
/// worker has ended.
struct Calls
{
  Calls(const asio::any_io_executor& aExecutor,
        size_t aCount,
        std::function<Awaitable<void>(size_t)> aRun)
    : mCount(aCount)
    , mRun(std::move(aRun))
    , mWorkerEnded(aExecutor, asio::steady_timer::time_point::max())
  {
  }

  size_t mCount;
  std::function<Awaitable<void>(size_t)> mRun;
  asio::steady_timer mWorkerEnded;
  size_t mNext = 0;
  size_t mWorkers = 0;
};

Awaitable<void> Work(std::shared_ptr<Calls> aCalls)
{
  while (aCalls->mNext < aCalls->mCount) {
    const size_t number = aCalls->mNext++;
    try {
      co_await aCalls->mRun(number);
    } catch (const std::exception&) { // NOLINT(bugprone-empty-catch)
      // The other calls go on.
    }
  }
}

} // namespace

Awaitable<void> ForEachConcurrently(asio::any_io_executor aExecutor,
                                    size_t aCount,
                                    size_t aLimit,
                                    std::function<Awaitable<void>(size_t)> aRun)
{
  const auto calls =
    std::make_shared<Calls>(aExecutor, aCount, std::move(aRun));
  calls->mWorkers = std::min(aCount, aLimit);
  const size_t workers = calls->mWorkers;
  for (size_t i = 0; i < workers; ++i) {
    asio::co_spawn(aExecutor, Work(calls), [calls](std::exception_ptr) {
      --calls->mWorkers;
      calls->mWorkerEnded.cancel();
    });
  }
  while (calls->mWorkers > 0) {
    boost::system::error_code ignored;
    co_await calls->mWorkerEnded.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

} // namespace agatetide
