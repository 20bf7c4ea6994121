#pragma once

#include "agatetide/http/client.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace agatetide::http {

/// @brief A connection of a client, and what was received but not parsed yet.
struct Connection
{
  /// Limit of the received bytes that are not parsed yet. A response header or
  /// a chunk header that does not fit ends the call.
  static constexpr size_t kMaxUnparsedBytes = size_t{ 32 } << 10U;

  explicit Connection(const boost::asio::any_io_executor& aExecutor)
    : mStream(aExecutor)
  {
  }

  /// @brief Sets how long the server's kernel may take to acknowledge what is
  /// sent; 0 leaves it to the system.
  void SetAcknowledgementTimeout(std::chrono::milliseconds aTimeout);

  /// @brief Lets the kernel probe the connection while nothing arrives.
  void EnableKeepAlive(std::chrono::seconds aInterval);

  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer{ kMaxUnparsedBytes };
  std::chrono::steady_clock::time_point mIdleSince{};
  /// From the server's "keep-alive: timeout", if it sent one.
  std::chrono::milliseconds mIdleConnectionTimeout = std::chrono::hours(1);

private:
  /// As set on the socket; 0 if it is the system's.
  std::chrono::milliseconds mAcknowledgementTimeout{ 0 };
};

using ConnectionPtr = std::unique_ptr<Connection>;

/// @brief The idle connections of a client. Not thread-safe.
class ConnectionPool
{
public:
  /// Precondition: aOptions outlives the pool.
  explicit ConnectionPool(const ClientOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Returns the most recently used connection that can be reused; null
  /// if there is none.
  ConnectionPtr Take(const Endpoint& aEndpoint);

  /// @brief Keeps a connection without a request for later calls, unless there
  /// are too many.
  void Return(const Endpoint& aEndpoint, ConnectionPtr aConnection);

  /// @brief See Client::DropEndedConnections().
  size_t DropEnded();

  /// @brief Drops the idle connections to an endpoint that were last used
  /// before aTime. For when a call that was sent then got no response: a cut
  /// that silenced its connection has silenced theirs as well, and calls on
  /// them would also end by their timeouts.
  void DropUnusedSince(const Endpoint& aEndpoint,
                       std::chrono::steady_clock::time_point aTime);

private:
  const ClientOptions& mOptions;
  /// By endpoint; the most recently used connection is last.
  std::map<std::string, std::deque<ConnectionPtr>> mIdle;
};

} // namespace agatetide::http
