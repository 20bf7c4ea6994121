#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/coordination/store.hpp"
#include "agatetide/duty/leadership.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <string>

namespace agatetide::duty {

/// @brief Requests of each client account in one window.
using AccountCounts = std::map<std::string, uint64_t>;

struct UsageOptions
{
  Milliseconds mWindow{ 5000 };
  /// A window's counts are stored this long after its end, when requests
  /// that began in it have mostly been answered.
  Milliseconds mStoreAfter{ 1300 };
  /// A window is reported this long after its end, when a daemon that could
  /// not store its counts has lost its registration too.
  Milliseconds mReportAfter{ 4500 };
  /// Windows older than this are reported no more.
  Milliseconds mGiveUp{ 30000 };
};

/// @brief Sends the report of one window. Errors: those of http::Client.
using ReportUsage =
  std::function<Awaitable<Result<bool>>(int64_t aWindow,
                                        const AccountCounts& aCounts,
                                        int64_t aFencingNumber)>;

/// @brief Counts requests by window and client account, stores each daemon's
/// counts, and reports sealed sums when this daemon leads.
///
/// The sum of a window is sealed in the store by create-if-absent before it
/// is reported, so all reports of a window carry the same counts.
/// Not thread-safe: owned by the executor of the daemon.
class UsageLedger
{
public:
  UsageLedger(UsageOptions aOptions,
              coordination::StoreCall aStore,
              WallClock aWallClock,
              std::string aCounter);

  /// @brief Counts one request that began at aWall (Unix milliseconds).
  void Count(const std::string& aAccount, int64_t aWall);

  /// @brief Stores the counts of windows that have ended, if there are any.
  /// aAll also stores the present window, before the process ends.
  Awaitable<void> Store(bool aAll);

  /// @brief Reports the windows that are due. Call it while leading.
  Awaitable<void> Report(const Leadership& aLeadership, ReportUsage aReport);

private:
  int64_t WindowAt(int64_t aWall) const;
  int64_t EndOf(int64_t aWindow) const;
  Awaitable<Result<std::optional<AccountCounts>>> Seal(int64_t aWindow);

  UsageOptions mOptions;
  coordination::StoreCall mStore;
  WallClock mWallClock;
  std::string mCounter;
  std::map<int64_t, AccountCounts> mCounts;
  /// First window that is not stored yet.
  int64_t mNextToStore;
  std::optional<int64_t> mReportedThrough;
};

} // namespace agatetide::duty
