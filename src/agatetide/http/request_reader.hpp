#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/error.hpp"
#include "agatetide/base/memory_budget.hpp"
#include "agatetide/http/connection_memory.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace agatetide::http {

using RequestParser =
  boost::beast::http::request_parser<boost::beast::http::string_body>;

/// @brief Bytes that a connection keeps unparsed at most: the head, the
/// trailers or one chunk extension. A body passes in pieces of this size.
constexpr size_t MaxUnparsedBytes(size_t aMaxHeaderBytes)
{
  constexpr size_t kReadBytes = size_t{ 64 } << 10U;
  return std::max(kReadBytes, 2 * aMaxHeaderBytes);
}

/// @brief Where a request is read to, and what it takes memory from. The
/// references must outlive the reading.
struct RequestTarget
{
  boost::beast::flat_buffer& mBuffer;
  RequestParser& mParser;
  size_t mMaxHeaderLines;
  /// For large bodies; null if unlimited.
  MemoryBudget* mBodyBudget;
  MemoryReservation& mBodyMemory;
  ConnectionHold& mHold;
};

/// @brief Reads a request. It takes memory as it grows, and closes suspicious
/// connections if there is none; returns the reason if it does not fit. aError
/// is the error of the connection or of the syntax. Not thread-safe.
Awaitable<std::optional<Error>> ReadRequest(boost::beast::tcp_stream& aStream,
                                            RequestTarget aTarget,
                                            boost::system::error_code& aError);

/// @brief Counts a response before it is written, and closes connections that
/// do not read theirs if there is no memory; returns whether it fits.
Awaitable<bool> TakeResponseMemory(ConnectionHold& aHold, size_t aBytes);

} // namespace agatetide::http
