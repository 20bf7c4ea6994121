#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/http/connection_memory.hpp"
#include "agatetide/http/message.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace agatetide::http {

/// @brief The response to a request that is refused before it is handled.
Response MakeRefusal(const Error& aReason, const std::vector<Header>& aHeaders);

struct ServerOptions
{
  std::string mAddress = "127.0.0.1";
  /// 0 lets the system choose a port; see Server::Port().
  uint16_t mPort = 0;
  size_t mMaxHeaderBytes = size_t{ 16 } << 10U;
  size_t mMaxBodyBytes = size_t{ 8 } << 20U;
  /// Lines of a head, and of trailers. The shortest line has four bytes, so
  /// that a head of 16 KiB never has more.
  size_t mMaxHeaderLines = 4096;
  size_t mMaxConnections = 4096;
  /// Maximum time to receive a request once its first byte has arrived, and
  /// to write one chunk of a response.
  std::chrono::milliseconds mTransferTimeout{ 15000 };
  /// Connections that have been idle for longer are closed.
  std::chrono::milliseconds mIdleTimeout{ 120000 };
  /// Memory that large request bodies may take together, each counted twice: as
  /// it is received, and as it is decoded or sent on. Null if unlimited.
  std::shared_ptr<MemoryBudget> mBodyBudget;
  /// Limits what connections hold, for all servers of a process; null if
  /// unlimited. Its mLargeBodies should be mBodyBudget.
  std::shared_ptr<ConnectionMemory> mMemory;
  /// Whether the callers are other hosts, whose connections are not closed when
  /// memory is short.
  bool mFromHosts = false;
  /// Makes the response to a request whose body does not fit into the budget,
  /// from the reason and the header of the request.
  std::function<Response(const Error&, const std::vector<Header>&)>
    mMakeRefusal = MakeRefusal;
};

/// @brief The options that may change while the server runs.
struct ServerLimits
{
  size_t mMaxHeaderBytes = size_t{ 16 } << 10U;
  size_t mMaxBodyBytes = size_t{ 8 } << 20U;
  std::chrono::milliseconds mIdleTimeout{ 120000 };
};

/// @brief Events since the start of the server.
struct ServerCounters
{
  uint64_t mAccepted = 0;
  uint64_t mRefusedConnections = 0;
  uint64_t mMalformedRequests = 0;
  /// Requests that did not arrive within the transfer timeout.
  uint64_t mSlowRequests = 0;
  /// Requests whose head or body did not fit into the memory.
  uint64_t mRefusedBodies = 0;
  /// Responses that were replaced by an error for lack of memory.
  uint64_t mDroppedResponses = 0;
  /// Requests whose handler threw an exception.
  uint64_t mHandlerFailures = 0;
};

/// @brief Handles a request. If it throws an exception, the caller gets an
/// Internal error with Execution::Unknown.
using Handler = std::function<Awaitable<Response>(Request)>;

/// @brief HTTP/1.1 server. Not thread-safe: handlers run on the executor given
/// to Create(), and methods must be called from it.
class Server
{
public:
  /// @brief Binds the address and starts to accept connections.
  /// Errors: InvalidArgument if the address is not an IP address; Unavailable
  /// if the server cannot listen on it, for example because it is in use.
  static Result<std::unique_ptr<Server>> Create(
    boost::asio::any_io_executor aExecutor,
    ServerOptions aOptions,
    Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// @brief The port that the server listens on.
  uint16_t Port() const;

  /// @brief Sets the limits that apply from each connection's next request on.
  void SetLimits(const ServerLimits& aLimits);

  /// @brief Sends "connection: close" with all further responses, so that
  /// callers connect to other hosts for their next requests.
  void DisableKeepAlive();

  /// @brief Responds to all further requests with this error and closes their
  /// connections. Idle connections are closed, except those that have not sent
  /// a request yet, since their first one may be on its way. Requests that are
  /// being handled run to their end.
  void RefuseRequests(Error aReason);

  /// @brief Stops accepting connections. Responses on open ones contain
  /// "connection: close".
  void StopAccepting();

  /// @brief Number of requests being received or handled, or whose response is
  /// not completely written.
  size_t RunningRequestCount() const;

  /// @brief Number of open connections, including those that have not sent a
  /// request yet.
  size_t ConnectionCount() const;

  ServerCounters Counters() const;

private:
  struct State;
  explicit Server(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

} // namespace agatetide::http
