#include "agatetide/http/client.hpp"
#include "agatetide/http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

using namespace agatetide;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kPause{ 60 };
constexpr int kChunks = 6;

/// Streams some chunks with a pause before each.
http::Response SlowStream()
{
  http::Response response;
  response.mStream = [](http::ChunkWriter aWrite) -> Awaitable<Result<bool>> {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (int i = 0; i < kChunks; ++i) {
      timer.expires_after(kPause);
      co_await timer.async_wait(asio::use_awaitable);
      std::string chunk = "chunk";
      const auto written = co_await aWrite(std::move(chunk));
      if (written.has_error()) {
        co_return written.error();
      }
    }
    co_return true;
  };
  return response;
}

/// Asks the server for its stream; parts gets the number of pieces.
Awaitable<void> ReadStream(http::Client& aClient,
                           uint16_t aPort,
                           int& aParts,
                           bool& aWhole)
{
  http::CallOptions options;
  options.mDeadline =
    std::chrono::steady_clock::now() + std::chrono::seconds(10);
  options.mIdleTimeout = 4 * kPause;
  const http::Endpoint endpoint{ "127.0.0.1", aPort };
  const http::Request request;
  const http::BodySink count = [&](std::string_view) {
    ++aParts;
    return http::BodySinkResult::Progress;
  };
  const auto answer =
    co_await aClient.Stream(endpoint, request, options, count);
  aWhole = answer.has_value();
}

/// Sends a request and leaves soon.
Awaitable<void> LeaveEarly(http::Client& aClient, uint16_t aPort)
{
  http::CallOptions options;
  options.mDeadline = std::chrono::steady_clock::now() + 2 * kPause;
  const http::Endpoint endpoint{ "127.0.0.1", aPort };
  const http::Request request;
  co_await aClient.Call(endpoint, request, options);
}

Awaitable<http::Response> HandleStream(http::Request)
{
  co_return SlowStream();
}

/// A handler that works until its caller has gone.
Awaitable<http::Response> HandleUntilGone(http::Request aRequest, bool* aGone)
{
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::seconds(10));
  aRequest.mCaller->OnDisconnect([&] {
    *aGone = true;
    timer.cancel();
  });
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  co_return http::Response();
}

} // namespace

// Guards against a stream whose parts are held back until a buffer is full:
// they came late, and the idle timeout cut streams that were not silent.
Test(http_client, passes_parts_on_as_they_arrive)
{
  asio::io_context context;
  auto server = http::Server::Create(context.get_executor(), {}, HandleStream);
  cr_assert(server.has_value());
  const auto client = http::Client::Create(context.get_executor());
  int parts = 0;
  bool whole = false;
  asio::co_spawn(context,
                 ReadStream(*client, (*server)->Port(), parts, whole),
                 [&](const std::exception_ptr&) { context.stop(); });
  context.run();
  cr_expect(whole);
  cr_expect_eq(parts, kChunks);
}

// Guards against work that goes on for a caller that has left.
Test(http_server, tells_the_handler_that_the_caller_has_gone)
{
  asio::io_context context;
  bool gone = false;
  auto server = http::Server::Create(
    context.get_executor(), {}, [&](http::Request aRequest) {
      return HandleUntilGone(std::move(aRequest), &gone);
    });
  cr_assert(server.has_value());
  const auto client = http::Client::Create(context.get_executor());
  asio::co_spawn(
    context, LeaveEarly(*client, (*server)->Port()), asio::detached);
  context.run_for(kPause * 10);
  cr_expect(gone);
}
