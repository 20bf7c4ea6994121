#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/http/message.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace agatetide::http {

struct ClientOptions
{
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  /// A longer body ends its call.
  size_t mMaxBodyBytes = size_t{ 64 } << 20U;
  /// Bodies of all running Call()s; a call that would exceed it ends with
  /// ResourceExhausted.
  size_t mMaxBufferedBytes = size_t{ 256 } << 20U;
  /// Idle connections kept for each endpoint.
  size_t mMaxIdleConnections = 32;
  /// Idle connections older than this are not used again.
  std::chrono::milliseconds mIdleConnectionTimeout{ 30000 };
  /// Source IP address of connections; empty lets the system choose.
  std::string mLocalAddress;
};

/// @brief Ends a call from outside, on the client's executor. Valid for one
/// call.
class AbortHandle
{
public:
  /// @brief Closes the connection of the call, or ends the call as soon as
  /// it is connected. The call fails.
  void operator()()
  {
    mRequested = true;
    if (mClose) {
      mClose();
    }
  }

  /// @brief Whether the call was ended.
  bool Requested() const { return mRequested; }

private:
  friend class Client;
  std::function<void()> mClose;
  bool mRequested = false;
};

struct CallOptions
{
  std::chrono::steady_clock::time_point mDeadline{};
  /// Uses a new connection, so that a failed write proves that the server
  /// has not received the request.
  bool mFreshConnection = false;
  /// Longest time until the header, and then without progress as the body's
  /// sink tells it, within the deadline; 0 means the deadline alone.
  std::chrono::milliseconds mIdleTimeout{ 0 };
  /// Takes an answer without length or chunks as whole when the connection
  /// ends without a reset.
  bool mAllowCloseDelimited = false;
  /// Called with the status and the header before the body; false cancels
  /// the call.
  std::function<bool(const Response&)> mOnHeader;
  /// Lets the caller end the call; may be null.
  std::shared_ptr<AbortHandle> mAbort;
};

/// @brief What a piece of a streamed body means for its reader.
enum class BodySinkResult
{
  /// The idle timeout starts anew.
  Progress,
  /// Part of something longer, or filler.
  NoProgress,
  /// Ends the call.
  Cancel,
};

/// @brief Takes one piece of a streamed body.
using BodySink = std::function<BodySinkResult(std::string_view)>;

/// @brief HTTP/1.1 client that keeps connections open. All methods must be
/// called from the executor given to Create().
///
/// Errors of calls: Unavailable (not run) when the request was not sent;
/// OutcomeUnknown when the connection failed after that; DeadlineExceeded
/// with the matching execution; DataLoss when the answer was cut or exceeds
/// a limit; ResourceExhausted when the answers being read take too much
/// memory.
class Client
{
public:
  static std::unique_ptr<Client> Create(boost::asio::any_io_executor aExecutor,
                                        ClientOptions aOptions = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// @brief Sends a request and returns the whole answer.
  Awaitable<Result<Response>> Call(Endpoint aEndpoint,
                                   Request aRequest,
                                   CallOptions aOptions);

  /// @brief Sends a request and passes the body of a 200 answer to aSink as
  /// it arrives. The returned response has a body only for other statuses.
  Awaitable<Result<Response>> Stream(Endpoint aEndpoint,
                                     Request aRequest,
                                     CallOptions aOptions,
                                     BodySink aSink);

private:
  struct State;
  explicit Client(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

} // namespace agatetide::http
