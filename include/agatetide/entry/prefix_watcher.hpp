#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/clock.hpp"
#include "agatetide/coordination/store.hpp"

#include <functional>
#include <span>
#include <string>

namespace agatetide::entry {

struct PrefixWatchOptions
{
  std::string mPrefix;
  /// Maximum wait of one watch.
  Milliseconds mMaxWait{ 1500 };
  /// Delay after a watch that failed or was cut short.
  Milliseconds mRetryDelay{ 200 };
  /// Delay until the list is read again after a read that ended at a page that
  /// can't be right. Doubles with each such read in a row, up to the maximum.
  Milliseconds mRereadDelay{ 2000 };
  Milliseconds mMaxRereadDelay{ 60000 };
  /// Number of failed watches in a row after which the list is read once
  /// instead: the changes may be too large for one response.
  unsigned mMaxFailedWatches = 2;
  /// Least time between two lists without a watch in between that succeeded.
  /// Doubles with each, up to the maximum.
  Milliseconds mListInterval{ 500 };
  Milliseconds mMaxListInterval{ 3000 };
};

/// @brief What a watch of a prefix reports. All but mOnPage and mOnChange may
/// be empty.
struct PrefixWatchHooks
{
  /// Called before the first page of the list of all entries, which is read at
  /// the start and when changes since the last watch are missing. The pages of
  /// a list that failed before are void.
  std::function<void()> mOnListStart;
  std::function<void(std::span<const coordination::StoreEntry>)> mOnPage;
  /// Called after the last page: there are no other entries.
  std::function<void()> mOnListEnd;
  /// Called instead if the list could only be read in part. Changes are
  /// reported from then on, and the list is read again later.
  std::function<void()> mOnPartialList;
  std::function<void(const coordination::StoreChange&)> mOnChange;
  /// Called with a time before which all changes have been delivered.
  std::function<void(TimePoint)> mOnFresh;
  /// Called when a read or a watch fails.
  std::function<void(const Error&)> mOnError;
};

/// @brief Watches the store keys with a prefix until the executor stops. The
/// time passed to mOnFresh comes from coordination::WatchFreshAsOf(). Memory is
/// only used for one page or response at a time.
Awaitable<void> WatchPrefix(PrefixWatchOptions aOptions,
                            PrefixWatchHooks aHooks,
                            coordination::StoreCall aStore,
                            coordination::WatchCall aWatch,
                            Clock aClock);

} // namespace agatetide::entry
