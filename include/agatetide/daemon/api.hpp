#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/daemon/admin.hpp"
#include "agatetide/daemon/call_dispatcher.hpp"
#include "agatetide/daemon/metrics.hpp"
#include "agatetide/daemon/rollout.hpp"
#include "agatetide/http/message.hpp"

namespace agatetide::daemon {

/// @brief Turns HTTP requests into calls: health, metrics, the built-in
/// services and the operators' schema. Owned by the traffic thread.
class Api
{
public:
  /// aServerState reads the state of the server that calls Handle().
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

  /// @brief Answers another daemon.
  Awaitable<coordination::PeerReply> HandlePeerRequest(
    coordination::PeerRequest aRequest);

  /// @brief Whether steps still generate, admitted requests or copies of
  /// hedged requests still run, so that a shutdown must wait.
  bool Busy() const
  {
    return mRollout.RunningStepCount() > 0 || mCalls.RunningCount() > 0 ||
           mCalls.RunningCopyCount() > 0;
  }

private:
  Result<Call> MakeCall(const http::Request& aRequest);
  Result<std::string> Authorize(const http::Request& aRequest,
                                const std::string& aMethod) const;
  bool MayAdminister(const http::Request& aRequest,
                     const std::string& aAccount) const;
  Awaitable<coordination::PeerReply> AnswerResend(
    coordination::PeerRequest aRequest);
  Awaitable<Result<std::string>> Route(Call aCall);
  Awaitable<Result<std::string>> RouteRollout(Call aCall);
  Awaitable<Result<std::string>> RouteAdmin(Call aCall);
  Result<std::string> Locate(const Call& aCall) const;
  http::Response Ready() const;

  /// Counts a request that got no further than its headers, and logs it
  /// within the limit.
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
