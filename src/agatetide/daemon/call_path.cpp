#include "agatetide/daemon/call_path.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/platform/engine.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace agatetide::daemon {

namespace asio = boost::asio;
using namespace coordination;
using nlohmann::json;

namespace {

constexpr std::chrono::minutes kOutcomeRetention{ 10 };
constexpr unsigned kMaxAttempts = 3;

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

Error OwnerGone()
{
  return { ErrorKind::OutcomeUnknown,
           "the daemon that admitted this request cannot tell its outcome",
           "check whether the request took effect before sending it with a new "
           "request id",
           Execution::Unknown };
}

Error DifferentRequest()
{
  return { ErrorKind::InvalidArgument,
           "the request id was used for a different request",
           "use a new request id for each request" };
}

/// Peer replies carry an outcome as JSON.
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

Result<std::string> DecodeOutcome(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return OwnerGone();
  }
  if (body.contains("value")) {
    return Base64Decode(body["value"].get_ref<const std::string&>());
  }
  return Error{ ErrorKindFromName(body.value("code", "")),
                body.value("message", ""),
                body.value("remedy", ""),
                ExecutionFromName(body.value("execution", "")) };
}

policy::RequestClass ClassOf(const v1::Route& aRoute)
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

} // namespace

uint64_t Fingerprint(const Call& aCall)
{
  return Hash64(aCall.mBody, Hash64(aCall.mMethod));
}

Awaitable<Result<std::string>> CallPath::Run(Call aCall)
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
  if (view->mQuarantined.contains(Fingerprint(aCall))) {
    co_return Error{ ErrorKind::PermissionDenied,
                     "this request crashed upstreams and is quarantined",
                     "change the request, or ask an operator to look at it" };
  }
  // An id that the daemon made up cannot come again, so no record is needed.
  if (method->mIdempotent || !aCall.mCallerId) {
    co_return co_await Dispatch(std::move(aCall), route->second, *method);
  }
  std::function<Awaitable<Result<std::string>>(Call)> operation =
    [this, chosen = route->second, found = *method](Call aAdmitted) {
      return Dispatch(std::move(aAdmitted), chosen, found);
    };
  co_return co_await RunOnce(std::move(aCall), std::move(operation));
}

Awaitable<Result<std::string>> CallPath::RunOnce(
  Call aCall,
  std::function<Awaitable<Result<std::string>>(Call)> aOperation)
{
  ForgetOld();
  const std::string key = OutcomeKey(aCall.mAccount, aCall.mRequestId);
  const uint64_t fingerprint = Fingerprint(aCall);
  if (const auto known = mOutcomes.find(key); known != mOutcomes.end()) {
    if (known->second->mFingerprint != fingerprint) {
      co_return DifferentRequest();
    }
    if (!NotRun(*known->second)) {
      co_return co_await AwaitOutcome(known->second, aCall.mDeadline);
    }
    // This daemon holds the admission record and knows that nothing was
    // sent, so it may run the request now.
    const OutcomePtr outcome = known->second;
    outcome->mDone = false;
    const Result<std::string> result = co_await aOperation(aCall);
    Finish(outcome, result);
    co_return result;
  }
  const auto outcome = std::make_shared<Outcome>();
  outcome->mFingerprint = fingerprint;
  mOutcomes[key] = outcome;
  AdmissionRecord record;
  record.mDaemon = mContext.mView->mSelf.mAddress;
  record.mIncarnation = mContext.mView->mSelf.mIncarnation;
  record.mNonce = SecureHex(8);
  record.mFingerprint = fingerprint;
  AdmissionKey admissionKey{ aCall.mAccount, aCall.mRequestId };
  const auto admission =
    co_await mContext.mControl.mAdmit(std::move(admissionKey), record);
  Result<std::string> result = OwnerGone();
  bool keep = false;
  if (admission.has_error()) {
    result = admission.error();
  } else if (admission->mOutcome == AdmissionOutcome::Admitted) {
    keep = true;
    result = co_await aOperation(aCall);
  } else if (admission->mRecord.mFingerprint != fingerprint) {
    result = DifferentRequest();
  } else {
    result = co_await AskOwner(aCall, admission->mRecord);
  }
  Finish(outcome, result);
  if (!keep) {
    mOutcomes.erase(key);
  } else {
    mFinishedOrder.push_back(key);
  }
  co_return result;
}

bool CallPath::NotRun(const Outcome& aOutcome)
{
  return aOutcome.mDone && aOutcome.mResult.has_error() &&
         aOutcome.mResult.error().mExecution == Execution::NotRun;
}

Awaitable<Result<std::string>> CallPath::AwaitOutcome(OutcomePtr aOutcome,
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
                     "an earlier copy of this request still runs",
                     "send it again with the same request id to get its answer",
                     Execution::Unknown };
  }
  co_return aOutcome->mResult;
}

Awaitable<Result<std::string>> CallPath::AskOwner(Call aCall,
                                                  AdmissionRecord aRecord)
{
  if (aRecord.mDaemon == mContext.mView->mSelf.mAddress) {
    co_return OwnerGone(); // An earlier incarnation, or a forgotten answer.
  }
  PeerRequest request;
  request.mKind = "answer";
  request.mKey = OutcomeKey(aCall.mAccount, aCall.mRequestId);
  const auto remaining = std::chrono::duration_cast<Milliseconds>(
    aCall.mDeadline - mContext.mClock());
  request.mVersion = remaining.count();
  const auto reply = co_await mContext.mControl.mAskPeer(
    aRecord.mDaemon, request, aCall.mDeadline);
  Event("forward_duplicate")
    .Field("request_id", aCall.mRequestId)
    .Field("owner", aRecord.mDaemon)
    .Field("found", reply.has_value() && reply->mFound)
    .Write();
  if (reply.has_error() || !reply->mFound) {
    co_return OwnerGone();
  }
  co_return DecodeOutcome(reply->mBody);
}

Awaitable<PeerReply> CallPath::AnswerFor(PeerRequest aRequest)
{
  const auto known = mOutcomes.find(aRequest.mKey);
  if (known == mOutcomes.end()) {
    co_return PeerReply{};
  }
  const TimePoint deadline =
    mContext.mClock() +
    Milliseconds(std::clamp<int64_t>(aRequest.mVersion, 0, 3600000));
  const auto result = co_await AwaitOutcome(known->second, deadline);
  co_return PeerReply{ true, 0, {}, EncodeOutcome(result) };
}

void CallPath::Finish(const OutcomePtr& aOutcome, Result<std::string> aResult)
{
  aOutcome->mDone = true;
  aOutcome->mResult = std::move(aResult);
  aOutcome->mFinished = mContext.mClock();
  for (const auto& waiter : aOutcome->mWaiters) {
    waiter->cancel();
  }
  aOutcome->mWaiters.clear();
}

void CallPath::ForgetOld()
{
  while (!mFinishedOrder.empty()) {
    const auto oldest = mOutcomes.find(mFinishedOrder.front());
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

Awaitable<Result<std::string>> CallPath::Dispatch(Call aCall,
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
  const auto gate = GateOf(mContext, upstream->second);
  GateRequest gateRequest{ ClassOf(aRoute),
                           aCall.mAccount,
                           AccountWeight(mContext, aCall.mAccount),
                           1.0,
                           aCall.mDeadline };
  const auto permit = co_await gate->Enter(std::move(gateRequest));
  if (permit.has_error()) {
    co_return permit.error();
  }
  std::set<std::string> avoid;
  Result<std::string> result = std::string();
  // Once an attempt may have run, no later refusal makes that untrue.
  bool mayHaveRun = false;
  for (unsigned attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto replica =
      UseReplica(mContext, upstream->second, avoid, aCall.mRequestId);
    if (replica.has_error()) {
      result = attempt == 0 ? Result<std::string>(replica.error()) : result;
      break;
    }
    avoid.insert(replica->Address());
    const TimePoint sent = mContext.mClock();
    uint32_t tokens = 0;
    result = co_await Attempt(aCall,
                              upstream->second,
                              *body,
                              aMethod.mIdempotent,
                              replica->Address(),
                              tokens);
    TrafficReport report;
    report.mAccount = aCall.mAccount;
    report.mTokens = tokens;
    report.mUpstreamMilliseconds = static_cast<uint64_t>(
      std::chrono::duration_cast<Milliseconds>(mContext.mClock() - sent)
        .count());
    if (result.has_value()) {
      mContext.mControl.mReport(report);
      break;
    }
    mayHaveRun = mayHaveRun || result.error().mExecution != Execution::NotRun;
    if (result.error().mKind == ErrorKind::OutcomeUnknown ||
        result.error().mKind == ErrorKind::DataLoss) {
      report.mKind = TrafficReport::Kind::UpstreamCrash;
      report.mFingerprint = Fingerprint(aCall);
      mContext.mControl.mReport(report);
    }
    if (mAttemptLog.Allow(mContext.mClock())) {
      Event("attempt_failed", LogLevel::Warning)
        .Field("request_id", aCall.mRequestId)
        .Field("replica", replica->Address())
        .Field("error", FormatError(result.error()))
        .Field("suppressed", mAttemptLog.TakeSuppressed())
        .Write();
    }
    if (!MayRetry(result.error(), aMethod.mIdempotent) ||
        mContext.mClock() >= aCall.mDeadline) {
      break;
    }
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

Awaitable<Result<std::string>> CallPath::Attempt(const Call& aCall,
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

Awaitable<Result<std::string>> CallPath::CallService(
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
      "the upstream answered another request",
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

Awaitable<Result<std::string>> CallPath::CallEngine(
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
    co_return Error{ ErrorKind::InvalidArgument,
                     "the body does not fit an engine",
                     "the schema must declare prompt as string and max_tokens "
                     "as uint32" };
  }
  platform::CompletionRequest request;
  request.mModel = aUpstream.model();
  request.mPrompt = body.value("prompt", "");
  request.mMaxTokens = body.value("max_tokens", 64U);
  request.mRequestId = aCall.mRequestId;
  platform::Completion completion;
  const auto done = co_await platform::Complete(
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
