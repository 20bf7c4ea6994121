#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/daemon/admin.hpp"
#include "agatetide/daemon/call_dispatcher.hpp"
#include "agatetide/daemon/metrics.hpp"
#include "agatetide/daemon/rollout.hpp"
#include "agatetide/http/message.hpp"

namespace agatetide::daemon {

/// @brief Handles HTTP requests: health checks, metrics, calls of the built-in
/// services and calls of the uploaded schema. Owned by the traffic thread.
class Api
{
public:
  /// @brief aServerState returns the state of the server that calls Handle().
  Api(TrafficContext& aContext, std::function<ServerState()> aServerState)
    : mContext(aContext)
    , mServerState(std::move(aServerState))
    , mCalls(aContext)
    , mRollout(aContext)
    , mAdmin(aContext)
  {
  }

  /// @brief Handles one request.
  Awaitable<http::Response> Handle(http::Request aRequest);

  /// @brief Answers a request of another daemon.
  Awaitable<coordination::PeerReply> HandlePeerRequest(
    coordination::PeerRequest aRequest);

  /// @brief Whether a shutdown must wait, since steps, admitted requests or
  /// copies of hedged requests still run.
  bool Busy() const
  {
    return mRollout.RunningStepCount() > 0 || mCalls.RunningCount() > 0 ||
           mCalls.RunningCopyCount() > 0;
  }

private:
  Result<Call> ParseCall(const http::Request& aRequest);
  Result<std::string> Authorize(const http::Request& aRequest,
                                const std::string& aMethod) const;
  bool MayAdminister(const http::Request& aRequest,
                     const std::string& aAccount) const;
  Awaitable<coordination::PeerReply> AnswerRetry(
    coordination::PeerRequest aRequest);
  Awaitable<Result<std::string>> RunCall(Call aCall);
  Awaitable<Result<std::string>> RunRolloutCall(Call aCall);
  Awaitable<Result<std::string>> RunAdminCall(Call aCall);
  Result<std::string> Locate(const Call& aCall) const;
  http::Response Readiness() const;

  /// Counts and logs a request that was refused because of its headers, and
  /// returns the error response. The log is rate-limited.
  http::Response Refuse(const http::Request& aRequest, const Error& aError);

  TrafficContext& mContext;
  std::function<ServerState()> mServerState;
  Metrics mMetrics;
  LogLimiter mRefusalLog;
  CallDispatcher mCalls;
  Rollout mRollout;
  Admin mAdmin;
};

} // namespace agatetide::daemon
