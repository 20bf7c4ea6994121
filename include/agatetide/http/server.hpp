#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/http/message.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <memory>

namespace agatetide::http {

struct ServerOptions
{
  std::string mAddress = "127.0.0.1";
  uint16_t mPort = 0;
  size_t mMaxHeaderBytes = size_t{ 16 } << 10U;
  size_t mMaxBodyBytes = size_t{ 8 } << 20U;
  size_t mMaxConnections = 4096;
  /// Longest time to receive one request once its first byte has arrived,
  /// and to write one chunk of an answer.
  std::chrono::milliseconds mTransferTimeout{ 15000 };
  /// An idle connection is closed after this time.
  std::chrono::milliseconds mIdleTimeout{ 120000 };
};

/// @brief The part of the options that may change while the server runs.
struct ServerLimits
{
  size_t mMaxHeaderBytes = size_t{ 16 } << 10U;
  size_t mMaxBodyBytes = size_t{ 8 } << 20U;
  std::chrono::milliseconds mIdleTimeout{ 120000 };
};

struct ServerCounters
{
  uint64_t mAccepted = 0;
  uint64_t mRefusedConnections = 0;
  uint64_t mMalformedRequests = 0;
  /// Requests that did not arrive within the transfer time.
  uint64_t mSlowRequests = 0;
  /// Requests whose handler threw.
  uint64_t mHandlerFailures = 0;
};

using Handler = std::function<Awaitable<Response>(Request)>;

/// @brief HTTP/1.1 server. All coroutines run on the executor given to
/// Create(); methods must be called from it.
class Server
{
public:
  /// @brief Binds and starts to accept.
  /// Errors: InvalidArgument for a bad address, Unavailable when the address
  /// is in use.
  static Result<std::unique_ptr<Server>> Create(
    boost::asio::any_io_executor aExecutor,
    ServerOptions aOptions,
    Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// @brief The bound port.
  uint16_t Port() const;

  /// @brief Changes what callers may send from their next request on.
  void SetLimits(const ServerLimits& aLimits);

  /// @brief Answers carry "connection: close" from now on, so that callers
  /// move to other hosts between requests.
  void DisableKeepAlive();

  /// @brief Answers each request that arrives from now on with this error
  /// and closes its connection. Idle connections are closed, but for new ones,
  /// whose first request is on its way. Requests that are being handled get
  /// their answers.
  void RefuseRequests(Error aReason);

  /// @brief Accepts no new connections. Answers on open ones carry
  /// "connection: close".
  void StopAccepting();

  /// @brief Requests whose answer is not completely written.
  size_t RunningRequestCount() const;

  /// @brief Open connections, also those that have not sent a request yet.
  size_t ConnectionCount() const;

  ServerCounters Counters() const;

private:
  struct State;
  explicit Server(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

} // namespace agatetide::http
