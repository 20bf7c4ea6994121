#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/coordination/store.hpp"
#include "agatetide/duty/leadership.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <string>

namespace agatetide::duty {

/// @brief Number of requests in one window, by client account.
using AccountCounts = std::map<std::string, uint64_t>;

struct UsageOptions
{
  Milliseconds mWindow{ 5000 };
  /// Delay from the end of a window to storing its counts, so that most
  /// requests that began in it have been answered.
  Milliseconds mStoreDelay{ 1300 };
  /// Delay from the end of a window to its report. Counts that aren't stored by
  /// then are missing from the report.
  Milliseconds mReportDelay{ 4500 };
  /// Windows that ended longer ago are no longer reported, and their counts are
  /// dropped if storing them fails.
  Milliseconds mMaxWindowAge{ 30000 };
};

/// @brief Reports the counts of one window. aWindow is the Unix time at its
/// start divided by the window length. Errors: those of http::Client. The value
/// is always true.
using UsageReportCall =
  std::function<Awaitable<Result<bool>>(int64_t aWindow,
                                        const AccountCounts& aCounts,
                                        int64_t aFencingToken)>;

/// @brief Counts requests by window and client account, stores the counts of
/// this daemon and, on the leader, reports the sums over all daemons.
///
/// The sum of a window is sealed, i.e. created in the store unless it exists,
/// before it is reported, so that all reports of a window have the same counts.
/// Not thread-safe: use it only on the executor of the daemon.
class UsageLedger
{
public:
  /// @brief aOwner identifies this start of the daemon; its counts are stored
  /// under this name.
  UsageLedger(UsageOptions aOptions,
              coordination::StoreCall aStore,
              WallClock aWallClock,
              std::string aOwner);

  /// @brief Counts one request that began at aTimeMs (Unix milliseconds).
  void Count(const std::string& aAccount, int64_t aTimeMs);

  /// @brief Stores the counts of the windows whose mStoreDelay has passed. With
  /// aIncludeCurrent, stores all windows including the current one, before the
  /// process exits.
  Awaitable<void> Store(bool aIncludeCurrent);

  /// @brief Reports the windows that are due. Call it only on the leader.
  Awaitable<void> Report(const Leadership& aLeadership,
                         UsageReportCall aReport);

private:
  int64_t WindowAt(int64_t aTimeMs) const;
  int64_t WindowEnd(int64_t aWindow) const;
  Awaitable<Result<std::optional<AccountCounts>>> Seal(int64_t aWindow);

  UsageOptions mOptions;
  coordination::StoreCall mStore;
  WallClock mWallClock;
  std::string mOwner;
  std::map<int64_t, AccountCounts> mCounts;
  /// The first window that isn't stored yet.
  int64_t mNextWindowToStore;
  std::optional<int64_t> mLastReportedWindow;
};

} // namespace agatetide::duty
