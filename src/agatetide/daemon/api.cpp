#include "agatetide/daemon/api.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/daemon/call_codec.hpp"
#include "agatetide/daemon/keys.hpp"
#include "agatetide/policy/host_ranking.hpp"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <charconv>

namespace agatetide::daemon {

using coordination::MemberState;
namespace pb = google::protobuf;

namespace {

constexpr std::string_view kAdminPrefix = "agatetide.v1.Admin/";
constexpr std::string_view kRolloutPrefix = "agatetide.v1.Rollout/";
constexpr std::string_view kLocateMethod = "agatetide.v1.Directory/Locate";
constexpr Milliseconds kDefaultTimeout{ 30000 };
constexpr Milliseconds kMaxTimeout{ 3600000 };
/// Request ids are used in store keys and log fields.
constexpr size_t kMaxRequestIdBytes = 128;
constexpr std::string_view kBootstrapAccount = "bootstrap";

/// Decodes the body of a call of a built-in service.
template<class Message>
Result<Message> Decode(const Call& aCall)
{
  Message message;
  if (aCall.mProtobuf) {
    if (message.ParseFromString(aCall.mBody)) {
      return message;
    }
    return Error{ ErrorKind::InvalidArgument,
                  "malformed protobuf body",
                  "send " + message.GetTypeName() };
  }
  const auto parsed = pb::util::JsonStringToMessage(
    aCall.mBody.empty() ? "{}" : aCall.mBody, &message);
  if (!parsed.ok()) {
    return Error{ ErrorKind::InvalidArgument,
                  "the body is not valid: " + std::string(parsed.message()),
                  "send " + message.GetTypeName() + " as JSON" };
  }
  return message;
}

/// Encodes the response of a built-in service as the call requested.
template<class Message>
Result<std::string> Encode(const Call& aCall, const Result<Message>& aMessage)
{
  if (aMessage.has_error()) {
    return aMessage.error();
  }
  if (aCall.mProtobuf) {
    return aMessage->SerializeAsString();
  }
  std::string json;
  pb::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!pb::util::MessageToJsonString(*aMessage, &json, options).ok()) {
    return Error{ ErrorKind::Internal,
                  "cannot encode the response as JSON",
                  "send the request as protobuf" };
  }
  return json;
}

Milliseconds RequestedTimeout(const http::Request& aRequest)
{
  const std::string_view text =
    http::FindHeader(aRequest.mHeaders, "connect-timeout-ms");
  int64_t value = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || parsed.ec != std::errc() || value <= 0) {
    return kDefaultTimeout;
  }
  return std::min(Milliseconds(value), kMaxTimeout);
}

/// Returns the request id that the caller chose; empty if there is none. Only
/// visible ASCII characters are accepted, since ids are used in store keys.
Result<std::string> CallerRequestId(const http::Request& aRequest)
{
  const std::string_view id =
    http::FindHeader(aRequest.mHeaders, "x-request-id");
  const bool printable = std::all_of(id.begin(), id.end(), [](char aChar) {
    return aChar > ' ' && aChar < 127;
  });
  if (id.size() > kMaxRequestIdBytes || !printable) {
    return Error{ ErrorKind::InvalidArgument,
                  "the header x-request-id is too long or not printable",
                  "send at most 128 visible ASCII characters" };
  }
  return std::string(id);
}

Error StaleConfig(const TrafficView& aView)
{
  std::string others;
  for (const auto& member : aView.mMembers) {
    if (member.mInfo.mRegion != aView.mSelf.mRegion &&
        !member.mInfo.mCallerAddress.empty()) {
      others += (others.empty() ? "" : ", ") + member.mInfo.mCallerAddress;
    }
  }
  return { ErrorKind::Unavailable,
           "this host cannot confirm that its configuration is current",
           others.empty() ? "use another host"
                          : "use a host of another region: " + others };
}

} // namespace

Awaitable<http::Response> Api::Handle(http::Request aRequest)
{
  if (aRequest.mTarget == "/healthz") {
    co_return http::MakeResponse(200, "text/plain", "ok\n");
  }
  if (aRequest.mTarget == "/readyz") {
    co_return Readiness();
  }
  if (aRequest.mTarget == "/metrics") {
    co_return http::MakeResponse(200,
                                 "text/plain; version=0.0.4",
                                 mMetrics.Text(mContext, mServerState()));
  }
  auto call = ParseCall(aRequest);
  if (call.has_error()) {
    co_return Refuse(aRequest, call.error());
  }
  const Call described{
    call->mRequestId, call->mCallerChoseId, call->mAccount, call->mMethod
  };
  const bool protobuf = call->mProtobuf;
  const TimePoint started = call->mStarted;
  const auto result = co_await RunCall(std::move(*call));
  const auto took =
    std::chrono::duration<double, std::milli>(mContext.mClock() - started);
  const Error failure = result.has_error() ? result.error() : Error();
  mMetrics.CountRequest(MethodClass(mContext, described.mMethod),
                        result.has_error() ? &failure : nullptr,
                        took);
  LogEvent("call")
    .Field("request_id", described.mRequestId)
    .Field("method", described.mMethod)
    .Field("account", described.mAccount)
    .Field("took_ms", took.count())
    .Field("result",
           result.has_error() ? ErrorKindName(result.error().mKind) : "ok")
    .Field("reason", result.has_error() ? result.error().mMessage : "")
    .Write();
  if (result.has_error()) {
    co_return http::MakeErrorResponse(result.error(), described.mRequestId);
  }
  auto response = http::MakeResponse(
    200, protobuf ? "application/proto" : "application/json", *result);
  response.mHeaders.push_back({ "x-request-id", described.mRequestId });
  co_return response;
}

http::Response Api::Refuse(const http::Request& aRequest, const Error& aError)
{
  const std::string_view givenId =
    http::FindHeader(aRequest.mHeaders, "x-request-id");
  mMetrics.CountRequest("refused", &aError, std::chrono::milliseconds(0));
  if (mRefusalLog.Allow(mContext.mClock())) {
    LogEvent("refused", LogLevel::Warning)
      .Field("request_id", givenId.substr(0, kMaxRequestIdBytes))
      .Field("method", std::string_view(aRequest.mTarget).substr(0, 200))
      .Field("peer", aRequest.mRemoteAddress)
      .Field("error", FormatError(aError))
      .Field("suppressed", mRefusalLog.ResetSuppressedCount())
      .Write();
  }
  return http::MakeErrorResponse(aError, givenId);
}

http::Response Api::Readiness() const
{
  const TrafficView& view = *mContext.mView;
  if (view.mDraining) {
    return http::MakeResponse(503, "text/plain", "draining\n");
  }
  if (mContext.mClock() > view.mFreshUntil) {
    return http::MakeResponse(503, "text/plain", "configuration not trusted\n");
  }
  return http::MakeResponse(200, "text/plain", "ready\n");
}

Result<Call> Api::ParseCall(const http::Request& aRequest)
{
  if (aRequest.mMethod != "POST" || aRequest.mTarget.size() < 2) {
    return Error{ ErrorKind::NotFound,
                  aRequest.mMethod + " " + aRequest.mTarget + " is not a call",
                  "send POST /package.Service/Method" };
  }
  Call call;
  call.mStarted = mContext.mClock();
  call.mDeadline = call.mStarted + RequestedTimeout(aRequest);
  call.mMethod = aRequest.mTarget.substr(1);
  auto account = Authorize(aRequest, call.mMethod);
  if (account.has_error()) {
    return account.error();
  }
  call.mAccount = std::move(*account);
  auto requestId = CallerRequestId(aRequest);
  if (requestId.has_error()) {
    return requestId.error();
  }
  call.mRequestId = std::move(*requestId);
  call.mCallerChoseId = !call.mRequestId.empty();
  if (!call.mCallerChoseId) {
    call.mRequestId = SecureHex(8);
  }
  const std::string_view type =
    http::FindHeader(aRequest.mHeaders, "content-type");
  call.mProtobuf = type == "application/proto";
  call.mBody = aRequest.mBody;
  return call;
}

/// Returns the client account of a request; empty if the method needs no key
/// and none is given.
Result<std::string> Api::Authorize(const http::Request& aRequest,
                                   const std::string& aMethod) const
{
  const TrafficView& view = *mContext.mView;
  const std::string_view key =
    BearerKey(http::FindHeader(aRequest.mHeaders, "authorization"));
  const bool admin = aMethod.starts_with(kAdminPrefix);
  if (admin && MayAdminister(aRequest, "")) {
    return std::string(kBootstrapAccount);
  }
  const auto route = view.mConfig->mRoutes.find(aMethod);
  const bool open =
    route != view.mConfig->mRoutes.end() && route->second.open();
  if (open && key.empty()) {
    return std::string();
  }
  // Callers must be able to find hosts before any account has been configured.
  if (aMethod == kLocateMethod && key.empty()) {
    return std::string();
  }
  if (mContext.mClock() > view.mFreshUntil) {
    return StaleConfig(view);
  }
  auto account = Authenticate(*view.mConfig, key);
  if (account.has_error()) {
    return account;
  }
  if (admin && !MayAdminister(aRequest, *account)) {
    return Error{ ErrorKind::PermissionDenied,
                  "client account " + *account + " may not administer",
                  "use a key of an operator account" };
  }
  return account;
}

/// Whether the account, or without one the key, may call the Admin service.
/// Operator accounts may; the bootstrap key may until an operator account has a
/// valid key.
bool Api::MayAdminister(const http::Request& aRequest,
                        const std::string& aAccount) const
{
  const ConfigSnapshot& config = *mContext.mView->mConfig;
  if (!aAccount.empty()) {
    const auto account = config.mAccounts.find(aAccount);
    return account != config.mAccounts.end() && account->second.operator_role();
  }
  const std::string_view key =
    BearerKey(http::FindHeader(aRequest.mHeaders, "authorization"));
  const std::string& expected = mContext.mSettings.mBootstrapKeySha256;
  if (expected.empty() || key.empty() ||
      !ConstantTimeEqual(HexEncode(Sha256(key)), expected)) {
    return false;
  }
  return std::none_of(
    config.mKeys.begin(), config.mKeys.end(), [&](const auto& aItem) {
      const auto account = config.mAccounts.find(aItem.second.account());
      return !aItem.second.withdrawn() && account != config.mAccounts.end() &&
             account->second.operator_role();
    });
}

Awaitable<Result<std::string>> Api::RunCall(Call aCall)
{
  if (aCall.mMethod == kLocateMethod) {
    co_return Locate(aCall);
  }
  if (aCall.mMethod.starts_with(kRolloutPrefix)) {
    co_return co_await RunRolloutCall(std::move(aCall));
  }
  if (aCall.mMethod.starts_with(kAdminPrefix)) {
    co_return co_await RunAdminCall(std::move(aCall));
  }
  co_return co_await mCalls.Run(std::move(aCall));
}

Result<std::string> Api::Locate(const Call& aCall) const
{
  const auto request = Decode<v1::LocateRequest>(aCall);
  if (request.has_error()) {
    return request.error();
  }
  const TrafficView& view = *mContext.mView;
  std::vector<policy::HostCandidate> hosts;
  const auto add = [&](const coordination::MemberUpdate& aInfo) {
    if (!aInfo.mCallerAddress.empty()) {
      hosts.push_back({ aInfo.mCallerAddress,
                        aInfo.mAvailabilityZone,
                        aInfo.mRegion,
                        aInfo.mState == MemberState::Alive,
                        aInfo.mDraining });
    }
  };
  add(view.mSelf);
  for (const auto& member : view.mMembers) {
    add(member.mInfo);
  }
  v1::LocateResponse response;
  for (const size_t index : policy::RankHosts(
         hosts,
         { aCall.mAccount, request->availability_zone(), request->region() })) {
    v1::LocatedHost* located = response.add_hosts();
    located->set_address(hosts[index].mAddress);
    located->set_availability_zone(hosts[index].mAvailabilityZone);
    located->set_region(hosts[index].mRegion);
  }
  response.set_lifetime_ms(
    static_cast<uint32_t>(mContext.mSettings.mAddressLifetime.count()));
  LogEvent("locate")
    .Field("request_id", aCall.mRequestId)
    .Field("account", aCall.mAccount)
    .Field("availability_zone", request->availability_zone())
    .Field("first", response.hosts().empty() ? "" : response.hosts(0).address())
    .Field("hosts", response.hosts_size())
    .Field("reason", "zone, then region, then account shard")
    .Write();
  return Encode(aCall, Result<v1::LocateResponse>(std::move(response)));
}

Awaitable<Result<std::string>> Api::RunRolloutCall(Call aCall)
{
  if (aCall.mMethod.ends_with("/StartStep")) {
    std::function<Awaitable<Result<std::string>>(Call)> start =
      [this](Call aAdmitted) -> Awaitable<Result<std::string>> {
      const auto request = Decode<v1::StartStepRequest>(aAdmitted);
      if (request.has_error()) {
        co_return request.error();
      }
      co_return Encode(aAdmitted, mRollout.Start(aAdmitted, *request));
    };
    if (!aCall.mCallerChoseId) {
      co_return co_await start(std::move(aCall));
    }
    co_return co_await mCalls.RunAtMostOnce(std::move(aCall), start);
  }
  if (aCall.mMethod.ends_with("/Collect")) {
    auto request = Decode<v1::CollectRequest>(aCall);
    if (request.has_error()) {
      co_return request.error();
    }
    const auto response = co_await mRollout.Collect(aCall, std::move(*request));
    co_return Encode(aCall, response);
  }
  if (aCall.mMethod.ends_with("/CancelStep")) {
    auto request = Decode<v1::CancelStepRequest>(aCall);
    if (request.has_error()) {
      co_return request.error();
    }
    const auto response = co_await mRollout.Cancel(aCall, std::move(*request));
    co_return Encode(aCall, response);
  }
  co_return Error{ ErrorKind::NotFound,
                   aCall.mMethod + " does not exist",
                   "see the API reference" };
}

namespace {

/// Decodes the request, runs an asynchronous operation and encodes its
/// response.
template<class Request, class Operation>
Awaitable<Result<std::string>> RunAsync(const Call& aCall, Operation aOperation)
{
  auto request = Decode<Request>(aCall);
  if (request.has_error()) {
    co_return request.error();
  }
  const auto response = co_await aOperation(std::move(*request));
  co_return Encode(aCall, response);
}

/// Like RunAsync(), for a synchronous operation.
template<class Request, class Operation>
Result<std::string> RunSync(const Call& aCall, Operation aOperation)
{
  const auto request = Decode<Request>(aCall);
  if (request.has_error()) {
    return request.error();
  }
  return Encode(aCall, aOperation(*request));
}

} // namespace

Awaitable<Result<std::string>> Api::RunAdminCall(Call aCall)
{
  const std::string name = aCall.mMethod.substr(kAdminPrefix.size());
  if (name == "Put") {
    co_return co_await RunAsync<v1::PutRequest>(
      aCall, [&](auto aRequest) { return mAdmin.Put(aRequest); });
  }
  if (name == "Delete") {
    co_return co_await RunAsync<v1::DeleteRequest>(
      aCall, [&](auto aRequest) { return mAdmin.Delete(aRequest); });
  }
  if (name == "GrantKey") {
    co_return co_await RunAsync<v1::GrantKeyRequest>(
      aCall, [&](auto aRequest) { return mAdmin.GrantKey(aRequest); });
  }
  if (name == "WithdrawKey") {
    co_return co_await RunAsync<v1::WithdrawKeyRequest>(
      aCall, [&](auto aRequest) { return mAdmin.WithdrawKey(aRequest); });
  }
  if (name == "Usage") {
    co_return co_await RunAsync<v1::UsageRequest>(
      aCall, [&](auto aRequest) { return mAdmin.Usage(aRequest); });
  }
  if (name == "List") {
    co_return RunSync<v1::ListRequest>(
      aCall, [&](const auto& aRequest) { return mAdmin.List(aRequest); });
  }
  if (name == "CheckSchema") {
    co_return RunSync<v1::CheckSchemaRequest>(aCall, [&](const auto& aRequest) {
      return mAdmin.CheckSchema(aRequest);
    });
  }
  if (name == "Status") {
    co_return Encode(aCall, Result<v1::StatusResponse>(mAdmin.Status()));
  }
  co_return Error{ ErrorKind::NotFound,
                   aCall.mMethod + " does not exist",
                   "see the API reference" };
}

Awaitable<coordination::PeerReply> Api::HandlePeerRequest(
  coordination::PeerRequest aRequest)
{
  if (aRequest.mKind == "collect" || aRequest.mKind == "cancel_step") {
    co_return co_await mRollout.AnswerPeer(std::move(aRequest));
  }
  if (aRequest.mKind == "answer") {
    co_return co_await AnswerRetry(std::move(aRequest));
  }
  co_return coordination::PeerReply{};
}

/// Handles a retry of a request that this daemon admitted and another daemon
/// received. It is treated like a retry to this daemon, so that the request
/// runs now if nothing has been sent upstream before.
Awaitable<coordination::PeerReply> Api::AnswerRetry(
  coordination::PeerRequest aRequest)
{
  auto call = DecodeCall(aRequest.mBody, mContext.mClock());
  if (call.has_error() || !mCalls.HasOutcomeRecord(*call)) {
    co_return coordination::PeerReply{};
  }
  const auto result = co_await RunCall(std::move(*call));
  coordination::PeerReply reply;
  reply.mFound = true;
  reply.mBody = EncodeOutcome(result);
  co_return reply;
}

} // namespace agatetide::daemon
