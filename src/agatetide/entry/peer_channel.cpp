#include "agatetide/entry/peer_channel.hpp"

#include "agatetide/base/task.hpp"
#include "agatetide/coordination/store_messages.hpp"

namespace agatetide::entry {

using namespace coordination;

namespace {

/// Version of the messages between daemons. Builds without the header have 1.
constexpr int kProtocolVersion = 2;
constexpr const char* kVersionHeader = "agatetide-peer-version";
/// Load reports of replicas, request::EncodeLoads(). Builds without it ignore
/// it.
constexpr const char* kLoadsHeader = "agatetide-loads";
/// Leaves most of the 16 KiB of a header to others.
constexpr size_t kMaxLoadsBytes = 2048;
constexpr const char* kWatchTarget = "/watch";
constexpr const char* kStoreTarget = "/store";
constexpr const char* kSubmitTarget = "/step";
constexpr const char* kRecoverTarget = "/recover";
/// Replies to a submitted step.
constexpr std::string_view kAccepted = "accepted";
constexpr std::string_view kRefused = "refused";
constexpr std::string_view kUnknown = "unknown";
constexpr std::string_view kContentType = "application/octet-stream";
constexpr unsigned kOk = 200;
constexpr size_t kMaxLoggedTargetBytes = 80;
/// Above what hosts accept from callers, since requests of callers are passed
/// on.
constexpr size_t kMaxBodyBytes = size_t{ 64 } << 20U;
/// Daemons of one availability zone answer within milliseconds.
constexpr std::chrono::milliseconds kConnectTimeout{ 300 };
/// A silent connection to another daemon is noticed within about the sum of
/// these times, also while it waits for an answer.
constexpr std::chrono::milliseconds kAcknowledgementTimeout{ 800 };
constexpr std::chrono::seconds kKeepAliveInterval{ 1 };

/// Names the versions of both daemons in an error about a message that one of
/// them cannot read.
Error WithVersions(Error aError, const std::vector<http::Header>& aPeerHeaders)
{
  const std::string_view peer = http::FindHeader(aPeerHeaders, kVersionHeader);
  aError.mMessage += " (this daemon has version " +
                     std::to_string(kProtocolVersion) +
                     " of the messages between daemons, the other one " +
                     std::string(peer.empty() ? "1" : peer) + ")";
  return aError;
}

http::Response MakePeerError(const Error& aError, const http::Request& aRequest)
{
  return http::MakeErrorResponse(WithVersions(aError, aRequest.mHeaders), {});
}

std::string_view OutcomeText(steps::SubmitOutcome aOutcome)
{
  switch (aOutcome) {
    case steps::SubmitOutcome::Accepted:
      return kAccepted;
    case steps::SubmitOutcome::Refused:
      return kRefused;
    case steps::SubmitOutcome::Unknown:
      break;
  }
  return kUnknown;
}

} // namespace

PeerChannel::PeerChannel(std::unique_ptr<http::Client> aClient,
                         PeerHandlers aHandlers)
  : mClient(std::move(aClient))
  , mHandlers(std::move(aHandlers))
{
}

Result<std::unique_ptr<PeerChannel>> PeerChannel::Create(
  boost::asio::any_io_executor aExecutor,
  const PeerListener& aListener,
  PeerHandlers aHandlers,
  http::ResponseLimits aResponses,
  std::shared_ptr<http::ConnectionMemory> aConnections)
{
  http::ClientOptions client;
  client.mConnectTimeout = kConnectTimeout;
  client.mAcknowledgementTimeout = kAcknowledgementTimeout;
  client.mKeepAliveInterval = kKeepAliveInterval;
  client.mResponses = std::move(aResponses);
  std::unique_ptr<PeerChannel> channel(new PeerChannel(
    http::Client::Create(aExecutor, client), std::move(aHandlers)));
  if (aListener.mEndpoint.mPort == 0) {
    return channel;
  }
  http::ServerOptions options;
  options.mAddress = aListener.mEndpoint.mAddress;
  options.mPort = aListener.mEndpoint.mPort;
  options.mMaxConnections = aListener.mMaxConnections;
  options.mMaxBodyBytes = kMaxBodyBytes;
  options.mFromHosts = true;
  if (aConnections) {
    options.mBodyBudget = aConnections->Parts().mLargeBodies;
    options.mMemory = std::move(aConnections);
  }
  auto server =
    http::Server::Create(std::move(aExecutor),
                         options,
                         [self = channel.get()](http::Request aRequest) {
                           return self->Handle(std::move(aRequest));
                         });
  if (server.has_error()) {
    return server.error();
  }
  channel->mServer = std::move(*server);
  return channel;
}

void PeerChannel::AddLoads(std::vector<http::Header>& aHeaders) const
{
  if (!mHandlers.mExportLoads) {
    return;
  }
  std::string loads = mHandlers.mExportLoads(kMaxLoadsBytes);
  if (!loads.empty()) {
    aHeaders.push_back({ kLoadsHeader, std::move(loads) });
  }
}

void PeerChannel::ImportLoads(const std::vector<http::Header>& aHeaders,
                              std::string_view aSender) const
{
  const std::string_view loads = http::FindHeader(aHeaders, kLoadsHeader);
  if (mHandlers.mImportLoads && !loads.empty()) {
    mHandlers.mImportLoads(loads, aSender);
  }
}

Awaitable<http::Response> PeerChannel::Handle(http::Request aRequest)
{
  ImportLoads(aRequest.mHeaders, aRequest.mRemoteAddress);
  if (aRequest.mTarget == kRelayTarget) {
    // RelayClient does not read load reports.
    co_return co_await Dispatch(std::move(aRequest));
  }
  http::Response response = co_await Dispatch(std::move(aRequest));
  AddLoads(response.mHeaders);
  co_return response;
}

Awaitable<http::Response> PeerChannel::Dispatch(http::Request aRequest)
{
  if (aRequest.mTarget == kStoreTarget) {
    return HandleStore(std::move(aRequest));
  }
  if (aRequest.mTarget == kSubmitTarget) {
    return HandleSubmit(std::move(aRequest));
  }
  if (aRequest.mTarget == kRelayTarget) {
    return HandleRelay(std::move(aRequest));
  }
  if (aRequest.mTarget == kWatchTarget) {
    return HandleWatch(std::move(aRequest));
  }
  if (aRequest.mTarget == kRecoverTarget) {
    return HandleRecover(std::move(aRequest));
  }
  return RefuseUnknown(std::move(aRequest));
}

/// A message of a later build.
Awaitable<http::Response> PeerChannel::RefuseUnknown(http::Request aRequest)
{
  const Error unknown{ ErrorKind::NotFound,
                       "this daemon does not know messages to " +
                         aRequest.mTarget.substr(0, kMaxLoggedTargetBytes),
                       "ask another daemon" };
  co_return MakePeerError(unknown, aRequest);
}

Awaitable<http::Response> PeerChannel::HandleRelay(http::Request aRequest)
{
  co_return mHandlers.mRelay(aRequest);
}

Awaitable<http::Response> PeerChannel::HandleSubmit(http::Request aRequest)
{
  auto submission = steps::DecodeSubmission(aRequest.mBody);
  if (submission.has_error()) {
    co_return MakePeerError(submission.error(), aRequest);
  }
  aRequest.DropBody();
  const auto outcome = co_await mHandlers.mSubmit(std::move(*submission));
  if (outcome.has_error()) {
    co_return http::MakeErrorResponse(outcome.error(), {});
  }
  co_return http::MakeResponse(
    kOk, kContentType, std::string(OutcomeText(*outcome)));
}

/// A request without an offer is one to look for all steps without an owner.
Awaitable<http::Response> PeerChannel::HandleRecover(http::Request aRequest)
{
  bool accepted = true;
  if (aRequest.mBody.empty()) {
    mHandlers.mRecover();
  } else {
    const auto offer = DecodeStepOffer(aRequest.mBody);
    if (offer.has_error()) {
      co_return MakePeerError(offer.error(), aRequest);
    }
    accepted = mHandlers.mAcceptOffer(*offer);
  }
  co_return http::MakeResponse(
    kOk, kContentType, std::string(accepted ? kAccepted : kRefused));
}

Awaitable<http::Response> PeerChannel::HandleWatch(http::Request aRequest)
{
  auto request = DecodePeerWatchRequest(aRequest.mBody);
  if (request.has_error()) {
    co_return MakePeerError(request.error(), aRequest);
  }
  const auto reply = co_await mHandlers.mWatch(std::move(*request));
  if (reply.has_error()) {
    co_return http::MakeErrorResponse(reply.error(), {});
  }
  co_return http::MakeResponse(kOk, kContentType, Encode(*reply));
}

Awaitable<http::Response> PeerChannel::HandleStore(http::Request aRequest)
{
  auto request = DecodeStoreRequest(aRequest.mBody);
  if (request.has_error()) {
    co_return MakePeerError(request.error(), aRequest);
  }
  const auto reply = co_await mHandlers.mStore(std::move(*request));
  if (reply.has_error()) {
    co_return http::MakeErrorResponse(reply.error(), {});
  }
  co_return http::MakeResponse(kOk, kContentType, Encode(*reply));
}

Awaitable<Result<std::string>> PeerChannel::Post(http::Endpoint aPeer,
                                                 std::string aTarget,
                                                 std::string aBody,
                                                 Milliseconds aTimeout)
{
  http::Request request;
  request.mTarget = std::move(aTarget);
  request.mBody = std::move(aBody);
  request.mHeaders.push_back({ "content-type", std::string(kContentType) });
  request.mHeaders.push_back(
    { kVersionHeader, std::to_string(kProtocolVersion) });
  AddLoads(request.mHeaders);
  const std::string peerAddress = aPeer.mAddress;
  http::CallOptions options;
  options.mDeadline = std::chrono::steady_clock::now() + aTimeout;
  auto call =
    mClient->Call(std::move(aPeer), std::move(request), std::move(options));
  auto answer = co_await FailureAsError("peer_call", std::move(call));
  if (answer.has_error()) {
    co_return answer.error();
  }
  ImportLoads(answer->mHeaders, peerAddress);
  if (answer->mStatus != kOk) {
    co_return http::ParseErrorResponse(*answer);
  }
  co_return answer->mBody.Release();
}

Awaitable<Result<PeerWatchReply>> PeerChannel::Watch(http::Endpoint aPeer,
                                                     PeerWatchRequest aRequest,
                                                     Milliseconds aTimeout)
{
  const auto bytes =
    co_await Post(std::move(aPeer), kWatchTarget, Encode(aRequest), aTimeout);
  if (bytes.has_error()) {
    co_return bytes.error();
  }
  co_return DecodePeerWatchReply(*bytes);
}

Awaitable<Result<StoreReply>> PeerChannel::CallStore(http::Endpoint aPeer,
                                                     StoreRequest aRequest,
                                                     Milliseconds aTimeout)
{
  const auto bytes =
    co_await Post(std::move(aPeer), kStoreTarget, Encode(aRequest), aTimeout);
  if (bytes.has_error()) {
    co_return bytes.error();
  }
  auto reply = DecodeStoreReply(*bytes);
  if (reply.has_error()) {
    Error malformed = reply.error();
    malformed.mExecution = Execution::Unknown;
    co_return malformed;
  }
  co_return reply;
}

Awaitable<Result<bool>> PeerChannel::RequestRecovery(http::Endpoint aPeer,
                                                     Milliseconds aTimeout)
{
  const auto answer =
    co_await Post(std::move(aPeer), kRecoverTarget, {}, aTimeout);
  if (answer.has_error()) {
    co_return answer.error();
  }
  co_return true;
}

Awaitable<Result<bool>> PeerChannel::OfferStep(http::Endpoint aPeer,
                                               StepOffer aOffer,
                                               Milliseconds aTimeout)
{
  const auto answer =
    co_await Post(std::move(aPeer), kRecoverTarget, Encode(aOffer), aTimeout);
  if (answer.has_error()) {
    co_return answer.error();
  }
  co_return *answer == kAccepted;
}

Awaitable<Result<steps::SubmitOutcome>> PeerChannel::Submit(
  http::Endpoint aPeer,
  steps::StepSubmission aSubmission,
  Milliseconds aTimeout)
{
  const auto answer = co_await Post(std::move(aPeer),
                                    kSubmitTarget,
                                    steps::EncodeSubmission(aSubmission),
                                    aTimeout);
  if (answer.has_error()) {
    co_return answer.error();
  }
  if (*answer == kAccepted) {
    co_return steps::SubmitOutcome::Accepted;
  }
  co_return *answer == kRefused ? steps::SubmitOutcome::Refused
                                : steps::SubmitOutcome::Unknown;
}

} // namespace agatetide::entry
