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

constexpr size_t kCallers = 5;

Awaitable<http::Response> AnswerNothing(http::Request)
{
  co_return http::Response();
}

} // namespace

// Guards against callers that are connected and have sent their request when
// the host stops, and that it has not looked at yet.
Test(http_server, a_stopping_server_answers_connections_that_wait)
{
  asio::io_context context;
  auto server = http::Server::Create(context.get_executor(), {}, AnswerNothing);
  cr_assert(server.has_value());
  asio::io_context callers;
  std::vector<asio::ip::tcp::socket> sockets;
  for (size_t i = 0; i < kCallers; ++i) {
    sockets.emplace_back(callers);
    sockets.back().connect(
      { asio::ip::address_v4::loopback(), (*server)->Port() });
    asio::write(sockets.back(),
                asio::buffer(std::string_view("GET / HTTP/1.1\r\n\r\n")));
  }
  (*server)->RefuseRequests(
    { ErrorKind::Unavailable, "this host stops", "use another host" });
  (*server)->StopAccepting();
  cr_expect_eq((*server)->RunningRequestCount(), 0, "none was read yet");
  cr_expect_eq((*server)->ConnectionCount(), kCallers, "but all are known");
  context.run_for(std::chrono::milliseconds(500));
  cr_expect_eq((*server)->ConnectionCount(), 0);
  for (asio::ip::tcp::socket& socket : sockets) {
    std::string answer;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    cr_expect(error == asio::error::eof, "%s", error.message().c_str());
    cr_expect(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
  }
}
