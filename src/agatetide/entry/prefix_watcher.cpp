#include "agatetide/entry/prefix_watcher.hpp"

#include "agatetide/base/event_log.hpp"
#include "agatetide/coordination/range_reader.hpp"
#include "agatetide/coordination/watch_history.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <bit>
#include <optional>
#include <utility>

namespace agatetide::entry {

using namespace coordination;

namespace {

constexpr Milliseconds kReplaceLogInterval{ 10000 };

Awaitable<void> Pause(Milliseconds aTime)
{
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  aTime);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

/// The watch of one prefix.
class PrefixWatch
{
public:
  PrefixWatch(PrefixWatchOptions aOptions,
              PrefixWatchHooks aHooks,
              StoreCall aStore,
              WatchCall aWatch,
              Clock aClock)
    : mOptions(std::move(aOptions))
    , mHooks(std::move(aHooks))
    , mStore(std::move(aStore))
    , mWatch(std::move(aWatch))
    , mClock(std::move(aClock))
    , mListInterval(mOptions.mListInterval)
    , mRereadDelay(mOptions.mRereadDelay)
  {
  }

  Awaitable<void> Run()
  {
    for (;;) {
      if (!mIsListed && mClock() < mNextListAt) {
        co_await Pause(std::chrono::ceil<Milliseconds>(mNextListAt - mClock()));
        continue;
      }
      const bool succeeded =
        ShouldReadList() ? co_await ReadList() : co_await Watch();
      if (!succeeded) {
        co_await Pause(mOptions.mRetryDelay);
      }
    }
  }

private:
  bool ShouldReadList() const
  {
    const bool mayRead = mClock() >= mNextListAt;
    const bool isDue = mRereadAt && mClock() >= *mRereadAt;
    return !mIsListed ||
           (mayRead && (isDue || mFailedWatches >= mOptions.mMaxFailedWatches));
  }

  /// Returns false if it failed.
  Awaitable<bool> ReadList()
  {
    const TimePoint sent = mClock();
    const unsigned failedWatches = std::exchange(mFailedWatches, 0);
    LogRange("started", {});
    Call(mHooks.mOnListStart);
    std::string prefix = mOptions.mPrefix;
    ProgressSink log = [this](const RangeProgress& aProgress) {
      LogProgress(aProgress);
    };
    const auto read = co_await ReadPages(
      mStore, std::move(prefix), mHooks.mOnPage, std::move(log));
    if (read.has_error()) {
      if (mIsListed) {
        DelayNextList();
      }
      ReportError(read.error());
      co_return false;
    }
    DelayNextList();
    if (failedWatches > 0 && mReplaceLog.Allow(mClock())) {
      LogEvent("watch_replaced_by_list", LogLevel::Warning)
        .Field("prefix", mOptions.mPrefix)
        .Field("failed_watches", failedWatches)
        .Field("revision", mRevision)
        .Field("new_revision", read->mRevision)
        .Field("suppressed", mReplaceLog.ResetSuppressedCount())
        .Write();
    }
    if (read->mFault) {
      LogFault(*read->mFault);
    }
    if (read->mIsComplete || !mIsListed) {
      mRevision = read->mRevision;
    }
    mIsListed = true;
    if (read->mIsComplete) {
      EndList(*read, sent);
    } else {
      EndPartialList();
    }
    co_return true;
  }

  void EndList(const RangeProgress& aProgress, TimePoint aSent)
  {
    LogRange("finished", aProgress);
    mFailing = false;
    mIsPartial = false;
    mRereadAt.reset();
    mRereadDelay = mOptions.mRereadDelay;
    Call(mHooks.mOnListEnd);
    Call(mHooks.mOnFresh, aSent);
  }

  /// The entries that are missing may have changed since the last watch, which
  /// therefore goes on from its own revision.
  void EndPartialList()
  {
    mIsPartial = true;
    mRereadAt = mClock() + mRereadDelay;
    mRereadDelay = std::min(2 * mRereadDelay, mOptions.mMaxRereadDelay);
    Call(mHooks.mOnPartialList);
  }

  void LogFault(const PageFault& aFault)
  {
    const bool isNew = !mLoggedFault || mLoggedFault->mAfter != aFault.mAfter ||
                       mLoggedFault->mKey != aFault.mKey;
    if (!isNew) {
      return;
    }
    mLoggedFault = aFault;
    LogEvent("store_page_invalid", LogLevel::Error)
      .Field("prefix", mOptions.mPrefix)
      .Field("after", aFault.mAfter)
      .Field("key", aFault.mKey)
      .Field("error", FormatError(PageFaultError(aFault)))
      .Write();
  }

  void DelayNextList()
  {
    mNextListAt = mClock() + mListInterval;
    mListInterval = std::min(2 * mListInterval, mOptions.mMaxListInterval);
  }

  /// Returns false if it failed or was cut short.
  Awaitable<bool> Watch()
  {
    const TimePoint sent = mClock();
    WatchRequest request{ mOptions.mPrefix, mRevision, mOptions.mMaxWait };
    const auto reply = co_await mWatch(std::move(request));
    if (reply.has_error()) {
      ++mFailedWatches;
      ReportError(reply.error());
      co_return false;
    }
    if (reply->mCompacted) {
      mFailedWatches = 0;
      mIsListed = false;
      co_return true;
    }
    const bool repeats =
      !reply->mChanges.empty() && reply->mRevision <= mRevision;
    if (repeats) {
      ++mFailedWatches;
    } else {
      mFailedWatches = 0;
      mNextListAt = {};
      mListInterval = mOptions.mListInterval;
    }
    for (const StoreChange& change : reply->mChanges) {
      mHooks.mOnChange(change);
    }
    mRevision = std::max(mRevision, reply->mRevision);
    const auto freshAsOf =
      WatchFreshAsOf(*reply, sent, mClock(), mOptions.mMaxWait);
    // After a partial list, entries may be unknown that didn't change since.
    if (freshAsOf && !mIsPartial) {
      Call(mHooks.mOnFresh, *freshAsOf);
    }
    co_return freshAsOf.has_value() && !repeats;
  }

  void ReportError(const Error& aError)
  {
    mFailing = true;
    Call(mHooks.mOnError, aError);
  }

  /// The pages of a long list are logged when their number has doubled.
  void LogProgress(const RangeProgress& aProgress)
  {
    if (aProgress.mPages > 1 && std::has_single_bit(aProgress.mPages)) {
      LogRange("running", aProgress);
    }
  }

  /// Reads that are repeated while the store fails aren't logged.
  void LogRange(std::string_view aPhase, const RangeProgress& aProgress) const
  {
    if (mFailing && aPhase == "started") {
      return;
    }
    LogEvent("store_range")
      .Field("prefix", mOptions.mPrefix)
      .Field("phase", aPhase)
      .Field("pages", aProgress.mPages)
      .Field("entries", aProgress.mEntries)
      .Field("bytes", aProgress.mBytes)
      .Field("after", aProgress.mLastKey)
      .Field("revision", aProgress.mRevision)
      .Write();
  }

  template<class Hook, class... Arguments>
  static void Call(const Hook& aHook, const Arguments&... aArguments)
  {
    if (aHook) {
      aHook(aArguments...);
    }
  }

  PrefixWatchOptions mOptions;
  PrefixWatchHooks mHooks;
  StoreCall mStore;
  WatchCall mWatch;
  Clock mClock;
  bool mIsListed = false;
  int64_t mRevision = 0;
  /// Whether the last read or watch failed.
  bool mFailing = false;
  unsigned mFailedWatches = 0;
  TimePoint mNextListAt{};
  Milliseconds mListInterval;
  /// Whether the last list could only be read in part.
  bool mIsPartial = false;
  std::optional<PageFault> mLoggedFault;
  LogLimiter mReplaceLog{ kReplaceLogInterval };
  std::optional<TimePoint> mRereadAt;
  Milliseconds mRereadDelay;
};

} // namespace

Awaitable<void> WatchPrefix(PrefixWatchOptions aOptions,
                            PrefixWatchHooks aHooks,
                            StoreCall aStore,
                            WatchCall aWatch,
                            Clock aClock)
{
  PrefixWatch watch(std::move(aOptions),
                    std::move(aHooks),
                    std::move(aStore),
                    std::move(aWatch),
                    std::move(aClock));
  co_await watch.Run();
}

} // namespace agatetide::entry
