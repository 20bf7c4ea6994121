#include "agatetide/http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <string_view>
#include <vector>

using namespace agatetide;
namespace asio = boost::asio;

namespace {

constexpr size_t kCallerCount = 5;

Awaitable<http::Response> HandleEmpty(http::Request)
{
  co_return http::Response();
}

} // namespace

// Guards against resets for callers that have connected and sent a request
// which the stopping server has not read yet.
Test(http_server, a_stopping_server_answers_connections_that_wait)
{
  asio::io_context context;
  auto server = http::Server::Create(context.get_executor(), {}, HandleEmpty);
  cr_assert(server.has_value());
  asio::io_context callers;
  std::vector<asio::ip::tcp::socket> sockets;
  for (size_t i = 0; i < kCallerCount; ++i) {
    sockets.emplace_back(callers);
    sockets.back().connect(
      { asio::ip::address_v4::loopback(), (*server)->Port() });
    asio::write(sockets.back(),
                asio::buffer(std::string_view("GET / HTTP/1.1\r\n\r\n")));
  }
  (*server)->RefuseRequests(
    { ErrorKind::Unavailable, "this host is stopping", "use another host" });
  (*server)->StopAccepting();
  cr_expect_eq((*server)->RunningRequestCount(), 0, "no request was read yet");
  cr_expect_eq(
    (*server)->ConnectionCount(), kCallerCount, "all connections are known");
  context.run_for(std::chrono::milliseconds(500));
  cr_expect_eq((*server)->ConnectionCount(), 0);
  for (asio::ip::tcp::socket& socket : sockets) {
    std::string response;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(response), error);
    cr_expect(error == asio::error::eof, "%s", error.message().c_str());
    cr_expect(response.starts_with("HTTP/1.1 503"), "%s", response.c_str());
  }
}
