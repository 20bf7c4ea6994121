#include "agatetide/http/connection_pool.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace agatetide::http {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

namespace {

enum class IdleState
{
  /// The server has neither closed it nor sent anything without being asked.
  Reusable,
  /// The server closed it, or sent something.
  Used,
  /// It was reset, or the server's kernel is not reached any more.
  Failed,
};

IdleState IdleStateOf(Connection& aConnection)
{
  ErrorCode error;
  auto& socket = aConnection.mStream.socket();
  char byte = 0;
  socket.non_blocking(true, error);
  socket.receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  if (error == asio::error::would_block) {
    return IdleState::Reusable;
  }
  return !error || error == asio::error::eof ? IdleState::Used
                                             : IdleState::Failed;
}

void SetTcpOption(asio::ip::tcp::socket& aSocket, int aOption, int64_t aValue)
{
  const int value = static_cast<int>(aValue);
  ::setsockopt(
    aSocket.native_handle(), IPPROTO_TCP, aOption, &value, sizeof value);
}

std::string Key(const Endpoint& aEndpoint)
{
  return aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort);
}

} // namespace

void Connection::SetAcknowledgementTimeout(std::chrono::milliseconds aTimeout)
{
  if (mAcknowledgementTimeout != aTimeout) {
    mAcknowledgementTimeout = aTimeout;
    SetTcpOption(mStream.socket(), TCP_USER_TIMEOUT, aTimeout.count());
  }
}

void Connection::EnableKeepAlive(std::chrono::seconds aInterval)
{
  ErrorCode ignored;
  auto& socket = mStream.socket();
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  SetTcpOption(socket, TCP_KEEPIDLE, aInterval.count());
  SetTcpOption(socket, TCP_KEEPINTVL, aInterval.count());
}

ConnectionPtr ConnectionPool::Take(const Endpoint& aEndpoint)
{
  const auto found = mIdle.find(Key(aEndpoint));
  if (found == mIdle.end()) {
    return nullptr;
  }
  const auto now = std::chrono::steady_clock::now();
  while (!found->second.empty()) {
    ConnectionPtr connection = std::move(found->second.back());
    found->second.pop_back();
    if (now - connection->mIdleSince <
          std::min(mOptions.mIdleConnectionTimeout,
                   connection->mIdleConnectionTimeout) &&
        IdleStateOf(*connection) == IdleState::Reusable) {
      return connection;
    }
  }
  return nullptr;
}

void ConnectionPool::Return(const Endpoint& aEndpoint,
                            ConnectionPtr aConnection)
{
  auto& idle = mIdle[Key(aEndpoint)];
  if (idle.size() < mOptions.mMaxIdleConnections &&
      aConnection->mBuffer.size() == 0) {
    aConnection->mStream.expires_never();
    aConnection->mIdleSince = std::chrono::steady_clock::now();
    idle.push_back(std::move(aConnection));
  }
}

void ConnectionPool::DropUnusedSince(
  const Endpoint& aEndpoint,
  std::chrono::steady_clock::time_point aTime)
{
  const auto found = mIdle.find(Key(aEndpoint));
  const size_t dropped =
    found == mIdle.end()
      ? 0
      : std::erase_if(found->second, [&](const ConnectionPtr& aConnection) {
          return aConnection->mIdleSince < aTime;
        });
  if (dropped > 0) {
    LogEvent("idle_connections_dropped", LogLevel::Warning)
      .Field("endpoint", Key(aEndpoint))
      .Field("count", static_cast<uint64_t>(dropped))
      .Field("reason", "no response on another connection")
      .Write();
  }
}

size_t ConnectionPool::DropEnded()
{
  size_t failed = 0;
  for (auto& [key, connections] : mIdle) {
    std::erase_if(connections, [&](const ConnectionPtr& aConnection) {
      const IdleState idle = IdleStateOf(*aConnection);
      failed += idle == IdleState::Failed ? 1 : 0;
      return idle != IdleState::Reusable;
    });
  }
  return failed;
}

} // namespace agatetide::http
