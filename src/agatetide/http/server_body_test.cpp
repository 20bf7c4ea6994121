#include "agatetide/http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <cstdlib>
#include <string>
#include <string_view>

using namespace agatetide;
namespace asio = boost::asio;

namespace {

constexpr size_t kLargeBody = size_t{ 400 } << 10U;
constexpr std::chrono::milliseconds kHandlerTime{ 300 };

/// A server with memory for one large body, whose handler takes some time.
struct Fixture
{
  Fixture()
  {
    http::ServerOptions options;
    options.mBodyBudget = mBudget;
    auto server = http::Server::Create(
      mContext.get_executor(),
      options,
      [this](http::Request aRequest) -> Awaitable<http::Response> {
        mReceived += aRequest.mBody.size();
        asio::steady_timer timer(mContext, kHandlerTime);
        co_await timer.async_wait(asio::use_awaitable);
        co_return http::Response();
      });
    mServer = std::move(*server);
  }

  asio::ip::tcp::socket Send(const std::string& aRequest)
  {
    asio::ip::tcp::socket socket(mCallers);
    socket.connect({ asio::ip::address_v4::loopback(), mServer->Port() });
    mContext.restart();
    mContext.poll();
    boost::system::error_code error;
    for (size_t sent = 0; sent < aRequest.size() && !error;) {
      sent += asio::write(
        socket,
        asio::buffer(aRequest.data() + sent,
                     std::min(aRequest.size() - sent, size_t{ 32 } << 10U)),
        error);
      mContext.restart();
      mContext.poll();
    }
    return socket;
  }

  /// Returns the status of the response; 0 if there is none.
  int ReadStatus(asio::ip::tcp::socket& aSocket)
  {
    constexpr std::string_view kVersion = "HTTP/1.1 ";
    mContext.restart();
    mContext.run_for(2 * kHandlerTime);
    std::string response(kVersion.size() + 3, '\0');
    boost::system::error_code error;
    asio::read(aSocket, asio::buffer(response), error);
    return response.starts_with(kVersion)
             ? std::atoi(response.c_str() + kVersion.size())
             : 0;
  }

  std::shared_ptr<MemoryBudget> mBudget =
    std::make_shared<MemoryBudget>(size_t{ 1 } << 20U);
  asio::io_context mContext;
  asio::io_context mCallers;
  std::unique_ptr<http::Server> mServer;
  size_t mReceived = 0;
};

std::string MakePost(size_t aBodySize)
{
  return "POST / HTTP/1.1\r\ncontent-length: " + std::to_string(aBodySize) +
         "\r\n\r\n" + std::string(aBodySize, 'b');
}

} // namespace

// Guards against large bodies that together exhaust the memory of the process.
Test(http_server, large_bodies_share_a_budget)
{
  Fixture fixture;
  auto first = fixture.Send(MakePost(kLargeBody));
  cr_expect(fixture.mBudget->Used() >= kLargeBody);
  auto second = fixture.Send(MakePost(kLargeBody));
  auto small = fixture.Send(MakePost(1000));
  cr_expect_eq(fixture.ReadStatus(second), 503);
  cr_expect_eq(fixture.ReadStatus(first), 200);
  cr_expect_eq(fixture.ReadStatus(small), 200);
  cr_expect_eq(fixture.mReceived, kLargeBody + 1000);
  cr_expect_eq(fixture.mBudget->Used(), 0);
  auto third = fixture.Send(MakePost(kLargeBody));
  cr_expect_eq(fixture.ReadStatus(third), 200);
}

// Guards against telling the caller to come back with a body that never fits.
Test(http_server, a_body_that_never_fits_is_too_large)
{
  Fixture fixture;
  auto caller = fixture.Send(MakePost(size_t{ 2 } << 20U));
  cr_expect_eq(fixture.ReadStatus(caller), 413);
  cr_expect_eq(fixture.mServer->Counters().mRefusedBodies, 1);
  cr_expect_eq(fixture.mReceived, 0);
}

// Guards against a body of unknown length that grows without taking memory from
// the budget.
Test(http_server, bodies_in_chunks_take_memory_as_they_grow)
{
  Fixture fixture;
  std::string request = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
  for (size_t i = 0; i < 40; ++i) {
    request += "8000\r\n" + std::string(0x8000, 'c') + "\r\n";
  }
  auto caller = fixture.Send(request);
  cr_expect_eq(fixture.ReadStatus(caller), 413);
  cr_expect_eq(fixture.mBudget->Used(), 0);
  auto second = fixture.Send("POST / HTTP/1.1\r\ntransfer-encoding: "
                             "chunked\r\n\r\n5\r\nshort\r\n0\r\n\r\n");
  cr_expect_eq(fixture.ReadStatus(second), 200);
}

// Guards against memory that stays taken when the caller leaves in the middle
// of its body.
Test(http_server, a_broken_body_returns_its_memory)
{
  Fixture fixture;
  {
    auto caller = fixture.Send(MakePost(kLargeBody).substr(0, kLargeBody / 2));
    cr_expect(fixture.mBudget->Used() >= kLargeBody);
  }
  fixture.mContext.restart();
  fixture.mContext.run_for(kHandlerTime);
  cr_expect_eq(fixture.mBudget->Used(), 0);
}
