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
    , mRereadDelay(mOptions.mRereadDelay)
  {
  }

  Awaitable<void> Run()
  {
    for (;;) {
      const bool reads = !mIsListed || (mRereadAt && mClock() >= *mRereadAt) ||
                         mFailedWatches >= mOptions.mMaxFailedWatches;
      const bool succeeded = reads ? co_await ReadList() : co_await Watch();
      if (!succeeded) {
        co_await Pause(mOptions.mRetryDelay);
      }
    }
  }

private:
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
      ReportError(read.error());
      co_return false;
    }
    if (failedWatches > 0) {
      LogEvent("watch_replaced_by_list", LogLevel::Warning)
        .Field("prefix", mOptions.mPrefix)
        .Field("failed_watches", failedWatches)
        .Field("revision", mRevision)
        .Field("new_revision", read->mRevision)
        .Write();
    }
    mIsListed = true;
    mRevision = read->mRevision;
    if (read->mFault) {
      EndPartialList(*read->mFault);
    } else {
      EndList(*read, sent);
    }
    co_return true;
  }

  void EndList(const RangeProgress& aProgress, TimePoint aSent)
  {
    LogRange("finished", aProgress);
    mFailing = false;
    mFault.reset();
    mRereadAt.reset();
    mRereadDelay = mOptions.mRereadDelay;
    Call(mHooks.mOnListEnd);
    Call(mHooks.mOnFresh, aSent);
  }

  void EndPartialList(PageFault aFault)
  {
    const bool isNew =
      !mFault || mFault->mAfter != aFault.mAfter || mFault->mKey != aFault.mKey;
    if (isNew) {
      LogEvent("store_page_invalid", LogLevel::Error)
        .Field("prefix", mOptions.mPrefix)
        .Field("after", aFault.mAfter)
        .Field("key", aFault.mKey)
        .Field("error", FormatError(PageFaultError(aFault)))
        .Write();
    }
    mFault = std::move(aFault);
    mRereadAt = mClock() + mRereadDelay;
    mRereadDelay = std::min(2 * mRereadDelay, mOptions.mMaxRereadDelay);
    Call(mHooks.mOnPartialList);
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
    mFailedWatches = 0;
    if (reply->mCompacted) {
      mIsListed = false;
      co_return true;
    }
    for (const StoreChange& change : reply->mChanges) {
      mHooks.mOnChange(change);
    }
    mRevision = std::max(mRevision, reply->mRevision);
    const auto freshAsOf =
      WatchFreshAsOf(*reply, sent, mClock(), mOptions.mMaxWait);
    // After a partial list, entries may be unknown that didn't change since.
    if (freshAsOf && !mFault) {
      Call(mHooks.mOnFresh, *freshAsOf);
    }
    co_return freshAsOf.has_value();
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
  /// Set after a list that could only be read in part.
  std::optional<PageFault> mFault;
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
