#include "agatetide/base/task.hpp"
#include "agatetide/clients/engine_client.hpp"
#include "agatetide/daemon/call_dispatcher.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <utility>

/// The part of CallDispatcher that sends a request to a replica, once or as two
/// hedged copies.
namespace agatetide::daemon {

namespace asio = boost::asio;
using nlohmann::json;

Awaitable<Result<std::string>> CallDispatcher::RunObservedAttempt(
  const Call& aCall,
  const v1::Upstream& aUpstream,
  const std::string& aJson,
  bool aIdempotent,
  const std::string& aReplica,
  uint32_t& aTokens)
{
  const TimePoint sent = mContext.mClock();
  auto result = co_await RunAttempt(
    aCall, aUpstream, aJson, aIdempotent, aReplica, aTokens);
  AttemptOutcome outcome;
  outcome.mLatency = mContext.mClock() - sent;
  outcome.mTokens = aTokens;
  // A short deadline or an invalid request is no sign of a failing replica.
  outcome.mFailed = result.has_error() &&
                    result.error().mKind != ErrorKind::DeadlineExceeded &&
                    result.error().mKind != ErrorKind::InvalidArgument;
  if (!result.has_error() || outcome.mFailed) {
    ObserveAttempt(mContext, aUpstream, aReplica, outcome);
  }
  co_return result;
}

Awaitable<Result<std::string>> CallDispatcher::RunHedgedAttempt(
  std::shared_ptr<const HedgedRequest> aRequest,
  std::shared_ptr<SelectedReplica> aFirst,
  Duration aDelay)
{
  const auto hedge = std::make_shared<HedgeState>(mContext.mExecutor);
  const std::set<std::string> avoid{ aFirst->Address() };
  hedge->mPendingCopies = 1;
  asio::co_spawn(mContext.mExecutor,
                 RunCopy(aRequest, hedge, std::move(aFirst)),
                 LogFailure("run_copy"));
  boost::system::error_code ignored;
  if (!hedge->mResult) {
    hedge->mTimer.expires_after(aDelay);
    co_await hedge->mTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  const std::string& upstream = aRequest->mUpstream->name();
  const auto limiter = mContext.mLimiters.find(upstream);
  // While requests wait for slots, a second copy would delay one of them.
  const bool noneWaiting =
    limiter != mContext.mLimiters.end() && limiter->second->WaitingCount() == 0;
  if (!hedge->mResult && noneWaiting &&
      FindOrCreateUpstreamState(mContext, upstream).mHedgeBudget.TryTake()) {
    auto second = SelectReplica(
      mContext, *aRequest->mUpstream, avoid, aRequest->mCall.mRequestId);
    if (second.has_value()) {
      ++hedge->mPendingCopies;
      asio::co_spawn(
        mContext.mExecutor,
        RunCopy(aRequest,
                hedge,
                std::make_shared<SelectedReplica>(std::move(*second))),
        LogFailure("run_copy"));
    }
  }
  while (!hedge->mResult) {
    hedge->mTimer.expires_at(TimePoint::max());
    co_await hedge->mTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (hedge->mResult->has_error() && hedge->mMayHaveRun) {
    co_return WithoutNotRun(hedge->mResult->error());
  }
  co_return *hedge->mResult;
}

Awaitable<void> CallDispatcher::RunCopy(
  std::shared_ptr<const HedgedRequest> aRequest,
  std::shared_ptr<HedgeState> aHedge,
  std::shared_ptr<SelectedReplica> aReplica)
{
  ++mRunningCopies;
  constexpr bool kIdempotent = true;
  uint32_t tokens = 0;
  auto result = co_await RunObservedAttempt(aRequest->mCall,
                                            *aRequest->mUpstream,
                                            aRequest->mJson,
                                            kIdempotent,
                                            aReplica->Address(),
                                            tokens);
  --mRunningCopies;
  --aHedge->mPendingCopies;
  if (result.has_error() && result.error().mExecution != Execution::NotRun) {
    aHedge->mMayHaveRun = true;
  }
  // An error is the result only if no other copy can still answer.
  if (!aHedge->mResult && (result.has_value() || aHedge->mPendingCopies == 0)) {
    aHedge->mResult = std::move(result);
    aHedge->mTimer.cancel();
  }
}

Awaitable<Result<std::string>> CallDispatcher::RunAttempt(
  const Call& aCall,
  const v1::Upstream& aUpstream,
  const std::string& aJson,
  bool aIdempotent,
  const std::string& aReplica,
  uint32_t& aTokens)
{
  const auto endpoint = http::ParseEndpoint(aReplica);
  if (endpoint.has_error()) {
    co_return endpoint.error();
  }
  if (aUpstream.kind() == v1::Upstream::KIND_ENGINE) {
    co_return co_await CallEngine(aCall, aUpstream, aJson, *endpoint, aTokens);
  }
  co_return co_await CallService(aCall, aJson, aIdempotent, *endpoint);
}

Awaitable<Result<std::string>> CallDispatcher::CallService(
  const Call& aCall,
  const std::string& aJson,
  bool aIdempotent,
  const http::Endpoint& aEndpoint)
{
  const auto remaining = std::chrono::duration_cast<Milliseconds>(
    aCall.mDeadline - mContext.mClock());
  http::Request request;
  request.mTarget = "/" + aCall.mMethod;
  request.mHeaders = { { "content-type", "application/json" },
                       { "x-request-id", aCall.mRequestId },
                       { "x-client-account", aCall.mAccount },
                       { "connect-timeout-ms",
                         std::to_string(remaining.count()) } };
  request.mBody = aJson;
  const http::CallOptions options{ aCall.mDeadline, !aIdempotent };
  auto answer =
    co_await mContext.mClient->Call(aEndpoint, std::move(request), options);
  if (answer.has_error()) {
    co_return answer.error();
  }
  const std::string_view answered =
    http::FindHeader(answer->mHeaders, "x-request-id");
  if (!answered.empty() && answered != aCall.mRequestId) {
    co_return Error{
      ErrorKind::DataLoss,
      "the upstream answered with the id of another request",
      "the request may have run; repeat it only if it is idempotent",
      Execution::Unknown
    };
  }
  if (answer->mStatus != 200) {
    const bool notRun = answer->mStatus == 429 || answer->mStatus == 503;
    co_return Error{ notRun ? ErrorKind::Unavailable : ErrorKind::Internal,
                     "the upstream answered HTTP status " +
                       std::to_string(answer->mStatus),
                     "see the log of the upstream",
                     notRun ? Execution::NotRun : Execution::Completed };
  }
  co_return std::move(answer->mBody);
}

Awaitable<Result<std::string>> CallDispatcher::CallEngine(
  const Call& aCall,
  const v1::Upstream& aUpstream,
  const std::string& aJson,
  const http::Endpoint& aEndpoint,
  uint32_t& aTokens)
{
  const json body = json::parse(aJson, nullptr, false);
  if (!body.is_object() ||
      !body.value("/prompt"_json_pointer, json("")).is_string() ||
      !body.value("/max_tokens"_json_pointer, json(0U)).is_number_unsigned()) {
    co_return Error{
      ErrorKind::InvalidArgument,
      "the request body does not match the engine's request format",
      "the schema must declare prompt as string and max_tokens "
      "as uint32"
    };
  }
  clients::CompletionRequest request;
  request.mModel = aUpstream.model();
  request.mPrompt = body.value("prompt", "");
  request.mMaxTokens = body.value("max_tokens", 64U);
  request.mRequestId = aCall.mRequestId;
  clients::Completion completion;
  const auto done = co_await clients::StreamCompletion(
    *mContext.mClient, aEndpoint, request, aCall.mDeadline, completion, [] {
      return true;
    });
  aTokens = completion.mTokens;
  if (done.has_error()) {
    co_return done.error();
  }
  json answer = { { "result", completion.mText } };
  for (const uint64_t version : completion.mWeightVersions) {
    answer["weight_versions"].push_back(std::to_string(version));
  }
  co_return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

Error CallDispatcher::WithoutNotRun(Error aError)
{
  if (aError.mExecution == Execution::NotRun) {
    aError.mExecution = Execution::Unknown;
  }
  return aError;
}

} // namespace agatetide::daemon
