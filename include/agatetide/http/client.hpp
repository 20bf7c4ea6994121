#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/memory_budget.hpp"
#include "agatetide/http/message.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace agatetide::http {

/// @brief Limits of the memory for responses, whatever servers send.
struct ResponseLimits
{
  /// A call whose response body is longer fails with DataLoss.
  size_t mMaxBodyBytes = size_t{ 64 } << 20U;
  /// For the response bodies that running calls collect; a call that would
  /// exceed it fails with ResourceExhausted. Clients may share it. Not null.
  std::shared_ptr<MemoryBudget> mBudget =
    std::make_shared<MemoryBudget>(size_t{ 256 } << 20U);
};

struct ClientOptions
{
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  ResponseLimits mResponses;
  /// Per endpoint.
  size_t mMaxIdleConnections = 32;
  /// Connections that have been idle for longer are not reused.
  std::chrono::milliseconds mIdleConnectionTimeout{ 30000 };
  /// Source IP address of connections; if empty, the system chooses it.
  std::string mLocalAddress;
  /// A connection is lost if the server's kernel has not acknowledged what was
  /// sent for this long. 0 leaves it to the system, which waits for minutes.
  std::chrono::milliseconds mAcknowledgementTimeout{ 0 };
  /// A connection on which nothing arrives is probed at this interval, so that
  /// a broken path is noticed although nothing is sent. 0 disables it.
  std::chrono::seconds mKeepAliveInterval{ 0 };
  /// Whether a call without a response before its deadline shows that the other
  /// idle connections to the endpoint may have gone silent, too, so that they
  /// are not reused. False where the server may take until the deadline.
  bool mDeadlineShowsSilence = true;
  /// Called with the outcome of each attempt to open a connection. May be
  /// empty.
  std::function<void(const Endpoint&, bool aConnected)> mOnConnect;
};

/// @brief Cancels one call of a Client. Must be used on the client's executor
/// and for one call only.
class CancelHandle
{
public:
  /// @brief Closes the connection of the call, so that the call fails with
  /// Canceled. A call that is still connecting fails once it is connected,
  /// without sending its request.
  void operator()()
  {
    mRequested = true;
    if (mClose) {
      mClose();
    }
  }

  /// @brief Whether the call was canceled through this handle.
  bool IsCanceled() const { return mRequested; }

private:
  friend class Client;
  std::function<void()> mClose;
  bool mRequested = false;
};

struct CallOptions
{
  std::chrono::steady_clock::time_point mDeadline{};
  /// Opens a new connection. On a reused one, which the server may have closed
  /// already, a failed write does not prove that the server has not received
  /// the request.
  bool mFreshConnection = false;
  /// Fails with Unavailable at once instead of opening a connection.
  bool mOpenConnectionOnly = false;
  /// Replaces ClientOptions::mAcknowledgementTimeout for this call if not 0.
  std::chrono::milliseconds mAcknowledgementTimeout{ 0 };
  /// Maximum time until the response header arrives, and then between two
  /// pieces of the body for which the sink reports progress. The deadline
  /// applies as well; 0 disables the idle timeout.
  std::chrono::milliseconds mIdleTimeout{ 0 };
  /// Accepts a response body without length or chunked encoding, which ends
  /// when the server closes the connection without a reset.
  bool mAllowCloseDelimited = false;
  /// Called with status and header before the body is read. Returning false
  /// cancels the call.
  std::function<bool(const Response&)> mOnHeader;
  /// Cancels the call from outside; may be null.
  std::shared_ptr<CancelHandle> mCancel;
};

/// @brief Tells the client how to go on after a piece of a streamed body.
enum class BodySinkResult
{
  /// Restarts the idle timeout.
  Progress,
  /// Reads on without restarting the idle timeout, for example after an
  /// incomplete event or a comment.
  NoProgress,
  /// Cancels the call.
  Cancel,
};

/// @brief Receives the pieces of a streamed body as they arrive.
using BodySink = std::function<BodySinkResult(std::string_view)>;

/// @brief HTTP/1.1 client with persistent connections. Not thread-safe: all
/// methods must be called from the executor given to Create().
///
/// Connections may go silent without a reset. Once a call shows that one has,
/// idle connections that were not used since the call was sent are dropped, so
/// that the next call does not end by its timeout as well.
///
/// Errors of calls: InvalidArgument with Execution::NotRun if the request is
/// not valid HTTP, in which case no connection is opened; Unavailable with
/// Execution::NotRun if no connection was established; OutcomeUnknown if the
/// connection failed after that; DeadlineExceeded with the matching Execution;
/// DataLoss if the response is incomplete or exceeds a limit; ResourceExhausted
/// if the responses being read take too much memory; Canceled if mCancel,
/// mOnHeader or the sink canceled the call.
class Client
{
public:
  static std::unique_ptr<Client> Create(boost::asio::any_io_executor aExecutor,
                                        ClientOptions aOptions = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// @brief Drops idle connections that ended. Returns how many of them failed,
  /// rather than being closed by their server.
  size_t DropEndedConnections();

  /// @brief Sends a request and returns the complete response.
  Awaitable<Result<Response>> Call(Endpoint aEndpoint,
                                   Request aRequest,
                                   CallOptions aOptions);

  /// @brief Sends a request and passes the body of a response with status 200
  /// to aSink as it arrives. The returned response contains a body only for
  /// other statuses.
  Awaitable<Result<Response>> Stream(Endpoint aEndpoint,
                                     Request aRequest,
                                     CallOptions aOptions,
                                     BodySink aSink);

  /// @brief Opens a connection and keeps it for later calls. Errors:
  /// DeadlineExceeded if it was not established within aTimeout, Unavailable if
  /// it was refused.
  Awaitable<Result<bool>> OpenConnection(Endpoint aEndpoint,
                                         std::chrono::milliseconds aTimeout);

private:
  struct State;
  explicit Client(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

} // namespace agatetide::http
