#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/clock.hpp"
#include "agatetide/coordination/store.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace agatetide::entry {

struct PrefixWatchOptions
{
  std::string mPrefix;
  /// Longest wait of one watch.
  Milliseconds mWatchTimeout{ 1500 };
  Milliseconds mRetryDelay{ 200 };
};

struct PrefixWatchHooks
{
  /// All entries, after a start or lost history.
  std::function<void(const std::vector<coordination::StoreEntry>&)> mOnReset;
  std::function<void(const coordination::StoreChange&)> mOnChange;
  /// All changes before this time are known. May be empty.
  std::function<void(TimePoint)> mOnFresh;
  /// The store did not answer. May be empty.
  std::function<void(const Error&)> mOnError;
};

/// @brief Follows the keys of the store with a prefix, until the executor
/// stops. What a watch confirms follows from coordination::WatchFreshAsOf().
Awaitable<void> WatchPrefix(PrefixWatchOptions aOptions,
                            PrefixWatchHooks aHooks,
                            coordination::StoreCall aStore,
                            coordination::WatchCall aWatch,
                            Clock aClock);

} // namespace agatetide::entry
