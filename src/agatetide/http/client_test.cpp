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

constexpr std::chrono::milliseconds kChunkDelay{ 60 };
constexpr int kChunkCount = 6;

/// Streams chunks with a delay before each.
http::Response MakeSlowStream()
{
  http::Response response;
  response.mStream = [](http::ChunkWriter aWrite) -> Awaitable<Result<bool>> {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (int i = 0; i < kChunkCount; ++i) {
      timer.expires_after(kChunkDelay);
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

/// Reads the server's stream and counts the pieces of its body.
Awaitable<void> ReadStream(http::Client& aClient,
                           uint16_t aPort,
                           int& aPieceCount,
                           bool& aSucceeded)
{
  http::CallOptions options;
  options.mDeadline =
    std::chrono::steady_clock::now() + std::chrono::seconds(10);
  options.mIdleTimeout = 4 * kChunkDelay;
  const http::Endpoint endpoint{ "127.0.0.1", aPort };
  const http::Request request;
  const http::BodySink count = [&](std::string_view) {
    ++aPieceCount;
    return http::BodySinkResult::Progress;
  };
  const auto response =
    co_await aClient.Stream(endpoint, request, options, count);
  aSucceeded = response.has_value();
}

/// Sends a request and closes the connection after a short deadline.
Awaitable<void> CallAndDisconnect(http::Client& aClient, uint16_t aPort)
{
  http::CallOptions options;
  options.mDeadline = std::chrono::steady_clock::now() + 2 * kChunkDelay;
  const http::Endpoint endpoint{ "127.0.0.1", aPort };
  const http::Request request;
  co_await aClient.Call(endpoint, request, options);
}

Awaitable<http::Response> HandleStream(http::Request)
{
  co_return MakeSlowStream();
}

/// A handler that runs until its caller disconnects.
Awaitable<http::Response> HandleUntilDisconnect(http::Request aRequest,
                                                bool* aDisconnected)
{
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::seconds(10));
  aRequest.mCaller->OnDisconnect([&] {
    *aDisconnected = true;
    timer.cancel();
  });
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  co_return http::Response();
}

} // namespace

// Guards against a client that holds back pieces of a stream until a buffer is
// full: they arrive late, and the idle timeout ends streams that are active.
Test(http_client, passes_parts_on_as_they_arrive)
{
  asio::io_context context;
  auto server = http::Server::Create(context.get_executor(), {}, HandleStream);
  cr_assert(server.has_value());
  const auto client = http::Client::Create(context.get_executor());
  int pieceCount = 0;
  bool succeeded = false;
  asio::co_spawn(context,
                 ReadStream(*client, (*server)->Port(), pieceCount, succeeded),
                 [&](const std::exception_ptr&) { context.stop(); });
  context.run();
  cr_expect(succeeded);
  cr_expect_eq(pieceCount, kChunkCount);
}

// Guards against handlers that go on working for a caller that has
// disconnected.
Test(http_server, tells_the_handler_that_the_caller_has_gone)
{
  asio::io_context context;
  bool disconnected = false;
  auto server = http::Server::Create(
    context.get_executor(), {}, [&](http::Request aRequest) {
      return HandleUntilDisconnect(std::move(aRequest), &disconnected);
    });
  cr_assert(server.has_value());
  const auto client = http::Client::Create(context.get_executor());
  asio::co_spawn(
    context, CallAndDisconnect(*client, (*server)->Port()), asio::detached);
  context.run_for(kChunkDelay * 10);
  cr_expect(disconnected);
}
