#include "agatetide/http/client.hpp"
#include "agatetide/http/scripted_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <criterion/criterion.h>

using namespace agatetide;
namespace asio = boost::asio;

namespace {

constexpr int kConnectionCount = 8;
constexpr std::chrono::milliseconds kCallTimeout{ 150 };
constexpr std::chrono::milliseconds kAnswerDelay{ 30 };

/// A server whose open connections can go silent while new ones work. The
/// kernel goes on acknowledging what they receive.
struct Fixture
{
  Awaitable<void> Serve(http::ScriptedConnection& aConnection)
  {
    const int number = mAccepted++;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
      const std::string header = co_await aConnection.ReadHeader();
      if (header.empty()) {
        co_return;
      }
      timer.expires_after(kAnswerDelay);
      co_await timer.async_wait(asio::use_awaitable);
      if (number < mSilentBelow) {
        mSilentRequests += 1;
        timer.expires_after(std::chrono::seconds(5));
        co_await timer.async_wait(asio::use_awaitable);
      }
      co_await aConnection.Write(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
  }

  Awaitable<Result<http::Response>> Call()
  {
    http::CallOptions options;
    options.mDeadline = std::chrono::steady_clock::now() + kCallTimeout;
    const http::Endpoint endpoint{ "127.0.0.1", mServer.Port() };
    const http::Request request;
    co_return co_await mClient->Call(endpoint, request, options);
  }

  Awaitable<void> CallAndCount()
  {
    const auto response = co_await Call();
    mSucceeded += response.has_value() ? 1 : 0;
    mRunning -= 1;
    if (mRunning == 0) {
      mContext.stop();
    }
  }

  /// Makes calls at the same time; returns how many succeeded.
  int CallAtOnce(int aCount)
  {
    mSucceeded = 0;
    mRunning = aCount;
    for (int i = 0; i < aCount; ++i) {
      asio::co_spawn(mContext, CallAndCount(), asio::detached);
    }
    mContext.restart();
    mContext.run();
    return mSucceeded;
  }

  /// All connections that were accepted so far go silent.
  void SilenceOpenConnections() { mSilentBelow = mAccepted; }

  asio::io_context mContext;
  int mAccepted = 0;
  int mSilentBelow = 0;
  int mSilentRequests = 0;
  int mSucceeded = 0;
  int mRunning = 0;
  http::ScriptedServer mServer{ mContext.get_executor(),
                                [this](http::ScriptedConnection& aConnection) {
                                  return Serve(aConnection);
                                } };
  http::ClientOptions mOptions;
  std::unique_ptr<http::Client> mClient =
    http::Client::Create(mContext.get_executor(), mOptions);
};

} // namespace

// Guards against one timeout for each connection of a pool that went silent:
// what the calls should have learnt stays unknown for as long.
Test(http_client, a_silent_pool_costs_one_timeout)
{
  Fixture fixture;
  cr_assert_eq(fixture.CallAtOnce(kConnectionCount), kConnectionCount);
  for (int round = 1; round <= 3; ++round) {
    const int before = fixture.mAccepted;
    fixture.SilenceOpenConnections();
    cr_expect_eq(fixture.CallAtOnce(1), 0);
    cr_expect_eq(fixture.mSilentRequests, round);
    for (int i = 0; i < kConnectionCount; ++i) {
      cr_expect_eq(fixture.CallAtOnce(1), 1);
    }
    cr_expect_eq(fixture.mAccepted, before + 1);
    cr_assert_eq(fixture.CallAtOnce(kConnectionCount), kConnectionCount);
  }
}

// Guards against connections that are opened anew after each slow answer,
// although they were used meanwhile.
Test(http_client, connections_used_since_a_silent_call_are_kept)
{
  Fixture fixture;
  cr_assert_eq(fixture.CallAtOnce(1), 1);
  fixture.SilenceOpenConnections();
  // One of these calls gets the silent connection, the others open their own.
  cr_expect_eq(fixture.CallAtOnce(kConnectionCount), kConnectionCount - 1);
  cr_expect_eq(fixture.CallAtOnce(kConnectionCount - 1), kConnectionCount - 1);
  cr_expect_eq(fixture.mAccepted, kConnectionCount);
}

// Guards against a client that takes the deadline of a slow server for silence.
Test(http_client, a_deadline_drops_nothing_where_servers_may_take_that_long)
{
  Fixture fixture;
  fixture.mOptions.mDeadlineShowsSilence = false;
  fixture.mClient =
    http::Client::Create(fixture.mContext.get_executor(), fixture.mOptions);
  cr_assert_eq(fixture.CallAtOnce(kConnectionCount), kConnectionCount);
  fixture.mSilentBelow = 1;
  int failed = 0;
  for (int i = 0; i < kConnectionCount; ++i) {
    failed += kConnectionCount - fixture.CallAtOnce(kConnectionCount);
    cr_assert_leq(failed, 1);
  }
  cr_expect_eq(fixture.mAccepted, kConnectionCount + 1);
}
