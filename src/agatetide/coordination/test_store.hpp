#pragma once

#include "agatetide/coordination/memory_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <optional>

namespace agatetide::coordination {

/// @brief Fault of one store call.
enum class StoreFault
{
  None,
  /// The store is down; nothing was sent.
  Down,
  /// The request takes effect, but its reply is lost.
  AnswerLost,
  /// The request is lost. To the caller, this looks like AnswerLost.
  RequestLost,
};

/// @brief A MemoryStore with injected faults.
struct FaultyStore
{
  StoreCall AsCall()
  {
    return [this](StoreRequest aRequest) -> Awaitable<Result<StoreReply>> {
      co_return Apply(aRequest);
    };
  }

  Result<StoreReply> Apply(const StoreRequest& aRequest)
  {
    StoreFault fault = mDefaultFault;
    if (!mNextFaults.empty()) {
      fault = mNextFaults.front();
      mNextFaults.pop_front();
    }
    if (mBeforeCall) {
      mBeforeCall(aRequest);
    }
    if (fault == StoreFault::Down) {
      return Error{ ErrorKind::Unavailable, "store is down", "wait" };
    }
    if (fault == StoreFault::RequestLost) {
      return OutcomeUnknownError();
    }
    StoreReply reply = mStore.Apply(aRequest);
    if (fault == StoreFault::AnswerLost) {
      return OutcomeUnknownError();
    }
    return reply;
  }

  static Error OutcomeUnknownError()
  {
    return { ErrorKind::OutcomeUnknown,
             "the answer was lost",
             "read back",
             Execution::Unknown };
  }

  ManualClock mClock;
  MemoryStore mStore{ mClock.AsClock() };
  /// Faults of the next calls, in order; mDefaultFault applies after them.
  std::deque<StoreFault> mNextFaults;
  StoreFault mDefaultFault = StoreFault::None;
  /// Runs before each call, for example to make a concurrent change.
  std::function<void(const StoreRequest&)> mBeforeCall;
};

/// @brief Runs a coroutine to completion and returns its result.
template<class T>
T RunCoroutine(Awaitable<T> aAwaitable)
{
  boost::asio::io_context context;
  std::optional<T> result;
  boost::asio::co_spawn(
    context, std::move(aAwaitable), [&](std::exception_ptr aError, T aResult) {
      if (!aError) {
        result.emplace(std::move(aResult));
      }
    });
  context.run();
  return std::move(result.value());
}

} // namespace agatetide::coordination
