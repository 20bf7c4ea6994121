#include "agatetide/entry/prefix_watcher.hpp"

#include "agatetide/coordination/watch_history.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace agatetide::entry {

using namespace coordination;

namespace {

Awaitable<void> Pause(Milliseconds aTime)
{
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  aTime);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace

Awaitable<void> WatchPrefix(PrefixWatchOptions aOptions,
                            PrefixWatchHooks aHooks,
                            StoreCall aStore,
                            WatchCall aWatch,
                            Clock aClock)
{
  bool known = false;
  int64_t revision = 0;
  for (;;) {
    const TimePoint sent = aClock();
    if (!known) {
      std::string prefix = aOptions.mPrefix;
      const auto all = co_await ReadPrefix(aStore, std::move(prefix));
      if (all.has_error()) {
        if (aHooks.mFailed) {
          aHooks.mFailed(all.error());
        }
        co_await Pause(aOptions.mRetryPause);
        continue;
      }
      known = true;
      revision = all->mRevision;
      aHooks.mReset(all->mEntries);
      if (aHooks.mConfirmed) {
        aHooks.mConfirmed(sent);
      }
      continue;
    }
    WatchRequest request{ aOptions.mPrefix, revision, aOptions.mWait };
    const auto news = co_await aWatch(std::move(request));
    if (news.has_error()) {
      if (aHooks.mFailed) {
        aHooks.mFailed(news.error());
      }
      co_await Pause(aOptions.mRetryPause);
      continue;
    }
    if (news->mCompacted) {
      known = false;
      continue;
    }
    for (const StoreChange& change : news->mChanges) {
      aHooks.mChange(change);
    }
    revision = std::max(revision, news->mRevision);
    const auto proof = WatchFreshAsOf(*news, sent, aClock(), aOptions.mWait);
    if (proof && aHooks.mConfirmed) {
      aHooks.mConfirmed(*proof);
    }
    if (!proof) {
      co_await Pause(aOptions.mRetryPause);
    }
  }
}

} // namespace agatetide::entry
