#pragma once

#include "agatetide/coordination/store.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace agatetide::coordination {

/// @brief Reads keys of the store in their order, several at a time, so that a
/// long list takes the time of few calls where the store is far away. What was
/// asked for ahead stays in memory until it is read. Not thread-safe.
class KeyReader
{
public:
  /// @brief aKey returns the key with a number below aCount; aAhead is the
  /// number of calls at a time. Preconditions: aAhead > 0; aExecutor runs the
  /// caller of Next().
  KeyReader(boost::asio::any_io_executor aExecutor,
            StoreCall aStore,
            size_t aCount,
            size_t aAhead,
            std::function<std::string(size_t)> aKey);

  /// @brief Whether all keys were read.
  bool AtEnd() const { return mStarted == mCount && mCalls.empty(); }

  /// @brief Reads the next key; std::nullopt if it does not exist. Errors:
  /// those of the store. Precondition: !AtEnd().
  Awaitable<Result<std::optional<StoreEntry>>> Next();

private:
  struct Call;

  void StartCalls();

  boost::asio::any_io_executor mExecutor;
  StoreCall mStore;
  size_t mCount;
  size_t mAhead;
  std::function<std::string(size_t)> mKey;
  size_t mStarted = 0;
  /// The calls that were started, in the order of their keys.
  std::deque<std::shared_ptr<Call>> mCalls;
};

} // namespace agatetide::coordination
