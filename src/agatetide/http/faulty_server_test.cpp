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
constexpr std::chrono::milliseconds kPause{ 20 };
constexpr std::chrono::seconds kCallTime{ 3 };
constexpr size_t kMaxBodyBytes = size_t{ 256 } << 10U;
/// The sockets' buffers hold some bytes that the client has not read.
constexpr size_t kMaxSentBytes = size_t{ 12 } << 20U;
constexpr std::string_view kStreamHead = "HTTP/1.1 200 OK\r\n"
                                         "Content-Type: text/event-stream\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n";

struct CallEnd
{
  bool mWhole = false;
  Error mError;
  std::chrono::steady_clock::duration mTime{};
};

/// Calls a server and notes how the call ended.
Awaitable<void> CallServer(http::Client& aClient, uint16_t aPort, CallEnd& aEnd)
{
  http::CallOptions options;
  const auto start = std::chrono::steady_clock::now();
  options.mDeadline = start + kCallTime;
  options.mAllowCloseDelimited = true;
  const http::Endpoint endpoint{ "127.0.0.1", aPort };
  const http::Request request;
  const auto answer = co_await aClient.Call(endpoint, request, options);
  aEnd.mWhole = answer.has_value();
  aEnd.mError = answer.has_error() ? answer.error() : Error{};
  aEnd.mTime = std::chrono::steady_clock::now() - start;
}

/// Reads a stream whose pieces bring it forward when they hold aMark.
Awaitable<void> ReadStream(http::Client& aClient,
                           uint16_t aPort,
                           std::string_view aMark,
                           CallEnd& aEnd)
{
  http::CallOptions options;
  const auto start = std::chrono::steady_clock::now();
  options.mDeadline = start + kCallTime;
  options.mIdleTimeout = kIdleTimeout;
  const http::Endpoint endpoint{ "127.0.0.1", aPort };
  const http::Request request;
  const http::BodySink sink = [&](std::string_view aPart) {
    return aPart.find(aMark) == std::string_view::npos
             ? http::BodySinkResult::NoProgress
             : http::BodySinkResult::Progress;
  };
  const auto answer = co_await aClient.Stream(endpoint, request, options, sink);
  aEnd.mWhole = answer.has_value();
  aEnd.mTime = std::chrono::steady_clock::now() - start;
}

std::string Chunk(std::string_view aText)
{
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", aText.size());
  return size + std::string(aText) + "\r\n";
}

Awaitable<void> Sleep(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

/// An answer whose bytes do not end.
struct EndlessAnswer
{
  const char* mName;
  const char* mHead;
  const char* mRepeated;
};

const EndlessAnswer kEndlessAnswers[] = {
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

/// Sends comments after the head of a stream until the client leaves.
Awaitable<void> SendFiller(http::ScriptedConnection& aConnection)
{
  co_await aConnection.ReadHead();
  bool open = co_await aConnection.Write(std::string(kStreamHead));
  while (open) {
    open = co_await aConnection.Write(Chunk(":"));
    co_await Sleep(kPause);
  }
}

/// Sends eight events with pauses that are within the idle timeout.
Awaitable<void> SendSlowStream(http::ScriptedConnection& aConnection)
{
  co_await aConnection.ReadHead();
  co_await aConnection.Write(std::string(kStreamHead));
  for (int i = 0; i < 8; ++i) {
    co_await Sleep(kIdleTimeout * 3 / 4);
    co_await aConnection.Write(Chunk("event"));
  }
  co_await aConnection.Write("0\r\n\r\n");
  co_await aConnection.ReadHead();
}

Awaitable<void> SendEndless(http::ScriptedConnection& aConnection,
                            const EndlessAnswer& aAnswer,
                            size_t& aWritten)
{
  co_await aConnection.ReadHead();
  bool open = co_await aConnection.Write(aAnswer.mHead);
  std::string many;
  for (int i = 0; i < 1000; ++i) {
    many += aAnswer.mRepeated;
  }
  while (open && aWritten < 4 * kMaxSentBytes) {
    open = co_await aConnection.Write(many);
    aWritten = aConnection.BytesWritten();
  }
}

/// Sends most of a body and waits.
Awaitable<void> SendLargePart(http::ScriptedConnection& aConnection,
                              std::string aStatus)
{
  co_await aConnection.ReadHead();
  co_await aConnection.Write("HTTP/1.1 " + aStatus +
                             "\r\nContent-Length: 262144\r\n\r\n" +
                             std::string(200000, 'a'));
  co_await aConnection.ReadHead();
}

Awaitable<void> SendInterimAnswers(http::ScriptedConnection& aConnection)
{
  co_await aConnection.ReadHead();
  bool open = true;
  while (open) {
    open = co_await aConnection.Write("HTTP/1.1 102 Processing\r\n\r\n");
    co_await Sleep(std::chrono::milliseconds(1));
  }
}

} // namespace

// Guards against a replica that keeps a sample by sending a byte now and then.
Test(http_client, ends_a_stream_that_brings_nothing_but_filler)
{
  asio::io_context context;
  http::ScriptedServer stalled(context.get_executor(), SendFiller);
  const auto client = http::Client::Create(context.get_executor());
  CallEnd end;
  asio::co_spawn(context,
                 ReadStream(*client, stalled.Port(), "event", end),
                 [&](const std::exception_ptr&) { context.stop(); });
  context.run();
  cr_expect(!end.mWhole);
  cr_expect_lt(end.mTime.count(),
               std::chrono::nanoseconds(4 * kIdleTimeout).count());
}

// Guards against a limit on the whole time of a stream that goes on slowly.
Test(http_client, reads_a_slow_stream_to_its_end)
{
  asio::io_context context;
  http::ScriptedServer slow(context.get_executor(), SendSlowStream);
  const auto client = http::Client::Create(context.get_executor());
  CallEnd end;
  asio::co_spawn(context,
                 ReadStream(*client, slow.Port(), "event", end),
                 [&](const std::exception_ptr&) { context.stop(); });
  context.run();
  cr_expect(end.mWhole);
}

// Guards against answers whose bytes do not end: they must neither fill the
// memory nor hold the call until its deadline.
Test(http_client, ends_an_endless_answer)
{
  for (const EndlessAnswer& answer : kEndlessAnswers) {
    asio::io_context context;
    size_t written = 0;
    http::ScriptedServer endless(
      context.get_executor(), [&](http::ScriptedConnection& aConnection) {
        return SendEndless(aConnection, answer, written);
      });
    http::ClientOptions options;
    options.mMaxBodyBytes = kMaxBodyBytes;
    const auto client = http::Client::Create(context.get_executor(), options);
    CallEnd end;
    asio::co_spawn(context,
                   CallServer(*client, endless.Port(), end),
                   [&](const std::exception_ptr&) { context.stop(); });
    context.run();
    const std::string name = answer.mName;
    cr_expect(!end.mWhole, "%s: taken as whole", name.c_str());
    cr_expect(end.mError.mExecution == Execution::Unknown, "%s", name.c_str());
    cr_expect(end.mTime < kCallTime / 2, "%s: took too long", name.c_str());
    cr_expect(written < kMaxSentBytes, "%s: read too much", name.c_str());
  }
}

// Guards against many answers at once that are each within the limit, whatever
// their status.
Test(http_client, limits_the_bytes_of_all_answers)
{
  constexpr int kCalls = 10;
  for (const char* status : { "200 OK", "500 Failed" }) {
    asio::io_context context;
    http::ScriptedServer large(context.get_executor(),
                               [&](http::ScriptedConnection& aConnection) {
                                 return SendLargePart(aConnection, status);
                               });
    http::ClientOptions options;
    options.mMaxBodyBytes = kMaxBodyBytes;
    options.mMaxBufferedBytes = 4 * kMaxBodyBytes;
    const auto client = http::Client::Create(context.get_executor(), options);
    std::vector<CallEnd> ends(kCalls);
    int exhausted = 0;
    int running = kCalls;
    for (CallEnd& end : ends) {
      asio::co_spawn(context,
                     CallServer(*client, large.Port(), end),
                     [&](const std::exception_ptr&) {
                       if (--running == 0) {
                         context.stop();
                       }
                     });
    }
    context.run();
    for (const CallEnd& end : ends) {
      exhausted += end.mError.mKind == ErrorKind::ResourceExhausted ? 1 : 0;
    }
    cr_expect_geq(exhausted, kCalls - 5, "%s", status);
    cr_expect_lt(exhausted, kCalls, "%s", status);
  }
}

// Guards against an interim answer, or one without end, that a caller gets in
// place of the final one.
Test(http_client, takes_no_interim_answer_for_the_final_one)
{
  asio::io_context context;
  http::ScriptedServer interim(context.get_executor(), SendInterimAnswers);
  const auto client = http::Client::Create(context.get_executor());
  CallEnd end;
  asio::co_spawn(context,
                 CallServer(*client, interim.Port(), end),
                 [&](const std::exception_ptr&) { context.stop(); });
  context.run();
  cr_expect(!end.mWhole);
}
