#include "agatetide/http/client.hpp"
#include "agatetide/http/scripted_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <criterion/criterion.h>

using namespace agatetide;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kIdleTimeout{ 200 };
constexpr std::chrono::milliseconds kFillerInterval{ 20 };
constexpr std::chrono::seconds kCallTimeout{ 3 };
constexpr size_t kMaxBodyBytes = size_t{ 256 } << 10U;
/// Larger than the limit on bodies, since socket buffers hold bytes that the
/// client has not read.
constexpr size_t kMaxSentBytes = size_t{ 12 } << 20U;
constexpr std::string_view kStreamHeader = "HTTP/1.1 200 OK\r\n"
                                           "Content-Type: text/event-stream\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n";

/// How a call ended.
struct CallOutcome
{
  bool mSucceeded = false;
  Error mError;
  std::chrono::steady_clock::duration mDuration{};
};

/// Calls a server and records the outcome.
Awaitable<void> CallServer(http::Client& aClient,
                           uint16_t aPort,
                           CallOutcome& aOutcome)
{
  http::CallOptions options;
  const auto start = std::chrono::steady_clock::now();
  options.mDeadline = start + kCallTimeout;
  options.mAllowCloseDelimited = true;
  const http::Endpoint endpoint{ "127.0.0.1", aPort };
  const http::Request request;
  const auto response = co_await aClient.Call(endpoint, request, options);
  aOutcome.mSucceeded = response.has_value();
  aOutcome.mError = response.has_error() ? response.error() : Error{};
  aOutcome.mDuration = std::chrono::steady_clock::now() - start;
}

/// Reads a stream; pieces that contain aMarker count as progress.
Awaitable<void> ReadStream(http::Client& aClient,
                           uint16_t aPort,
                           std::string_view aMarker,
                           CallOutcome& aOutcome)
{
  http::CallOptions options;
  const auto start = std::chrono::steady_clock::now();
  options.mDeadline = start + kCallTimeout;
  options.mIdleTimeout = kIdleTimeout;
  const http::Endpoint endpoint{ "127.0.0.1", aPort };
  const http::Request request;
  const http::BodySink sink = [&](std::string_view aPiece) {
    return aPiece.find(aMarker) == std::string_view::npos
             ? http::BodySinkResult::NoProgress
             : http::BodySinkResult::Progress;
  };
  const auto response =
    co_await aClient.Stream(endpoint, request, options, sink);
  aOutcome.mSucceeded = response.has_value();
  aOutcome.mDuration = std::chrono::steady_clock::now() - start;
}

std::string Chunk(std::string_view aText)
{
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", aText.size());
  return size + std::string(aText) + "\r\n";
}

Awaitable<void> Sleep(std::chrono::milliseconds aDelay)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aDelay);
  co_await timer.async_wait(asio::use_awaitable);
}

/// A response that never ends: a start, and then the same bytes repeated.
struct EndlessResponse
{
  const char* mName;
  const char* mStart;
  const char* mRepeated;
};

const EndlessResponse kEndlessResponses[] = {
  { "no HTTP", "", "0123456789abcdef" },
  { "header fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n" },
  { "one header field", "HTTP/1.1 200 OK\r\nX-Field: ", "value" },
  { "body until the connection ends", "HTTP/1.1 200 OK\r\n\r\n", "bytes" },
  { "body by length",
    "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
    "bytes" },
  { "chunks",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "5\r\nbytes\r\n" },
  { "one chunk's header",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;name=",
    "value" },
  { "a failure's body", "HTTP/1.1 500 Failed\r\n\r\n", "bytes" },
  { "trailer fields",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "X-Field: value\r\n" },
};

/// Sends the header of a stream and then only comments until the client
/// disconnects.
Awaitable<void> SendComments(http::ScriptedConnection& aConnection)
{
  co_await aConnection.ReadHeader();
  bool open = co_await aConnection.Write(std::string(kStreamHeader));
  while (open) {
    open = co_await aConnection.Write(Chunk(":"));
    co_await Sleep(kFillerInterval);
  }
}

/// Sends eight events with delays shorter than the idle timeout.
Awaitable<void> SendSlowStream(http::ScriptedConnection& aConnection)
{
  co_await aConnection.ReadHeader();
  co_await aConnection.Write(std::string(kStreamHeader));
  for (int i = 0; i < 8; ++i) {
    co_await Sleep(kIdleTimeout * 3 / 4);
    co_await aConnection.Write(Chunk("event"));
  }
  co_await aConnection.Write("0\r\n\r\n");
  co_await aConnection.ReadHeader();
}

Awaitable<void> SendEndless(http::ScriptedConnection& aConnection,
                            const EndlessResponse& aResponse,
                            size_t& aBytesWritten)
{
  co_await aConnection.ReadHeader();
  bool open = co_await aConnection.Write(aResponse.mStart);
  std::string repeated;
  for (int i = 0; i < 1000; ++i) {
    repeated += aResponse.mRepeated;
  }
  while (open && aBytesWritten < 4 * kMaxSentBytes) {
    open = co_await aConnection.Write(repeated);
    aBytesWritten = aConnection.BytesWritten();
  }
}

/// Sends most of a body and waits until the client disconnects.
Awaitable<void> SendLargePartialBody(http::ScriptedConnection& aConnection,
                                     std::string aStatus)
{
  co_await aConnection.ReadHeader();
  co_await aConnection.Write("HTTP/1.1 " + aStatus +
                             "\r\nContent-Length: 262144\r\n\r\n" +
                             std::string(200000, 'a'));
  co_await aConnection.ReadHeader();
}

/// Sends the first bytes of a response and closes the connection.
Awaitable<void> SendPart(http::ScriptedConnection& aConnection,
                         std::string_view aPart)
{
  co_await aConnection.ReadHeader();
  co_await aConnection.Write(std::string(aPart));
}

Awaitable<void> SendInterimResponses(http::ScriptedConnection& aConnection)
{
  co_await aConnection.ReadHeader();
  bool open = true;
  while (open) {
    open = co_await aConnection.Write("HTTP/1.1 102 Processing\r\n\r\n");
    co_await Sleep(std::chrono::milliseconds(1));
  }
}

} // namespace

// Guards against a replica that keeps a request open forever by sending filler
// bytes now and then.
Test(http_client, ends_a_stream_that_brings_nothing_but_filler)
{
  asio::io_context context;
  http::ScriptedServer stalled(context.get_executor(), SendComments);
  const auto client = http::Client::Create(context.get_executor());
  CallOutcome outcome;
  asio::co_spawn(context,
                 ReadStream(*client, stalled.Port(), "event", outcome),
                 [&](const std::exception_ptr&) { context.stop(); });
  context.run();
  cr_expect(!outcome.mSucceeded);
  cr_expect_lt(outcome.mDuration.count(),
               std::chrono::nanoseconds(4 * kIdleTimeout).count());
}

// Guards against an idle timeout that limits the total time of a slow stream.
Test(http_client, reads_a_slow_stream_to_its_end)
{
  asio::io_context context;
  http::ScriptedServer slow(context.get_executor(), SendSlowStream);
  const auto client = http::Client::Create(context.get_executor());
  CallOutcome outcome;
  asio::co_spawn(context,
                 ReadStream(*client, slow.Port(), "event", outcome),
                 [&](const std::exception_ptr&) { context.stop(); });
  context.run();
  cr_expect(outcome.mSucceeded);
}

// Guards against endless responses: they must neither exhaust the memory nor
// block the call until its deadline.
Test(http_client, ends_an_endless_answer)
{
  for (const EndlessResponse& response : kEndlessResponses) {
    asio::io_context context;
    size_t bytesWritten = 0;
    http::ScriptedServer endless(
      context.get_executor(), [&](http::ScriptedConnection& aConnection) {
        return SendEndless(aConnection, response, bytesWritten);
      });
    http::ClientOptions options;
    options.mResponses.mMaxBodyBytes = kMaxBodyBytes;
    const auto client = http::Client::Create(context.get_executor(), options);
    CallOutcome outcome;
    asio::co_spawn(context,
                   CallServer(*client, endless.Port(), outcome),
                   [&](const std::exception_ptr&) { context.stop(); });
    context.run();
    const std::string name = response.mName;
    cr_expect(!outcome.mSucceeded, "%s: accepted as complete", name.c_str());
    cr_expect(
      outcome.mError.mExecution == Execution::Unknown, "%s", name.c_str());
    cr_expect(
      outcome.mDuration < kCallTimeout / 2, "%s: took too long", name.c_str());
    cr_expect(bytesWritten < kMaxSentBytes, "%s: read too much", name.c_str());
  }
}

// Guards against many concurrent responses, of any status, that are each within
// the limit for one body but exhaust the memory together.
Test(http_client, limits_the_bytes_of_all_answers)
{
  constexpr int kCallCount = 10;
  for (const char* status : { "200 OK", "500 Failed" }) {
    asio::io_context context;
    http::ScriptedServer large(
      context.get_executor(), [&](http::ScriptedConnection& aConnection) {
        return SendLargePartialBody(aConnection, status);
      });
    http::ClientOptions options;
    options.mResponses.mMaxBodyBytes = kMaxBodyBytes;
    options.mResponses.mBudget =
      std::make_shared<MemoryBudget>(4 * kMaxBodyBytes);
    const auto client = http::Client::Create(context.get_executor(), options);
    std::vector<CallOutcome> outcomes(kCallCount);
    int exhausted = 0;
    int running = kCallCount;
    for (CallOutcome& outcome : outcomes) {
      asio::co_spawn(context,
                     CallServer(*client, large.Port(), outcome),
                     [&](const std::exception_ptr&) {
                       if (--running == 0) {
                         context.stop();
                       }
                     });
    }
    context.run();
    for (const CallOutcome& outcome : outcomes) {
      exhausted += outcome.mError.mKind == ErrorKind::ResourceExhausted ? 1 : 0;
    }
    cr_expect_geq(exhausted, kCallCount - 5, "%s", status);
    cr_expect_lt(exhausted, kCallCount, "%s", status);
  }
}

// Guards against a response whose head broke off and that is returned as a
// complete one without a body, with or without a length in the head.
Test(http_client, takes_no_part_of_a_head_for_an_answer)
{
  for (const std::string_view head :
       { "HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 4\r\n\r\n",
         "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" }) {
    for (size_t length = 0; length < head.size(); ++length) {
      asio::io_context context;
      http::ScriptedServer broken(
        context.get_executor(), [&](http::ScriptedConnection& aConnection) {
          return SendPart(aConnection, head.substr(0, length));
        });
      const auto client = http::Client::Create(context.get_executor());
      CallOutcome outcome;
      asio::co_spawn(context,
                     CallServer(*client, broken.Port(), outcome),
                     [&](const std::exception_ptr&) { context.stop(); });
      context.run();
      cr_expect(!outcome.mSucceeded, "accepted after %zu bytes", length);
      cr_expect(outcome.mError.mExecution == Execution::Unknown);
    }
  }
}

// Guards against an interim response that is returned as the final one, and
// against an endless series of them.
Test(http_client, takes_no_interim_answer_for_the_final_one)
{
  asio::io_context context;
  http::ScriptedServer interim(context.get_executor(), SendInterimResponses);
  const auto client = http::Client::Create(context.get_executor());
  CallOutcome outcome;
  asio::co_spawn(context,
                 CallServer(*client, interim.Port(), outcome),
                 [&](const std::exception_ptr&) { context.stop(); });
  context.run();
  cr_expect(!outcome.mSucceeded);
}

namespace {

/// A whole answer, which is the body of another one.
constexpr std::string_view kInnerAnswer = "HTTP/1.1 200 OK\r\n"
                                          "Content-Length: 5\r\n\r\n"
                                          "inner";

/// Sends the same bytes to each request, and waits for the client to close.
http::ScriptedServer::Script Repeat(std::string aBytes)
{
  return [bytes = std::move(aBytes)](
           http::ScriptedConnection& aConnection) -> Awaitable<void> {
    while (!(co_await aConnection.ReadHeader()).empty()) {
      co_await aConnection.Write(bytes);
    }
  };
}

CallOutcome CallOnce(http::ScriptedServer::Script aScript)
{
  asio::io_context context;
  http::ScriptedServer server(context.get_executor(), std::move(aScript));
  const auto client = http::Client::Create(context.get_executor());
  CallOutcome outcome;
  asio::co_spawn(context,
                 CallServer(*client, server.Port(), outcome),
                 [&](const std::exception_ptr&) { context.stop(); });
  context.run();
  return outcome;
}

std::string WithBody(std::string_view aStatusLine, std::string_view aBody)
{
  return std::string(aStatusLine) +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         std::string(aBody);
}

} // namespace

// Guards against bytes of a body that become an answer, since a response whose
// status is none, or none that is followed by another one, is taken for
// interim; and against a wait for one that never comes.
Test(http_client, takes_no_status_below_200_for_an_answer)
{
  for (const char* line : { "HTTP/1.1 000 Trouble",
                            "HTTP/1.1 001 Trouble",
                            "HTTP/1.1 099 Trouble",
                            "HTTP/1.1 100 Continue",
                            "HTTP/1.1 101 Switching Protocols",
                            "HTTP/1.1 103 Early Hints",
                            "HTTP/1.1 199 Trouble",
                            "HTTP/1.0 000 Trouble",
                            "HTTP/1.1 20 Short",
                            "HTTP/1.1 2000 Long",
                            "HTTP/1.1 -20 Sign",
                            "HTTP/1.1 2x0 Letter",
                            "HTTP/1.1  Missing",
                            "HTTP/2 200 OK" }) {
    for (const std::string_view body :
         { kInnerAnswer, std::string_view("text"), std::string_view() }) {
      const CallOutcome outcome = CallOnce(Repeat(WithBody(line, body)));
      cr_expect(!outcome.mSucceeded, "%s", line);
      cr_expect(outcome.mError.mExecution == Execution::Unknown, "%s", line);
      cr_expect_lt(outcome.mDuration.count(),
                   std::chrono::nanoseconds(kCallTimeout / 2).count(),
                   "%s",
                   line);
    }
  }
  for (const char* line : { "HTTP/1.1 000 Trouble", "HTTP/1.1 101 Switched" }) {
    const auto outcome = CallOnce(Repeat(std::string(line) + "\r\n\r\n"));
    cr_expect(!outcome.mSucceeded, "%s", line);
    cr_expect_lt(outcome.mDuration.count(),
                 std::chrono::nanoseconds(kCallTimeout / 2).count());
  }
}

// Guards against refusing the interim responses of a sound server.
Test(http_client, reads_the_answer_behind_interim_ones)
{
  const std::string answer = WithBody("HTTP/1.1 200 OK", "text");
  for (const char* interim : { "HTTP/1.1 100 Continue\r\n\r\n",
                               "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
                               "HTTP/1.1 199 Other\r\n\r\n" }) {
    cr_expect(CallOnce(Repeat(interim + answer)).mSucceeded, "%s", interim);
    cr_expect(
      CallOnce(Repeat(std::string(interim) + interim + answer)).mSucceeded,
      "%s twice",
      interim);
  }
}

namespace {

/// Sends the head of a response, and its body when the next request has come.
Awaitable<void> SendBodyLate(http::ScriptedConnection& aConnection,
                             std::string aHead)
{
  co_await aConnection.ReadHeader();
  co_await aConnection.Write(aHead);
  const std::string next = co_await aConnection.ReadHeader();
  if (!next.empty()) {
    co_await aConnection.Write(std::string(kInnerAnswer));
  }
}

Awaitable<void> CallTwice(http::Client& aClient,
                          uint16_t aPort,
                          CallOutcome& aFirst,
                          CallOutcome& aSecond)
{
  co_await CallServer(aClient, aPort, aFirst);
  co_await CallServer(aClient, aPort, aSecond);
}

} // namespace

// Guards against a body behind a response that has none, which the next request
// on the connection gets for its answer.
Test(http_client, a_body_that_the_status_rules_out_joins_nothing)
{
  for (const char* line :
       { "HTTP/1.1 204 No Content", "HTTP/1.1 304 Not Modified" }) {
    asio::io_context context;
    std::string head = WithBody(line, kInnerAnswer);
    head.resize(head.size() - kInnerAnswer.size());
    http::ScriptedServer server(context.get_executor(),
                                [&](http::ScriptedConnection& aConnection) {
                                  return SendBodyLate(aConnection, head);
                                });
    const auto client = http::Client::Create(context.get_executor());
    CallOutcome first;
    CallOutcome second;
    asio::co_spawn(context,
                   CallTwice(*client, server.Port(), first, second),
                   [&](const std::exception_ptr&) { context.stop(); });
    context.run();
    cr_expect(first.mSucceeded, "%s", line);
    cr_expect_eq(server.ConnectionCount(), 2, "%s", line);
  }
}
