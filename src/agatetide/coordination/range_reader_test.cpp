#include "agatetide/coordination/range_reader.hpp"

#include "test_store.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;

namespace {

using Keys = std::vector<std::string>;

/// A store that answers reads of ranges with given pages, the last one for
/// good.
struct PagedStore
{
  StoreCall AsCall()
  {
    return [this](StoreRequest aRequest) -> Awaitable<Result<StoreReply>> {
      co_return Next(std::get<RangeRequest>(aRequest));
    };
  }

  StoreReply Next(const RangeRequest& aRequest)
  {
    mRequests.push_back(aRequest);
    const size_t page = std::min(mRequests.size(), mPages.size()) - 1;
    StoreReply reply;
    reply.mRevision = static_cast<int64_t>(mRequests.size());
    for (const std::string& key : mPages[page]) {
      reply.mEntries.push_back({ key, "value" });
    }
    reply.mEndReached = mTellsEnd && page + 1 == mPages.size();
    return reply;
  }

  std::vector<Keys> mPages;
  bool mTellsEnd = true;
  std::vector<RangeRequest> mRequests;
};

struct Read
{
  Keys mKeys;
  Result<RangeProgress> mProgress = Error{};
};

Read ReadAll(StoreCall aStore)
{
  Read read;
  read.mProgress = RunCoroutine(ReadPages(
    std::move(aStore), "p/", [&read](std::span<const StoreEntry> aEntries) {
      for (const StoreEntry& entry : aEntries) {
        read.mKeys.push_back(entry.mKey);
      }
    }));
  return read;
}

void ExpectFault(const Read& aRead,
                 std::string_view aAfter,
                 std::string_view aKey)
{
  cr_assert(aRead.mProgress.has_value());
  cr_assert(aRead.mProgress->mFault.has_value());
  cr_expect_eq(aRead.mProgress->mFault->mAfter, aAfter);
  cr_expect_eq(aRead.mProgress->mFault->mKey, aKey);
}

} // namespace

Test(range_reader, pages_follow_each_other)
{
  PagedStore store{ .mPages = { { "p/a", "p/a+" }, { "p/b" } } };
  const Read read = ReadAll(store.AsCall());
  cr_assert(read.mProgress.has_value());
  cr_expect_not(read.mProgress->mFault);
  cr_expect_eq(read.mKeys, (Keys{ "p/a", "p/a+", "p/b" }));
  cr_expect_eq(read.mProgress->mRevision, 1);
  cr_expect_eq(read.mProgress->mPages, 2);
  cr_assert_eq(store.mRequests.size(), 2);
  cr_expect_eq(store.mRequests[1].mKey, "p/a+\x01");
  cr_expect(read.mProgress->mIsComplete);
}

// Guards against lists that lose their end, read through another daemon.
Test(range_reader, an_end_that_is_not_told_is_found)
{
  PagedStore store{ .mPages = { { "p/a" }, { "p/b" }, {} },
                    .mTellsEnd = false };
  const Read read = ReadAll(store.AsCall());
  cr_expect_eq(read.mKeys, (Keys{ "p/a", "p/b" }));
  cr_expect_eq(store.mRequests.size(), 3);
}

// Guards against a page that is read without end.
Test(range_reader, a_repeated_page_ends_the_read)
{
  PagedStore store{ .mPages = { { "p/a", "p/b" } }, .mTellsEnd = false };
  const Read read = ReadAll(store.AsCall());
  ExpectFault(read, "p/b", "p/a");
  cr_expect_not(read.mProgress->mIsComplete);
  cr_expect_eq(read.mProgress->mPages, 2);
  cr_expect_eq(store.mRequests.size(), 2);
}

Test(range_reader, a_key_that_is_not_in_order_ends_the_read)
{
  PagedStore store{ .mPages = { { "p/a", "p/c", "p/b" }, { "p/d" } } };
  const Read read = ReadAll(store.AsCall());
  ExpectFault(read, "p/c", "p/b");
  cr_expect_not(read.mProgress->mIsComplete);
  cr_expect_eq(read.mKeys, (Keys{ "p/a", "p/c", "p/b" }));
}

// Guards against lists that are never complete at a store which sorts them
// otherwise.
Test(range_reader, a_single_page_is_complete_in_any_order)
{
  PagedStore store{ .mPages = { { "p/b", "p/a" } } };
  const Read read = ReadAll(store.AsCall());
  ExpectFault(read, "p/b", "p/a");
  cr_expect(read.mProgress->mIsComplete);
  cr_expect_eq(read.mKeys, (Keys{ "p/b", "p/a" }));
}

Test(range_reader, a_key_outside_of_the_range_ends_the_read)
{
  PagedStore store{ .mPages = { { "p/a", "q/a" } } };
  const Read read = ReadAll(store.AsCall());
  ExpectFault(read, "p/a", "q/a");
  cr_expect_eq(read.mKeys, (Keys{ "p/a" }));
}

// Guards against pages that begin with the last key of the one before.
Test(range_reader, the_key_that_was_asked_after_is_no_progress)
{
  PagedStore store{ .mPages = { { "p/a" }, { "p/a", "p/b" } } };
  ExpectFault(ReadAll(store.AsCall()), "p/a", "p/a");
}

// Guards against lists that skip keys which begin with another key.
Test(range_reader, every_key_of_a_store_is_read)
{
  FaultyStore store;
  Keys keys;
  for (const char* key :
       { "p/a", "p/a!", "p/a+", "p/ab", "p/\x01", "p/\xff" }) {
    TransactionRequest put;
    put.mPuts.push_back({ key, "value" });
    store.mStore.Apply(put);
    keys.emplace_back(key);
  }
  std::sort(keys.begin(), keys.end());
  const Read read = ReadAll(store.AsCall());
  cr_expect_eq(read.mKeys, keys);
}

Test(range_reader, an_error_of_the_store_is_returned)
{
  FaultyStore store;
  store.mNextFaults.push_back(StoreFault::Down);
  cr_expect(ReadAll(store.AsCall()).mProgress.has_error());
}
