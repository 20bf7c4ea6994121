#include "agatetide/daemon/call_dispatcher.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/task.hpp"
#include "agatetide/clients/engine_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace agatetide::daemon {

namespace asio = boost::asio;
using namespace coordination;
using nlohmann::json;

namespace {

constexpr std::chrono::minutes kOutcomeRetention{ 10 };
/// Timeout of an admitted request, even if its caller's deadline is earlier.
constexpr std::chrono::seconds kAdmittedRequestTimeout{ 60 };
/// Attempts of one request whose connection may break. A request that crashes
/// upstreams thus crashes two, which is enough to quarantine it. Attempts that
/// were refused without running do not count.
constexpr unsigned kMaxBrokenAttempts = 2;
/// The error response of a request that may have crashed an upstream is delayed
/// by this time. The crash report then reaches the other daemons, also over
/// slow links, before the caller can send the request again through them.
constexpr std::chrono::milliseconds kCrashPropagationDelay{ 200 };

std::string OutcomeKey(const std::string& aAccount,
                       const std::string& aRequestId)
{
  return aAccount + "\n" + aRequestId;
}

Error NotFoundError(const std::string& aMethod, std::string_view aWhat)
{
  return { ErrorKind::NotFound,
           aMethod + " has no " + std::string(aWhat),
           "ask an operator to load a schema and a route for it" };
}

Error OutcomeLostError()
{
  return {
    ErrorKind::OutcomeUnknown,
    "the daemon that admitted this request cannot be reached or no longer "
    "has its outcome",
    "check whether the request took effect before sending it with a new "
    "request id",
    Execution::Unknown
  };
}

Error AdmissionUndecidedError()
{
  return { ErrorKind::Unavailable,
           "the platform store did not confirm the admission of this request",
           "send it again with the same request id" };
}

Error RequestIdReusedError()
{
  return { ErrorKind::InvalidArgument,
           "the request id was used for a different request",
           "use a new request id for each request" };
}

Result<std::string> DecodeOutcome(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return OutcomeLostError();
  }
  if (body.contains("value")) {
    return Base64Decode(body["value"].get_ref<const std::string&>());
  }
  return Error{ ErrorKindFromName(body.value("code", "")),
                body.value("message", ""),
                body.value("remedy", ""),
                ExecutionFromName(body.value("execution", "")) };
}

policy::RequestClass RequestClassOf(const v1::Route& aRoute)
{
  switch (aRoute.request_class()) {
    case v1::REQUEST_CLASS_TRAINER:
      return policy::RequestClass::Trainer;
    case v1::REQUEST_CLASS_BACKGROUND:
      return policy::RequestClass::Background;
    default:
      return policy::RequestClass::Urgent;
  }
}

/// Whether another replica may be tried after this error.
bool MayRetry(const Error& aError, bool aIdempotent)
{
  switch (aError.mKind) {
    case ErrorKind::Unavailable:
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::DataLoss:
      return aIdempotent || aError.mExecution == Execution::NotRun;
    default:
      return false;
  }
}

/// Adds a replica to mSuspectReplicas while a suspected request runs on it.
class SuspectReplicaMark
{
public:
  SuspectReplicaMark(TrafficContext& aContext,
                     bool aIsSuspect,
                     std::string aReplica)
    : mContext(aContext)
    , mIsSuspect(aIsSuspect)
    , mReplica(std::move(aReplica))
  {
    if (mIsSuspect) {
      mContext.mSuspectReplicas.insert(mReplica);
    }
  }
  ~SuspectReplicaMark()
  {
    if (mIsSuspect) {
      mContext.mSuspectReplicas.erase(mContext.mSuspectReplicas.find(mReplica));
    }
  }
  SuspectReplicaMark(const SuspectReplicaMark&) = delete;
  SuspectReplicaMark& operator=(const SuspectReplicaMark&) = delete;

private:
  TrafficContext& mContext;
  bool mIsSuspect;
  std::string mReplica;
};

} // namespace

uint64_t ComputeFingerprint(const Call& aCall)
{
  return Hash64(aCall.mBody, Hash64(aCall.mMethod));
}

std::string EncodeCall(const Call& aCall, TimePoint aNow)
{
  const auto remaining =
    std::chrono::duration_cast<Milliseconds>(aCall.mDeadline - aNow);
  const json body = { { "id", Base64Encode(aCall.mRequestId) },
                      { "account", aCall.mAccount },
                      { "method", aCall.mMethod },
                      { "body", Base64Encode(aCall.mBody) },
                      { "protobuf", aCall.mProtobuf },
                      { "remaining_ms", remaining.count() } };
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<Call> DecodeCall(const std::string& aText, TimePoint aNow)
{
  const json body = json::parse(aText, nullptr, false);
  if (!body.is_object()) {
    return Error{ ErrorKind::InvalidArgument, "malformed peer request", "" };
  }
  const auto id = Base64Decode(body.value("id", ""));
  const auto payload = Base64Decode(body.value("body", ""));
  if (id.has_error() || payload.has_error()) {
    return Error{ ErrorKind::InvalidArgument, "malformed peer request", "" };
  }
  Call call;
  call.mRequestId = *id;
  call.mCallerChoseId = true;
  call.mAccount = body.value("account", "");
  call.mMethod = body.value("method", "");
  call.mBody = *payload;
  call.mProtobuf = body.value("protobuf", false);
  call.mStarted = aNow;
  call.mDeadline =
    aNow + Milliseconds(body.value("remaining_ms", int64_t{ 0 }));
  return call;
}

std::string EncodeOutcome(const Result<std::string>& aResult)
{
  json body;
  if (aResult.has_value()) {
    body["value"] = Base64Encode(*aResult);
  } else {
    body = { { "code", ErrorKindName(aResult.error().mKind) },
             { "message", aResult.error().mMessage },
             { "remedy", aResult.error().mRemedy },
             { "execution", ExecutionName(aResult.error().mExecution) } };
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

Awaitable<Result<std::string>> CallDispatcher::Run(Call aCall)
{
  const TrafficViewPtr view = mContext.mView;
  const auto route = view->mConfig->mRoutes.find(aCall.mMethod);
  if (route == view->mConfig->mRoutes.end()) {
    co_return NotFoundError(aCall.mMethod, "route");
  }
  const schema::Method* method = view->mConfig->mSchema->Find(aCall.mMethod);
  if (method == nullptr) {
    co_return NotFoundError(aCall.mMethod, "schema");
  }
  if (view->mQuarantined.contains(ComputeFingerprint(aCall))) {
    co_return Error{ ErrorKind::PermissionDenied,
                     "this request crashed upstreams and is quarantined",
                     "change the request, or ask an operator to look at it" };
  }
  // A request id generated by the daemon cannot be sent again, so no admission
  // record is needed.
  if (method->mIdempotent || !aCall.mCallerChoseId) {
    co_return co_await Dispatch(std::move(aCall), route->second, *method);
  }
  std::function<Awaitable<Result<std::string>>(Call)> operation =
    [this, chosen = route->second, found = *method](Call aAdmitted) {
      return Dispatch(std::move(aAdmitted), chosen, found);
    };
  co_return co_await RunAtMostOnce(std::move(aCall), std::move(operation));
}

Awaitable<Result<std::string>> CallDispatcher::RunAtMostOnce(
  Call aCall,
  std::function<Awaitable<Result<std::string>>(Call)> aOperation)
{
  RemoveExpired();
  const std::string key = OutcomeKey(aCall.mAccount, aCall.mRequestId);
  const uint64_t fingerprint = ComputeFingerprint(aCall);
  OutcomePtr& entry = mOutcomes[key];
  if (entry && entry->mRecord.mFingerprint != fingerprint) {
    co_return RequestIdReusedError();
  }
  const bool start = !entry || FinishedWithoutRunning(*entry);
  if (!entry) {
    entry = std::make_shared<Outcome>();
    entry->mRecord.mDaemon = mContext.mView->mSelf.mAddress;
    entry->mRecord.mIncarnation = mContext.mView->mSelf.mIncarnation;
    entry->mRecord.mNonce = SecureHex(8);
    entry->mRecord.mFingerprint = fingerprint;
  }
  const OutcomePtr outcome = entry;
  const TimePoint deadline = aCall.mDeadline;
  if (start) {
    outcome->mDone = false;
    aCall.mUpstreamDeadline = mContext.mClock() + kAdmittedRequestTimeout;
    // Continues after the caller has given up, so that the caller can send the
    // request again and get the answer.
    asio::co_spawn(
      mContext.mExecutor,
      RunAndFinish(std::move(aCall), std::move(aOperation), outcome),
      LogFailure("run_and_finish"));
  }
  co_return co_await AwaitOutcome(outcome, deadline);
}

Awaitable<void> CallDispatcher::RunAndFinish(
  Call aCall,
  std::function<Awaitable<Result<std::string>>(Call)> aOperation,
  OutcomePtr aOutcome)
{
  ++mRunningCount;
  const std::string key = OutcomeKey(aCall.mAccount, aCall.mRequestId);
  auto result =
    co_await RunAdmitted(std::move(aCall), std::move(aOperation), aOutcome);
  Finish(aOutcome, std::move(result));
  if (aOutcome->mRetain) {
    mFinishedOrder.push_back(key);
  } else {
    mOutcomes.erase(key);
  }
  --mRunningCount;
}

Awaitable<Result<std::string>> CallDispatcher::RunAdmitted(
  Call aCall,
  std::function<Awaitable<Result<std::string>>(Call)> aOperation,
  OutcomePtr aOutcome)
{
  if (!aOutcome->mAdmitted) {
    AdmissionKey key{ aCall.mAccount, aCall.mRequestId };
    const auto admission =
      co_await mContext.mControl.mAdmit(std::move(key), aOutcome->mRecord);
    if (admission.has_error()) {
      co_return admission.error();
    }
    if (admission->mOutcome == AdmissionOutcome::Undecided) {
      aOutcome->mRetain = true;
      co_return AdmissionUndecidedError();
    }
    if (admission->mOutcome == AdmissionOutcome::Duplicate) {
      aOutcome->mRetain = false;
      if (admission->mRecord.mFingerprint != aOutcome->mRecord.mFingerprint) {
        co_return RequestIdReusedError();
      }
      co_return co_await AskOwner(aCall, admission->mRecord);
    }
    aOutcome->mAdmitted = true;
    aOutcome->mRetain = true;
  }
  if (mContext.mClock() >= aCall.mDeadline) {
    co_return Error{ ErrorKind::DeadlineExceeded,
                     "the deadline passed before the request was admitted",
                     "send it again with the same request id" };
  }
  co_return co_await aOperation(aCall);
}

bool CallDispatcher::HasOutcomeRecord(const Call& aCall) const
{
  return mOutcomes.contains(OutcomeKey(aCall.mAccount, aCall.mRequestId));
}

bool CallDispatcher::FinishedWithoutRunning(const Outcome& aOutcome)
{
  return aOutcome.mDone && aOutcome.mResult.has_error() &&
         aOutcome.mResult.error().mExecution == Execution::NotRun;
}

Awaitable<Result<std::string>> CallDispatcher::AwaitOutcome(OutcomePtr aOutcome,
                                                            TimePoint aDeadline)
{
  if (!aOutcome->mDone) {
    auto timer =
      std::make_shared<asio::steady_timer>(mContext.mExecutor, aDeadline);
    aOutcome->mWaiters.push_back(timer);
    boost::system::error_code ignored;
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (!aOutcome->mDone) {
    co_return Error{ ErrorKind::OutcomeUnknown,
                     "an earlier copy of this request is still running",
                     "send it again with the same request id to get its answer",
                     Execution::Unknown };
  }
  co_return aOutcome->mResult;
}

Awaitable<Result<std::string>> CallDispatcher::AskOwner(Call aCall,
                                                        AdmissionRecord aRecord)
{
  if (aRecord.mDaemon == mContext.mView->mSelf.mAddress) {
    co_return OutcomeLostError(); // Lost in a restart, or expired.
  }
  PeerRequest request;
  request.mKind = "answer";
  request.mBody = EncodeCall(aCall, mContext.mClock());
  const auto reply = co_await mContext.mControl.mAskPeer(
    aRecord.mDaemon, request, aCall.mDeadline);
  LogEvent("forward_duplicate")
    .Field("request_id", aCall.mRequestId)
    .Field("owner", aRecord.mDaemon)
    .Field("found", reply.has_value() && reply->mFound)
    .Write();
  if (reply.has_error() || !reply->mFound) {
    co_return OutcomeLostError();
  }
  co_return DecodeOutcome(reply->mBody);
}

void CallDispatcher::Finish(const OutcomePtr& aOutcome,
                            Result<std::string> aResult)
{
  aOutcome->mDone = true;
  aOutcome->mResult = std::move(aResult);
  aOutcome->mFinished = mContext.mClock();
  for (const auto& waiter : aOutcome->mWaiters) {
    waiter->cancel();
  }
  aOutcome->mWaiters.clear();
}

void CallDispatcher::RemoveExpired()
{
  while (!mFinishedOrder.empty()) {
    const auto oldest = mOutcomes.find(mFinishedOrder.front());
    if (oldest != mOutcomes.end() && !oldest->second->mDone) {
      return; // Runs again after it was refused without running.
    }
    if (oldest != mOutcomes.end() &&
        mContext.mClock() - oldest->second->mFinished < kOutcomeRetention) {
      return;
    }
    if (oldest != mOutcomes.end()) {
      mOutcomes.erase(oldest);
    }
    mFinishedOrder.pop_front();
  }
}

/// Selects a replica. Retries of suspected requests avoid each other's replicas
/// if possible.
Result<SelectedReplica> CallDispatcher::SelectReplicaForAttempt(
  const v1::Upstream& aUpstream,
  const std::set<std::string>& aAvoid,
  bool aIsSuspect,
  const std::string& aRequestId)
{
  if (aIsSuspect && !mContext.mSuspectReplicas.empty()) {
    std::set<std::string> avoid = aAvoid;
    avoid.insert(mContext.mSuspectReplicas.begin(),
                 mContext.mSuspectReplicas.end());
    auto replica = SelectReplica(mContext, aUpstream, avoid, aRequestId);
    if (replica.has_value()) {
      return replica;
    }
  }
  return SelectReplica(mContext, aUpstream, aAvoid, aRequestId);
}

Awaitable<Result<std::string>> CallDispatcher::Dispatch(Call aCall,
                                                        v1::Route aRoute,
                                                        schema::Method aMethod)
{
  const TrafficViewPtr view = mContext.mView;
  const auto upstream = view->mConfig->mUpstreams.find(aRoute.upstream());
  if (upstream == view->mConfig->mUpstreams.end()) {
    co_return NotFoundError(aCall.mMethod, "upstream");
  }
  const auto encoding =
    aCall.mProtobuf ? schema::Encoding::Protobuf : schema::Encoding::Json;
  const auto body =
    view->mConfig->mSchema->ToJson(aMethod.mRequestType, aCall.mBody, encoding);
  if (body.has_error()) {
    co_return body.error();
  }
  const auto limiter = FindOrCreateLimiter(mContext, upstream->second);
  SlotRequest slotRequest{ RequestClassOf(aRoute),
                           aCall.mAccount,
                           AccountWeight(mContext, aCall.mAccount),
                           1.0,
                           aCall.mDeadline };
  const auto permit = co_await limiter->Acquire(std::move(slotRequest));
  if (permit.has_error()) {
    co_return permit.error();
  }
  Call attemptCall = aCall;
  attemptCall.mDeadline = std::max(aCall.mDeadline, aCall.mUpstreamDeadline);
  std::set<std::string> avoid;
  Result<std::string> result = std::string();
  // Stays true even if a later attempt is refused without running.
  bool mayHaveRun = false;
  const uint64_t fingerprint = ComputeFingerprint(aCall);
  unsigned brokenAttempts = 0;
  UpstreamState& state = FindOrCreateUpstreamState(mContext, aRoute.upstream());
  state.mRetryBudget.OnRequest();
  state.mHedgeBudget.OnRequest();
  const bool mayHedge =
    aMethod.mIdempotent &&
    RequestClassOf(aRoute) == policy::RequestClass::Urgent &&
    upstream->second.kind() != v1::Upstream::KIND_ENGINE;
  while (brokenAttempts < kMaxBrokenAttempts) {
    if (brokenAttempts > 0 &&
        mContext.mView->mQuarantined.contains(fingerprint)) {
      break;
    }
    // The first retry after a refusal without running adds no load to the
    // upstreams and needs no retry budget.
    const bool needsBudget = mayHaveRun || avoid.size() > 1;
    if (!avoid.empty() && needsBudget && !state.mRetryBudget.TryTake()) {
      break;
    }
    auto replica = SelectReplicaForAttempt(
      upstream->second, avoid, brokenAttempts > 0, aCall.mRequestId);
    if (replica.has_error()) {
      result = avoid.empty() ? Result<std::string>(replica.error()) : result;
      break;
    }
    const std::string address = replica->Address();
    avoid.insert(address);
    const SuspectReplicaMark mark(mContext, brokenAttempts > 0, address);
    const TimePoint sent = mContext.mClock();
    uint32_t tokens = 0;
    const auto delay = state.mHedgeDelay.Delay();
    if (mayHedge && delay && brokenAttempts == 0) {
      const auto request = std::make_shared<const HedgedRequest>(
        HedgedRequest{ attemptCall, view->mConfig, &upstream->second, *body });
      const auto first = std::make_shared<SelectedReplica>(std::move(*replica));
      result = co_await RunHedgedAttempt(request, first, *delay);
    } else {
      result = co_await RunObservedAttempt(attemptCall,
                                           upstream->second,
                                           *body,
                                           aMethod.mIdempotent,
                                           address,
                                           tokens);
    }
    TrafficReport report;
    report.mAccount = aCall.mAccount;
    report.mTokens = tokens;
    report.mUpstreamMilliseconds = static_cast<uint64_t>(
      std::chrono::duration_cast<Milliseconds>(mContext.mClock() - sent)
        .count());
    if (result.has_value()) {
      mContext.mControl.mReport(report);
      ReportCompletion(mContext, fingerprint);
      break;
    }
    mayHaveRun = mayHaveRun || result.error().mExecution != Execution::NotRun;
    if (result.error().mKind == ErrorKind::OutcomeUnknown ||
        result.error().mKind == ErrorKind::DataLoss) {
      ++brokenAttempts;
      // A request that received part of its answer is suspected only after a
      // second break, because the request that crashes an upstream has usually
      // received nothing.
      if (tokens == 0 || brokenAttempts > 1) {
        asio::co_spawn(mContext.mExecutor,
                       ReportBrokenConnection(mContext, fingerprint, address),
                       LogFailure("report_broken_connection"));
      }
    }
    if (mAttemptLog.Allow(mContext.mClock())) {
      LogEvent("attempt_failed", LogLevel::Warning)
        .Field("request_id", aCall.mRequestId)
        .Field("replica", address)
        .Field("error", FormatError(result.error()))
        .Field("suppressed", mAttemptLog.ResetSuppressedCount())
        .Write();
    }
    if (!MayRetry(result.error(), aMethod.mIdempotent) ||
        mContext.mClock() >= aCall.mDeadline) {
      break;
    }
  }
  if (brokenAttempts > 0 && result.has_error() &&
      mContext.mCrashEvidence.IsSuspicious(fingerprint)) {
    asio::steady_timer timer(mContext.mExecutor, kCrashPropagationDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (result.has_error()) {
    Error error = result.error();
    if (mayHaveRun && error.mExecution == Execution::NotRun) {
      error.mExecution = Execution::Unknown;
    }
    co_return error;
  }
  co_return view->mConfig->mSchema->FromJson(
    aMethod.mResponseType, *result, encoding);
}

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
    Error error = hedge->mResult->error();
    if (error.mExecution == Execution::NotRun) {
      error.mExecution = Execution::Unknown;
    }
    co_return error;
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
  if (aUpstream.kind() == v1::Upstream::KIND_ENGINE) {
    co_return co_await CallEngine(aCall, aUpstream, aJson, aReplica, aTokens);
  }
  co_return co_await CallService(aCall, aJson, aIdempotent, aReplica);
}

Awaitable<Result<std::string>> CallDispatcher::CallService(
  const Call& aCall,
  const std::string& aJson,
  bool aIdempotent,
  const std::string& aReplica)
{
  const auto endpoint = http::ParseEndpoint(aReplica);
  if (endpoint.has_error()) {
    co_return endpoint.error();
  }
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
    co_await mContext.mClient->Call(*endpoint, std::move(request), options);
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
  const std::string& aReplica,
  uint32_t& aTokens)
{
  const auto endpoint = http::ParseEndpoint(aReplica);
  if (endpoint.has_error()) {
    co_return endpoint.error();
  }
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
    *mContext.mClient, *endpoint, request, aCall.mDeadline, completion, [] {
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

} // namespace agatetide::daemon
