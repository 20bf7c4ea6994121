#include "agatetide/http/client.hpp"
#include "agatetide/http/scripted_server.hpp"
#include "agatetide/http/syntax.hpp"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::http;
namespace asio = boost::asio;

namespace {

constexpr std::string_view kLineBreak = "\r\n";
const std::string kSecondRequest = "\r\n\r\nPOST /inner HTTP/1.1\r\n\r\n";
const std::string kNul(1, '\0');

Request MakeRequest(Header aHeader)
{
  Request request;
  request.mHeaders.push_back(std::move(aHeader));
  return request;
}

Request MakeRequest(std::string aMethod, std::string aTarget)
{
  Request request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  return request;
}

Awaitable<void> SendEmptyResponse(ScriptedConnection& aConnection)
{
  co_await aConnection.Write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
}

std::vector<Request> InvalidRequests()
{
  std::vector<Request> requests{
    MakeRequest("", "/"),
    MakeRequest("GET ", "/"),
    MakeRequest("GET /inner HTTP/1.1\r\n\r\nGET", "/"),
    MakeRequest("GET", ""),
    MakeRequest("GET", "/a b"),
    MakeRequest("GET", "/a HTTP/1.1" + kSecondRequest),
    MakeRequest("GET", "/a" + kNul),
    MakeRequest("GET", "/a\x7f"),
    MakeRequest({ "", "value" }),
    MakeRequest({ "Name ", "value" }),
    MakeRequest({ "Name:", "value" }),
    MakeRequest({ "Name: value\r\nOther", "value" }),
    MakeRequest({ "N\xc3\xa4me", "value" }),
  };
  for (const std::string& part : { std::string(kLineBreak),
                                   std::string("\n"),
                                   std::string("\r"),
                                   kNul }) {
    requests.push_back(MakeRequest({ "Name", "value" + part + "Other: x" }));
  }
  return requests;
}

} // namespace

// Guards against text of a client that becomes a second request, or a header of
// its own, in what is sent to a replica or another server.
Test(http_syntax, an_invalid_request_is_not_sent)
{
  for (const Request& request : InvalidRequests()) {
    asio::io_context context;
    ScriptedServer server(context.get_executor(), SendEmptyResponse);
    const auto client = Client::Create(context.get_executor());
    Result<Response> response = Response();
    CallOptions options;
    options.mDeadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(2);
    asio::co_spawn(
      context,
      client->Call({ "127.0.0.1", server.Port() }, request, options),
      [&](const std::exception_ptr&, Result<Response> aResponse) {
        response = std::move(aResponse);
        context.stop();
      });
    context.run();
    cr_assert(response.has_error(), "%s", request.mTarget.c_str());
    cr_expect(response.error().mKind == ErrorKind::InvalidArgument);
    cr_expect(response.error().mExecution == Execution::NotRun);
    cr_expect_eq(server.ConnectionCount(), 0);
  }
}

// Guards against refusing what callers and replicas may send.
Test(http_syntax, valid_parts_are_accepted)
{
  cr_expect(IsHeaderValue(""));
  cr_expect(IsHeaderValue("text with spaces,\ttabs and \xc3\xa4"));
  cr_expect(IsToken("Token-Usage"));
  cr_expect(IsToken("x_1.~"));
  cr_expect(IsTarget("*"));
  cr_expect(IsTarget("http://host/a?b=c"));
  cr_expect(IsPath("/a/b%20c;d=e?f=g&h=:@"));
}

// Guards against paths that replicas read in different ways.
Test(http_syntax, paths_have_only_the_characters_of_a_path)
{
  for (const std::string& path : { std::string(""),
                                   std::string("a"),
                                   std::string("/a b"),
                                   std::string("/a#b"),
                                   std::string("/a\\b"),
                                   std::string("/\xc3\xa4"),
                                   "/a" + kNul,
                                   "/a" + std::string(kLineBreak) }) {
    cr_expect(!IsPath(path), "%s", path.c_str());
  }
}
