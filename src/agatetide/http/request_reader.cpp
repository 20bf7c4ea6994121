#include "request_reader.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <functional>
#include <iterator>

namespace agatetide::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

/// Smaller bodies are counted with the head of their request, so that they are
/// received while large ones use up the memory for bodies.
constexpr size_t kMinLargeBodyBytes = size_t{ 64 } << 10U;
/// A body is in memory as it was received, and as it is decoded or sent on.
constexpr size_t kBodyCopies = 2;
/// A lookup that is hedged has copies of its body in up to three attempts.
/// Bodies of which so many copies take at most half of the budget count so
/// often; larger ones are batch jobs, which are decoded and not hedged.
constexpr size_t kHedgedBodyCopies = 4;
/// A header line is in memory as it was parsed, in the request, in the
/// prototype of the attempts, and in up to three attempts with their messages;
/// each takes 64 to 100 bytes in addition to a short text. With 384 bytes, 160
/// callers of heads of 4,000 lines exceeded the memory by 3 MB of 40.
constexpr size_t kHeaderLineBytes = 1024;
/// Ordinary requests have no more lines; these are not counted.
constexpr size_t kFreeLines = 16;
/// When the handling of other large bodies may have ended.
constexpr std::chrono::milliseconds kRetryDelay{ 1000 };
/// Connections that are closed for one that needs memory.
constexpr int kMaxClosedAtOnce = 8;
/// Passes through the executor in which a closed connection ends.
constexpr int kPassesPerClose = 3;

Error DoesNotFit(bool aEver)
{
  if (!aEver) {
    return { ErrorKind::TooLarge,
             "the body needs more memory than this host has for bodies",
             "send it in smaller parts" };
  }
  return { ErrorKind::Unavailable,
           "other requests take the memory of this host",
           "retry later, or at another host",
           Execution::NotRun,
           kRetryDelay };
}

Error TooManyLines(size_t aMaxLines)
{
  return { ErrorKind::ResourceExhausted,
           "the header has more than " + std::to_string(aMaxLines) + " lines",
           "send fewer header fields" };
}

/// Tries to take memory, and closes suspicious connections until it fits or
/// none is left.
Awaitable<bool> TakeOrClose(ConnectionHold& aHold, std::function<bool()> aTake)
{
  if (aTake()) {
    co_return true;
  }
  for (int closed = 0; closed < kMaxClosedAtOnce; ++closed) {
    if (!aHold.Memory() || aHold.IsClosed() ||
        !aHold.Memory()->CloseMostSuspicious()) {
      co_return false;
    }
    const auto executor = co_await asio::this_coro::executor;
    for (int pass = 0; pass < kPassesPerClose; ++pass) {
      co_await asio::post(executor, asio::use_awaitable);
    }
    if (aTake()) {
      co_return true;
    }
  }
  co_return false;
}

size_t LineCount(const RequestParser& aParser)
{
  const auto& fields = aParser.get();
  return static_cast<size_t>(std::distance(fields.begin(), fields.end()));
}

size_t CountedBodyBytes(size_t aCapacity, const MemoryBudget* aBudget)
{
  const bool isHedged = aBudget == nullptr ||
                        aBudget->CanEverFit(2 * kHedgedBodyCopies * aCapacity);
  return (isHedged ? kHedgedBodyCopies : kBodyCopies) * aCapacity;
}

/// Counts what a request holds at this point.
Awaitable<std::optional<Error>> CountMemory(const RequestTarget& aTarget,
                                            size_t aLineCount)
{
  ConnectionHold& hold = aTarget.mHold;
  const size_t capacity = aTarget.mParser.get().body().capacity();
  const bool isLarge = capacity >= kMinLargeBodyBytes;
  const size_t body =
    isLarge ? CountedBodyBytes(capacity, aTarget.mBodyBudget) : capacity;
  const size_t countedLines = std::max(aLineCount, kFreeLines) - kFreeLines;
  const size_t small = aTarget.mBuffer.capacity() +
                       kHeaderLineBytes * countedLines + (isLarge ? 0 : body);
  if (!hold.GrowSmall(small)) {
    const std::function<bool()> takeSmall = [&] {
      return hold.GrowSmall(small);
    };
    if (!co_await TakeOrClose(hold, takeSmall)) {
      co_return DoesNotFit(true);
    }
  }
  if (isLarge && aTarget.mBodyBudget != nullptr) {
    if (!aTarget.mBodyBudget->CanEverFit(body)) {
      co_return DoesNotFit(false);
    }
    const std::function<bool()> takeLarge = [&] {
      return aTarget.mBodyMemory.GrowTo(body);
    };
    if (!co_await TakeOrClose(hold, takeLarge)) {
      co_return DoesNotFit(true);
    }
    hold.SetBodyBytes(body);
  }
  co_return std::nullopt;
}

} // namespace

Awaitable<std::optional<Error>> ReadRequest(beast::tcp_stream& aStream,
                                            RequestTarget aTarget,
                                            boost::system::error_code& aError)
{
  RequestParser& parser = aTarget.mParser;
  size_t lineCount = 0;
  size_t headLineCount = 0;
  while (!parser.is_done()) {
    const bool hadHeader = parser.is_header_done();
    co_await beast::http::async_read_some(
      aStream,
      aTarget.mBuffer,
      parser,
      asio::redirect_error(asio::use_awaitable, aError));
    if (aError) {
      co_return std::nullopt;
    }
    // Trailers are lines of the same container.
    if (parser.is_header_done() && (!hadHeader || parser.is_done())) {
      lineCount = LineCount(parser);
      headLineCount = hadHeader ? headLineCount : lineCount;
      if (std::max(headLineCount, lineCount - headLineCount) >
          aTarget.mMaxHeaderLines) {
        co_return TooManyLines(aTarget.mMaxHeaderLines);
      }
    }
    auto refused = co_await CountMemory(aTarget, lineCount);
    if (refused) {
      co_return refused;
    }
  }
  co_return std::nullopt;
}

Awaitable<bool> TakeResponseMemory(ConnectionHold& aHold, size_t aBytes)
{
  const std::function<bool()> take = [&aHold, aBytes] {
    return aHold.TakeResponse(aBytes);
  };
  co_return co_await TakeOrClose(aHold, take);
}

} // namespace agatetide::http
