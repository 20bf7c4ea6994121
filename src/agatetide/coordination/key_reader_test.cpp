#include "agatetide/coordination/key_reader.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace agatetide;
using namespace agatetide::coordination;
namespace asio = boost::asio;

namespace {

std::string Key(size_t aNumber)
{
  return "key-" + std::to_string(aNumber);
}

/// A store whose calls take turns of the event loop, later ones fewer of them.
struct SlowStore
{
  Awaitable<Result<StoreReply>> Call(StoreRequest aRequest)
  {
    ++mCallCount;
    mMostAtOnce = std::max(mMostAtOnce, ++mRunning);
    const auto executor = co_await asio::this_coro::executor;
    for (int turn = 20 - mCallCount; turn > 0; --turn) {
      co_await asio::post(executor, asio::use_awaitable);
    }
    --mRunning;
    co_return mStore.Apply(aRequest);
  }

  FaultyStore mStore;
  int mCallCount = 0;
  int mRunning = 0;
  int mMostAtOnce = 0;
};

/// The values of the keys up to the first error; an error is "error".
Awaitable<std::vector<std::string>> ReadAll(SlowStore& aStore,
                                            size_t aCount,
                                            size_t aAhead)
{
  const auto executor = co_await asio::this_coro::executor;
  KeyReader reader(
    executor,
    [&aStore](StoreRequest aRequest) {
      return aStore.Call(std::move(aRequest));
    },
    aCount,
    aAhead,
    Key);
  std::vector<std::string> values;
  while (!reader.AtEnd()) {
    const auto entry = co_await reader.Next();
    if (entry.has_error()) {
      values.emplace_back("error");
      break;
    }
    values.push_back(entry->has_value() ? (*entry)->mValue : "none");
  }
  co_return values;
}

void Put(SlowStore& aStore, size_t aNumber)
{
  TransactionRequest write;
  write.mPuts.push_back({ Key(aNumber), std::to_string(aNumber) });
  aStore.mStore.Apply(write);
}

} // namespace

// Guards against values that are taken for others, since their calls end in
// another order, and against more calls at a time than the store allows.
Test(key_reader, keys_are_read_in_their_order_a_few_at_a_time)
{
  SlowStore store;
  for (const size_t number : { 0, 1, 2, 4, 5, 6, 7 }) {
    Put(store, number);
  }
  const auto values = RunCoroutine(ReadAll(store, 8, 3));
  const std::vector<std::string> expected{ "0", "1", "2", "none",
                                           "4", "5", "6", "7" };
  cr_expect(values == expected);
  cr_expect_eq(store.mMostAtOnce, 3);
  cr_expect_eq(store.mCallCount, 8);
}

// Guards against a list that goes on after a value that could not be read, and
// against calls that use a reader which is gone.
Test(key_reader, an_error_ends_the_list)
{
  SlowStore store;
  Put(store, 0);
  store.mStore.mNextFaults = { StoreFault::Down };
  const auto values = RunCoroutine(ReadAll(store, 8, 2));
  cr_assert_eq(values.size(), 2);
  cr_expect_eq(std::count(values.begin(), values.end(), "error"), 1);
  cr_expect_leq(store.mCallCount, 4);
}
