#include "agatetide/entry/replica_router.hpp"

#include "agatetide/base/event_log.hpp"

#include <algorithm>
#include <utility>

namespace agatetide::entry {

using request::StreamOptions;
using request::UpstreamRequest;
using request::UpstreamResponse;

namespace {

bool IsCanceled(const std::shared_ptr<http::CancelHandle>& aCancel)
{
  return aCancel && aCancel->IsCanceled();
}

Error ReplicaEvacuated()
{
  return { ErrorKind::Unavailable,
           "the availability zone of the replica was evacuated",
           "use another replica",
           Execution::NotRun };
}

} // namespace

ReplicaRouter::ReplicaRouter(ReplicaRouterOptions aOptions,
                             Clock aClock,
                             Random aRandom,
                             std::string aSelf,
                             const fleet::FleetView& aView,
                             request::ReachabilityMonitor& aMonitor,
                             request::UpstreamCall aCall,
                             request::UpstreamStreamCall aStream,
                             PeerRelayCall aRelay)
  : mOptions(aOptions)
  , mClock(std::move(aClock))
  , mRandom(std::move(aRandom))
  , mSelf(std::move(aSelf))
  , mView(aView)
  , mMonitor(aMonitor)
  , mCall(std::move(aCall))
  , mStream(std::move(aStream))
  , mRelay(std::move(aRelay))
{
}

Awaitable<Result<UpstreamResponse>> ReplicaRouter::Call(
  http::Endpoint aReplica,
  UpstreamRequest aRequest,
  std::shared_ptr<http::CancelHandle> aCancel)
{
  return Send(
    std::move(aReplica), std::move(aRequest), nullptr, std::move(aCancel));
}

Awaitable<Result<UpstreamResponse>> ReplicaRouter::Stream(
  http::Endpoint aReplica,
  UpstreamRequest aRequest,
  StreamOptions aOptions)
{
  const auto cancel = aOptions.mCancel;
  co_return co_await Send(
    std::move(aReplica), std::move(aRequest), &aOptions, cancel);
}

/// Whether the zone of the replica was evacuated after it was chosen.
bool ReplicaRouter::IsEvacuated(const UpstreamRequest& aRequest) const
{
  const fleet::Replica* replica = mView.FindReplica(aRequest.mReplicaId);
  return replica != nullptr && mView.IsEvacuated(replica->mAvailabilityZone);
}

Awaitable<Result<UpstreamResponse>> ReplicaRouter::SendDirectly(
  http::Endpoint aReplica,
  UpstreamRequest aRequest,
  const StreamOptions* aStream,
  std::shared_ptr<http::CancelHandle> aCancel)
{
  if (aStream != nullptr) {
    return mStream(std::move(aReplica), std::move(aRequest), *aStream);
  }
  return mCall(std::move(aReplica), std::move(aRequest), std::move(aCancel));
}

Awaitable<Result<UpstreamResponse>> ReplicaRouter::Send(
  http::Endpoint aReplica,
  UpstreamRequest aRequest,
  const StreamOptions* aStream,
  std::shared_ptr<http::CancelHandle> aCancel)
{
  if (IsEvacuated(aRequest)) {
    co_return ReplicaEvacuated();
  }
  if (mMonitor.IsCutOff()) {
    auto relayed =
      co_await SendThroughPeers(aReplica, aRequest, aStream, aCancel);
    if (relayed) {
      co_return std::move(*relayed);
    }
    if (IsEvacuated(aRequest)) {
      co_return ReplicaEvacuated();
    }
    // Connections of before may live on. A new one could only fail, later.
    aRequest.mOpenConnectionOnly = true;
    co_return co_await SendDirectly(aReplica, aRequest, aStream, aCancel);
  }
  auto result = co_await SendDirectly(aReplica, aRequest, aStream, aCancel);
  if (result.has_value() || IsCanceled(aCancel) ||
      !request::MayBePathFailure(result.error())) {
    co_return result;
  }
  const bool cutOff = co_await mMonitor.CheckAfterFailure();
  if (!cutOff || IsCanceled(aCancel) ||
      result.error().mExecution != Execution::NotRun) {
    co_return result;
  }
  auto relayed =
    co_await SendThroughPeers(aReplica, aRequest, aStream, aCancel);
  co_return relayed ? std::move(*relayed) : std::move(result);
}

/// The daemons to ask, all that reach replicas as far as is known: those of
/// this region in random order, then the others; those that are about to stop
/// come last.
std::vector<std::string> ReplicaRouter::Peers(const UpstreamRequest& aRequest,
                                              bool aIsStream) const
{
  std::vector<std::tuple<bool, bool, uint64_t, std::string>> ranks;
  for (const auto& [name, host] : mView.Hosts()) {
    const auto backoff = mPeerBackoffUntil.find({ name, aIsStream });
    const bool allowed = !aRequest.mAllowedRegions ||
                         aRequest.mAllowedRegions->contains(host.mRegion);
    if (name == mSelf || host.mCutOff || !allowed ||
        host.mPeerAddress.empty() ||
        (backoff != mPeerBackoffUntil.end() && mClock() < backoff->second)) {
      continue;
    }
    const bool otherRegion = host.mRegion != mView.Region();
    ranks.emplace_back(host.mDraining, otherRegion, mRandom(), name);
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<std::string> peers;
  for (auto& [draining, otherRegion, order, name] : ranks) {
    if (peers.size() < mOptions.mMaxPeers) {
      peers.push_back(std::move(name));
    }
  }
  return peers;
}

/// std::nullopt if no daemon could send the attempt; it was certainly not run
/// then.
Awaitable<std::optional<Result<UpstreamResponse>>>
ReplicaRouter::SendThroughPeers(http::Endpoint aReplica,
                                UpstreamRequest aRequest,
                                const StreamOptions* aStream,
                                std::shared_ptr<http::CancelHandle> aCancel)
{
  const bool isStream = aStream != nullptr;
  for (const std::string& name : Peers(aRequest, isStream)) {
    const fleet::Replica* replica = mView.FindReplica(aRequest.mReplicaId);
    const bool draining = replica != nullptr && replica->mDraining;
    if (draining || IsEvacuated(aRequest) || IsCanceled(aCancel) ||
        mClock() >= aRequest.mDeadline) {
      break;
    }
    const auto endpoint = mView.PeerEndpoint(name);
    if (endpoint.has_error()) {
      continue;
    }
    auto outcome =
      co_await mRelay(*endpoint, aReplica, aRequest, aStream, aCancel);
    LogEvent("attempt_relayed", LogLevel::Debug)
      .Field("request_id", aRequest.mId)
      .Field("replica", aRequest.mReplicaId)
      .Field("host", name)
      .Field("taken", outcome.mTaken)
      .Write();
    if (outcome.mTaken) {
      co_return std::optional(std::move(outcome.mResult));
    }
    mPeerBackoffUntil[{ name, isStream }] = mClock() + mOptions.mPeerBackoff;
    if (mDeclineLog.Allow(mClock())) {
      LogEvent("relay_declined", LogLevel::Warning)
        .Field("request_id", aRequest.mId)
        .Field("host", name)
        .Field("error", FormatError(outcome.mResult.error()))
        .Field("suppressed", mDeclineLog.ResetSuppressedCount())
        .Write();
    }
  }
  co_return std::nullopt;
}

} // namespace agatetide::entry
