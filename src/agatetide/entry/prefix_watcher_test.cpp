#include "agatetide/entry/prefix_watcher.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include <algorithm>

using namespace agatetide;
using namespace agatetide::coordination;
using namespace agatetide::entry;

namespace {

using Keys = std::vector<std::string>;

/// A watch of the prefix "p/" at a store that the test scripts; it ends when
/// the script does.
struct Fixture
{
  Fixture()
  {
    mOptions.mPrefix = "p/";
    mOptions.mRetryDelay = Milliseconds(0);
    mHooks.mOnListStart = [this] { Note("start"); };
    mHooks.mOnPage = [this](std::span<const StoreEntry> aEntries) {
      for (const StoreEntry& entry : aEntries) {
        Note(entry.mKey);
      }
    };
    mHooks.mOnListEnd = [this] { Note("end"); };
    mHooks.mOnPartialList = [this] { Note("partial"); };
    mHooks.mOnChange = [this](const StoreChange& aChange) {
      Note("change " + aChange.mEntry.mKey);
    };
    mHooks.mOnFresh = [this](TimePoint) { Note("fresh"); };
    mHooks.mOnError = [this](const Error&) {
      Note("error");
      mNow += mOptions.mMaxListInterval;
    };
  }

  void Note(std::string aEvent) { mEvents.push_back(std::move(aEvent)); }

  /// Runs until the script of the watches has ended.
  void Run()
  {
    const StoreCall store =
      [this](StoreRequest) -> Awaitable<Result<StoreReply>> {
      co_return mNextPage();
    };
    const WatchCall watch =
      [this](WatchRequest aRequest) -> Awaitable<Result<WatchReply>> {
      mWatchedAfter.push_back(aRequest.mAfterRevision);
      if (mWatches.empty()) {
        mContext.stop();
        co_return WatchReply{};
      }
      auto reply = std::move(mWatches.front());
      mWatches.erase(mWatches.begin());
      co_return reply;
    };
    boost::asio::co_spawn(mContext,
                          WatchPrefix(mOptions, mHooks, store, watch, mClock),
                          boost::asio::detached);
    mContext.run();
  }

  static StoreReply Page(const Keys& aKeys, int64_t aRevision, bool aEnd)
  {
    StoreReply reply;
    reply.mRevision = aRevision;
    reply.mEndReached = aEnd;
    for (const std::string& key : aKeys) {
      reply.mEntries.push_back({ key, "value" });
    }
    return reply;
  }

  static WatchReply Change(const std::string& aKey, int64_t aRevision)
  {
    WatchReply reply;
    reply.mRevision = aRevision;
    reply.mChanges.push_back({ { aKey, "value" }, false });
    return reply;
  }

  static Error TooLong()
  {
    return { ErrorKind::DataLoss, "the response is too long", "none" };
  }

  PrefixWatchOptions mOptions;
  PrefixWatchHooks mHooks;
  TimePoint mNow{ std::chrono::hours(1) };
  Clock mClock = [this] { return mNow; };
  std::function<Result<StoreReply>()> mNextPage;
  std::vector<Result<WatchReply>> mWatches;
  std::vector<int64_t> mWatchedAfter;
  Keys mEvents;
  boost::asio::io_context mContext;
};

} // namespace

Test(prefix_watcher, a_list_is_followed_by_changes_from_its_first_page)
{
  Fixture fixture;
  int page = 0;
  fixture.mNextPage = [&page] {
    ++page;
    return Fixture::Page({ page == 1 ? "p/a" : "p/b" }, 6 + page, page == 2);
  };
  fixture.mWatches = { Fixture::Change("p/c", 20) };
  fixture.Run();
  cr_expect_eq(
    fixture.mEvents,
    (Keys{ "start", "p/a", "p/b", "end", "fresh", "change p/c", "fresh" }));
  cr_expect_eq(fixture.mWatchedAfter, (std::vector<int64_t>{ 7, 20 }));
}

// Guards against a host that knows nothing, or takes what it knows for all,
// after a store has answered with a wrong page.
Test(prefix_watcher, a_list_with_a_wrong_page_is_followed_by_changes)
{
  Fixture fixture;
  fixture.mNextPage = [] { return Fixture::Page({ "p/b", "p/a" }, 7, false); };
  fixture.mWatches = { Fixture::Change("p/c", 20) };
  fixture.Run();
  cr_expect_eq(fixture.mEvents,
               (Keys{ "start", "p/b", "p/a", "partial", "change p/c" }));
}

Test(prefix_watcher, a_list_with_a_wrong_page_is_read_again_later)
{
  Fixture fixture;
  bool faulty = true;
  fixture.mNextPage = [&faulty] {
    return faulty ? Fixture::Page({ "p/b", "p/a" }, 7, false)
                  : Fixture::Page({ "p/a", "p/b" }, 30, true);
  };
  fixture.mWatches = { Fixture::Change("p/c", 20), Fixture::Change("p/d", 31) };
  fixture.mHooks.mOnChange = [&](const StoreChange& aChange) {
    fixture.Note("change " + aChange.mEntry.mKey);
    fixture.mNow += fixture.mOptions.mRereadDelay;
    faulty = false;
  };
  fixture.Run();
  cr_expect_eq(fixture.mEvents,
               (Keys{ "start",
                      "p/b",
                      "p/a",
                      "partial",
                      "change p/c",
                      "start",
                      "p/a",
                      "p/b",
                      "end",
                      "fresh",
                      "change p/d",
                      "fresh" }));
}

// Guards against changes that never fit into a response, and are asked for
// again without end.
Test(prefix_watcher, watches_that_fail_are_replaced_by_a_list)
{
  Fixture fixture;
  int64_t revision = 7;
  fixture.mNextPage = [&revision] {
    return Fixture::Page({ "p/a" }, std::exchange(revision, 99), true);
  };
  fixture.mWatches = { Fixture::TooLong(), Fixture::TooLong() };
  fixture.Run();
  cr_expect_eq(fixture.mWatchedAfter, (std::vector<int64_t>{ 7, 7, 99 }));
  cr_expect_eq(fixture.mEvents,
               (Keys{ "start",
                      "p/a",
                      "end",
                      "fresh",
                      "error",
                      "error",
                      "start",
                      "p/a",
                      "end",
                      "fresh" }));
}

// Guards against a host that goes back to its start when neither works.
Test(prefix_watcher, a_list_that_fails_too_leaves_the_watch_as_it_was)
{
  Fixture fixture;
  bool down = false;
  fixture.mNextPage = [&down]() -> Result<StoreReply> {
    if (std::exchange(down, true)) {
      return Fixture::TooLong();
    }
    return Fixture::Page({ "p/a" }, 7, true);
  };
  fixture.mWatches = { Fixture::TooLong(),
                       Fixture::TooLong(),
                       Fixture::Change("p/b", 8) };
  fixture.Run();
  cr_expect_eq(fixture.mWatchedAfter, (std::vector<int64_t>{ 7, 7, 7, 8 }));
}

// Guards against changes that are never seen: those before the partial list and
// behind the page at which it ended.
Test(prefix_watcher, a_partial_list_does_not_move_the_watch_forward)
{
  Fixture fixture;
  int64_t revision = 7;
  fixture.mNextPage = [&revision] {
    const int64_t now = std::exchange(revision, 50);
    return now == 7 ? Fixture::Page({ "p/a" }, now, true)
                    : Fixture::Page({ "p/b", "p/a" }, now, false);
  };
  fixture.mWatches = { Fixture::TooLong(), Fixture::TooLong() };
  fixture.Run();
  cr_expect_eq(fixture.mEvents.back(), "partial");
  cr_expect_eq(fixture.mWatchedAfter, (std::vector<int64_t>{ 7, 7, 7 }));
}

// Guards against a watch that ends for good when a partial list can't be read
// again.
Test(prefix_watcher, a_list_that_is_due_and_fails_does_not_end_the_watch)
{
  Fixture fixture;
  bool down = false;
  fixture.mNextPage = [&down]() -> Result<StoreReply> {
    if (std::exchange(down, true)) {
      return Fixture::TooLong();
    }
    return Fixture::Page({ "p/b", "p/a" }, 7, false);
  };
  fixture.mHooks.mOnError = [&fixture](const Error&) { fixture.Note("error"); };
  fixture.mHooks.mOnChange = [&fixture](const StoreChange& aChange) {
    fixture.Note("change " + aChange.mEntry.mKey);
    fixture.mNow += fixture.mOptions.mMaxRereadDelay;
  };
  fixture.mWatches = { Fixture::Change("p/c", 8), Fixture::Change("p/d", 9) };
  fixture.Run();
  cr_expect_eq(fixture.mEvents,
               (Keys{ "start",
                      "p/b",
                      "p/a",
                      "partial",
                      "change p/c",
                      "start",
                      "error",
                      "change p/d",
                      "start",
                      "error" }));
}

// Guards against a loop without a pause at a store whose history is always
// gone.
Test(prefix_watcher, lists_without_a_watch_that_succeeds_are_paced)
{
  Fixture fixture;
  const auto start = std::chrono::steady_clock::now();
  fixture.mOptions.mListInterval = Milliseconds(20);
  fixture.mNextPage = [&fixture] {
    fixture.Note("page");
    return Fixture::Page({ "p/a" }, 7, true);
  };
  WatchReply compacted;
  compacted.mCompacted = true;
  fixture.mWatches = { compacted, compacted, compacted };
  fixture.mClock = [] { return std::chrono::steady_clock::now(); };
  fixture.Run();
  const auto pages =
    std::count(fixture.mEvents.begin(), fixture.mEvents.end(), "page");
  cr_expect_eq(pages, 4);
  // 20, 40 and 80 ms between them.
  cr_expect_geq((std::chrono::steady_clock::now() - start) / Milliseconds(1),
                140);
}

// Guards against the same events again and again at a store whose revision
// stands still.
Test(prefix_watcher, a_revision_that_stands_still_is_a_failed_watch)
{
  Fixture fixture;
  int64_t revision = 7;
  fixture.mNextPage = [&revision] {
    return Fixture::Page({ "p/a" }, std::exchange(revision, 30), true);
  };
  fixture.mHooks.mOnChange = [&fixture](const StoreChange&) {
    fixture.mNow += fixture.mOptions.mMaxListInterval;
  };
  fixture.mWatches = { Fixture::Change("p/c", 7), Fixture::Change("p/c", 7) };
  fixture.Run();
  cr_expect_eq(fixture.mWatchedAfter, (std::vector<int64_t>{ 7, 7, 30 }));
}
