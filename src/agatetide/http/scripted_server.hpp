#pragma once

#include "agatetide/base/awaitable.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <memory>
#include <string>

namespace agatetide::http {

/// @brief The server side of one connection, as used by a script.
class ScriptedConnection
{
public:
  explicit ScriptedConnection(boost::asio::ip::tcp::socket aSocket)
    : mSocket(std::move(aSocket))
  {
  }

  /// @brief Reads the request line and the headers of the next request; empty
  /// if the client has closed the connection. Bodies are not read, so requests
  /// must have none.
  Awaitable<std::string> ReadHeader()
  {
    boost::system::error_code error;
    const size_t size = co_await boost::asio::async_read_until(
      mSocket,
      boost::asio::dynamic_buffer(mReceived),
      "\r\n\r\n",
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error) {
      co_return std::string();
    }
    std::string header = mReceived.substr(0, size);
    mReceived.erase(0, size);
    co_return header;
  }

  /// @brief Returns false if the client has closed the connection.
  Awaitable<bool> Write(std::string aBytes)
  {
    boost::system::error_code error;
    mBytesWritten += co_await boost::asio::async_write(
      mSocket,
      boost::asio::buffer(aBytes),
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    co_return !error;
  }

  size_t BytesWritten() const { return mBytesWritten; }

private:
  boost::asio::ip::tcp::socket mSocket;
  std::string mReceived;
  size_t mBytesWritten = 0;
};

/// @brief Test double of a faulty server: a script decides which bytes each
/// connection gets. Must exist for as long as its executor runs.
class ScriptedServer
{
public:
  using Script = std::function<Awaitable<void>(ScriptedConnection&)>;

  ScriptedServer(boost::asio::any_io_executor aExecutor, Script aScript)
    : mAcceptor(aExecutor, { boost::asio::ip::address_v4::loopback(), 0 })
    , mScript(std::move(aScript))
  {
    boost::asio::co_spawn(aExecutor, Accept(), boost::asio::detached);
  }

  uint16_t Port() const { return mAcceptor.local_endpoint().port(); }

  /// @brief Number of connections accepted so far.
  size_t ConnectionCount() const { return mConnectionCount; }

private:
  Awaitable<void> Accept()
  {
    for (;;) {
      auto socket = co_await mAcceptor.async_accept(boost::asio::use_awaitable);
      ++mConnectionCount;
      boost::asio::co_spawn(mAcceptor.get_executor(),
                            Serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  Awaitable<void> Serve(boost::asio::ip::tcp::socket aSocket)
  {
    ScriptedConnection connection(std::move(aSocket));
    co_await mScript(connection);
  }

  boost::asio::ip::tcp::acceptor mAcceptor;
  Script mScript;
  size_t mConnectionCount = 0;
};

} // namespace agatetide::http
