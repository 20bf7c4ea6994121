#include "agatetide/steps/shared_loads.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace agatetide;
using namespace agatetide::steps;
namespace asio = boost::asio;

namespace {

/// Readers of one item, and a load that ends when the test says so.
struct Fixture
{
  void Read()
  {
    asio::co_spawn(
      mContext,
      [this]() -> Awaitable<void> {
        mRead.push_back(co_await mLoads.Get("item", [this] { return Load(); }));
      },
      asio::detached);
    mContext.restart();
    mContext.poll();
  }

  Awaitable<Result<SharedBytes>> Load()
  {
    ++mLoadCount;
    boost::system::error_code ignored;
    co_await mEnd.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    if (mThrow) {
      throw std::runtime_error("out of memory");
    }
    co_return mResult;
  }

  void EndLoad()
  {
    mEnd.cancel();
    mContext.restart();
    mContext.poll();
  }

  asio::io_context mContext;
  asio::steady_timer mEnd{ mContext, asio::steady_timer::time_point::max() };
  SharedLoads mLoads{ mContext.get_executor() };
  Result<SharedBytes> mResult = SharedBytes("body");
  bool mThrow = false;
  int mLoadCount = 0;
  std::vector<Result<SharedBytes>> mRead;
};

} // namespace

// Guards against a host on which each reader of a large item loads a copy of
// its own, which together exceed the memory.
Test(shared_loads, readers_of_the_same_bytes_share_them)
{
  Fixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.Read();
  }
  cr_expect(fixture.mRead.empty());
  fixture.EndLoad();
  cr_assert_eq(fixture.mRead.size(), 3);
  fixture.Read();
  cr_assert_eq(fixture.mRead.size(), 4, "they are held, so none is loaded");
  cr_expect_eq(fixture.mLoadCount, 1);
  for (const auto& read : fixture.mRead) {
    cr_expect_eq(read->Data(), fixture.mRead[0]->Data());
  }
}

// Guards against bytes that stay in memory, or are served as empty ones, after
// the last reader has gone.
Test(shared_loads, bytes_that_nobody_holds_are_loaded_again)
{
  Fixture fixture;
  fixture.Read();
  fixture.EndLoad();
  fixture.mRead.clear();
  fixture.mResult = Error{ ErrorKind::Unavailable };
  fixture.Read();
  cr_expect(fixture.mRead.empty());
  fixture.EndLoad();
  cr_expect_eq(fixture.mLoadCount, 2);
  cr_assert_eq(fixture.mRead.size(), 1);
  cr_expect(fixture.mRead[0].has_error());
}

// Guards against readers that wait forever for a load that has failed.
Test(shared_loads, a_load_that_throws_ends_the_wait)
{
  Fixture fixture;
  fixture.mThrow = true;
  fixture.Read();
  fixture.Read();
  fixture.mEnd.cancel();
  for (bool thrown = true; thrown;) {
    try {
      fixture.mContext.restart();
      fixture.mContext.poll();
      thrown = false;
    } catch (const std::runtime_error&) {
    }
  }
  cr_assert_eq(fixture.mRead.size(), 1);
  cr_expect(fixture.mRead[0].has_error());
}
