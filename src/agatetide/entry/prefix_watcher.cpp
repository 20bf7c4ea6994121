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
  bool haveSnapshot = false;
  int64_t revision = 0;
  for (;;) {
    const TimePoint sent = aClock();
    if (!haveSnapshot) {
      std::string prefix = aOptions.mPrefix;
      const auto snapshot = co_await ReadPrefix(aStore, std::move(prefix));
      if (snapshot.has_error()) {
        if (aHooks.mOnError) {
          aHooks.mOnError(snapshot.error());
        }
        co_await Pause(aOptions.mRetryDelay);
        continue;
      }
      haveSnapshot = true;
      revision = snapshot->mRevision;
      aHooks.mOnReset(snapshot->mEntries);
      if (aHooks.mOnFresh) {
        aHooks.mOnFresh(sent);
      }
      continue;
    }
    WatchRequest request{ aOptions.mPrefix, revision, aOptions.mMaxWait };
    const auto reply = co_await aWatch(std::move(request));
    if (reply.has_error()) {
      if (aHooks.mOnError) {
        aHooks.mOnError(reply.error());
      }
      co_await Pause(aOptions.mRetryDelay);
      continue;
    }
    if (reply->mCompacted) {
      haveSnapshot = false;
      continue;
    }
    for (const StoreChange& change : reply->mChanges) {
      aHooks.mOnChange(change);
    }
    revision = std::max(revision, reply->mRevision);
    const auto freshAsOf =
      WatchFreshAsOf(*reply, sent, aClock(), aOptions.mMaxWait);
    if (freshAsOf && aHooks.mOnFresh) {
      aHooks.mOnFresh(*freshAsOf);
    }
    if (!freshAsOf) {
      co_await Pause(aOptions.mRetryDelay);
    }
  }
}

} // namespace agatetide::entry
