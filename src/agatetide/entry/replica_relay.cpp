#include "agatetide/entry/replica_relay.hpp"

#include "agatetide/base/task.hpp"
#include "agatetide/http/syntax.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace agatetide::entry {

namespace asio = boost::asio;

using request::ReplicaReport;
using request::StreamEvent;
using request::StreamOptions;
using request::UpstreamRequest;
using request::UpstreamResponse;

namespace {

constexpr unsigned kOk = 200;
constexpr std::chrono::milliseconds kConnectTimeout{ 250 };
/// A lost connection to another daemon is noticed within about this time.
constexpr std::chrono::milliseconds kAcknowledgementTimeout{ 800 };
constexpr std::chrono::seconds kKeepAliveInterval{ 1 };
/// Time that the messages of the other daemon may take on their way.
constexpr std::chrono::milliseconds kIdleMargin{ 500 };
/// What a frame holds besides the body of a response.
constexpr size_t kMaxFrameOverheadBytes = size_t{ 64 } << 10U;

Error Declined(std::string aReason)
{
  return { ErrorKind::Unavailable,
           std::move(aReason),
           "ask another daemon",
           Execution::NotRun };
}

Error NoMemoryForMessage()
{
  return { ErrorKind::Unavailable,
           "messages to other daemons take the memory of this host",
           "retry later",
           Execution::NotRun };
}

Error ReplicaDraining()
{
  return { ErrorKind::Unavailable,
           "the replica is draining",
           "use another replica",
           Execution::NotRun };
}

Error ReplicaEvacuated()
{
  return { ErrorKind::Unavailable,
           "the availability zone of the replica was evacuated",
           "use another replica",
           Execution::NotRun };
}

Error IncompleteRelay()
{
  return { ErrorKind::DataLoss,
           "the other daemon sent no result of the request",
           "the request may have run; repeat it only if it is idempotent",
           Execution::Unknown };
}

} // namespace

RelayClient::RelayClient(const asio::any_io_executor& aExecutor,
                         http::ResponseLimits aResponses)
  : mResponses(std::move(aResponses))
{
  http::ClientOptions options;
  options.mConnectTimeout = kConnectTimeout;
  options.mAcknowledgementTimeout = kAcknowledgementTimeout;
  options.mKeepAliveInterval = kKeepAliveInterval;
  // The other daemon answers when its replica does.
  options.mDeadlineShowsSilence = false;
  options.mResponses.mBudget = mResponses.mBudget;
  mClient = http::Client::Create(aExecutor, std::move(options));
}

Awaitable<RelayOutcome> RelayClient::Send(
  http::Endpoint aPeer,
  http::Endpoint aReplica,
  UpstreamRequest aRequest,
  const StreamOptions* aStream,
  std::shared_ptr<http::CancelHandle> aCancel)
{
  const TimePoint sentAt = std::chrono::steady_clock::now();
  http::CallOptions options;
  options.mDeadline = aRequest.mDeadline;
  options.mCancel = std::move(aCancel);
  options.mFreshConnection = aRequest.mFreshConnection;
  if (aStream != nullptr && aStream->mIdleTimeout.count() > 0) {
    options.mIdleTimeout = aStream->mIdleTimeout + kIdleMargin;
  }
  std::optional<Error> declined;
  std::optional<Result<UpstreamResponse>> result;
  const auto onReport = aRequest.mOnReport;
  RelayFrameReader reader(mResponses.mMaxBodyBytes + kMaxFrameOverheadBytes,
                          mResponses.mBudget);
  const RelayFrameReader::Sink onFrame = [&](RelayFrame aFrame) {
    if (aFrame.mReport && onReport) {
      aFrame.mReport->mSentAt = sentAt;
      onReport(*aFrame.mReport);
    }
    if (aFrame.mDeclined) {
      declined = std::move(aFrame.mDeclined);
    }
    if (aFrame.mResult) {
      result = std::move(aFrame.mResult);
    }
    return !aFrame.mEvent ||
           (aStream != nullptr && aStream->mSink(std::move(*aFrame.mEvent)));
  };
  const http::BodySink sink = [&](std::string_view aBytes) {
    return reader.Feed(aBytes, onFrame) ? http::BodySinkResult::Progress
                                        : http::BodySinkResult::Cancel;
  };
  RelayRequest relay;
  relay.mReplica = std::move(aReplica);
  relay.mRemainingTime =
    std::chrono::duration_cast<Milliseconds>(aRequest.mDeadline - sentAt);
  relay.mIsStream = aStream != nullptr;
  relay.mIdleTimeout =
    aStream != nullptr ? aStream->mIdleTimeout : Milliseconds(0);
  relay.mRequest = std::move(aRequest);
  MemoryReservation memory(mResponses.mBudget);
  if (!memory.Grow(EncodedSizeLimit(relay))) {
    co_return RelayOutcome{ false, NoMemoryForMessage() };
  }
  http::Request message;
  message.mTarget = std::string(kRelayTarget);
  message.mBody = SharedBytes(Encode(relay), std::move(memory));
  // The message has what the other daemon needs.
  relay.mRequest.mBody.Reset();
  const auto response = co_await mClient->Stream(
    std::move(aPeer), std::move(message), std::move(options), sink);
  if (response.has_error()) {
    const bool taken = response.error().mExecution != Execution::NotRun;
    co_return RelayOutcome{ taken, response.error() };
  }
  if (response->mStatus != kOk) {
    co_return RelayOutcome{ false, http::ParseErrorResponse(*response) };
  }
  if (declined) {
    co_return RelayOutcome{ false, *declined };
  }
  // The other daemon may be of a build that passes on what is no answer.
  const bool isAnswer =
    result && (result->has_error() || http::IsFinalStatus((*result)->mStatus));
  co_return RelayOutcome{ true,
                          isAnswer ? std::move(*result) : IncompleteRelay() };
}

/// An attempt for another daemon. Frames wait in mPending until they are
/// written; canceling the timer wakes the writer.
struct RelayServer::Attempt
{
  Attempt(const asio::any_io_executor& aExecutor, RelayRequest aRequest)
    : mRequest(std::move(aRequest))
    , mWake(aExecutor, TimePoint::max())
  {
  }

  void Push(const RelayFrame& aFrame)
  {
    mPending += EncodeFrame(aFrame);
    mWake.cancel();
  }

  RelayRequest mRequest;
  asio::steady_timer mWake;
  std::string mPending;
  bool mFinished = false;
  bool mAbandoned = false;
  bool mHasEvents = false;
  std::shared_ptr<http::CancelHandle> mCancel =
    std::make_shared<http::CancelHandle>();
};

RelayServer::RelayServer(RelayServerOptions aOptions,
                         asio::any_io_executor aExecutor,
                         const fleet::FleetView& aView,
                         request::ReachabilityMonitor& aMonitor,
                         request::UpstreamCall aCall,
                         request::UpstreamStreamCall aStream)
  : mOptions(aOptions)
  , mExecutor(std::move(aExecutor))
  , mView(aView)
  , mMonitor(aMonitor)
  , mCall(std::move(aCall))
  , mStream(std::move(aStream))
{
}

std::optional<Error> RelayServer::DeclineReason(
  const RelayRequest& aRequest) const
{
  const TimePoint now = std::chrono::steady_clock::now();
  if (now >= mEnd ||
      (!aRequest.mIsStream && aRequest.mRemainingTime > mEnd - now)) {
    return Declined("this host is about to stop");
  }
  if (mMonitor.IsCutOff()) {
    return Declined("this host reaches no replica either");
  }
  const bool full =
    mRunning >= mOptions.mMaxRunning ||
    (aRequest.mIsStream && mRunningStreams >= mOptions.mMaxStreams);
  if (full) {
    return Declined("this host sends enough requests of other hosts");
  }
  return std::nullopt;
}

std::optional<Error> RelayServer::RefusalReason(
  const RelayRequest& aRequest) const
{
  const fleet::Replica* replica =
    mView.FindReplica(aRequest.mRequest.mReplicaId);
  if (replica != nullptr && replica->mDraining) {
    return ReplicaDraining();
  }
  if (replica != nullptr && mView.IsEvacuated(replica->mAvailabilityZone)) {
    return ReplicaEvacuated();
  }
  return std::nullopt;
}

http::Response RelayServer::Handle(const http::Request& aRequest)
{
  auto decoded = DecodeRelayRequest(aRequest.mBody);
  if (decoded.has_error()) {
    return http::MakeErrorResponse(decoded.error(), {});
  }
  const auto attempt =
    std::make_shared<Attempt>(mExecutor, std::move(*decoded));
  RelayFrame answer;
  answer.mDeclined = DeclineReason(attempt->mRequest);
  if (!answer.mDeclined) {
    // The sender would get the same answer from each host, so it asks no other.
    if (auto refusal = RefusalReason(attempt->mRequest)) {
      answer.mResult = std::move(*refusal);
    }
  }
  if (answer.mDeclined || answer.mResult) {
    return http::MakeResponse(
      kOk, "application/octet-stream", EncodeFrame(answer));
  }
  const auto caller = aRequest.mCaller;
  http::Response response;
  response.mStream = [this, attempt, caller](
                       http::ChunkWriter aWriter) -> Awaitable<Result<bool>> {
    if (caller) {
      caller->OnDisconnect([attempt] {
        attempt->mAbandoned = true;
        (*attempt->mCancel)();
        attempt->mWake.cancel();
      });
    }
    asio::co_spawn(mExecutor, Run(attempt), LogFailure("relay_attempt"));
    Result<bool> written = true;
    while (written.has_value() && !attempt->mAbandoned &&
           !(attempt->mFinished && attempt->mPending.empty())) {
      if (attempt->mPending.empty()) {
        boost::system::error_code ignored;
        co_await attempt->mWake.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
        continue;
      }
      written = co_await aWriter(std::exchange(attempt->mPending, {}));
    }
    if (!attempt->mFinished) {
      attempt->mAbandoned = true;
      (*attempt->mCancel)();
    }
    co_return written;
  };
  return response;
}

Awaitable<Result<UpstreamResponse>> RelayServer::Send(
  std::shared_ptr<Attempt> aAttempt)
{
  const RelayRequest& relay = aAttempt->mRequest;
  UpstreamRequest request = relay.mRequest;
  request.mDeadline = std::chrono::steady_clock::now() + relay.mRemainingTime;
  request.mOnReport = [aAttempt](const ReplicaReport& aReport) {
    RelayFrame frame;
    frame.mReport = aReport;
    aAttempt->Push(frame);
  };
  if (!relay.mIsStream) {
    co_return co_await mCall(
      relay.mReplica, std::move(request), aAttempt->mCancel);
  }
  StreamOptions options;
  options.mCancel = aAttempt->mCancel;
  options.mIdleTimeout = relay.mIdleTimeout;
  options.mSink = [aAttempt](StreamEvent aEvent) {
    RelayFrame frame;
    frame.mEvent = std::move(aEvent);
    aAttempt->mHasEvents = true;
    aAttempt->Push(frame);
    return !aAttempt->mAbandoned;
  };
  co_return co_await mStream(
    relay.mReplica, std::move(request), std::move(options));
}

Awaitable<void> RelayServer::Run(std::shared_ptr<Attempt> aAttempt)
{
  const size_t streams = aAttempt->mRequest.mIsStream ? 1 : 0;
  ++mRunning;
  mRunningStreams += streams;
  RelayFrame last;
  auto result = co_await Send(aAttempt);
  // The daemon that asks should try another one if this host has lost its
  // paths, too.
  const bool notSent = result.has_error() && !aAttempt->mAbandoned &&
                       result.error().mKind != ErrorKind::Canceled &&
                       result.error().mExecution == Execution::NotRun;
  if (notSent && co_await mMonitor.CheckAfterFailure()) {
    last.mDeclined = Declined("this host reaches no replica either");
  } else {
    last.mResult = std::move(result);
  }
  --mRunning;
  mRunningStreams -= streams;
  aAttempt->mFinished = true;
  aAttempt->Push(last);
}

} // namespace agatetide::entry
