#include "agatetide/entry/fleet_watch.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/event_log.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace agatetide::entry {

namespace asio = boost::asio;
using namespace coordination;

namespace {

/// Longest wait that a peer may request.
constexpr std::chrono::seconds kMaxWait{ 30 };

/// Position of a host in the order of hosts, which is the same for all daemons.
std::pair<uint64_t, std::string_view> Rank(std::string_view aHost)
{
  return { Hash64(aHost), aHost };
}

Error NotFresh(std::string_view aPrefix)
{
  return { ErrorKind::Unavailable,
           "this daemon does not know the latest changes under " +
             std::string(aPrefix),
           "watch the store" };
}

} // namespace

FleetWatch::FleetWatch(FleetWatchOptions aOptions,
                       asio::any_io_executor aExecutor,
                       Clock aClock,
                       std::string aSelf,
                       const fleet::FleetView& aView,
                       WatchCall aStore,
                       PeerWatchCall aPeerWatch)
  : mOptions(aOptions)
  , mExecutor(std::move(aExecutor))
  , mClock(std::move(aClock))
  , mSelf(std::move(aSelf))
  , mView(aView)
  , mStore(std::move(aStore))
  , mPeerWatch(std::move(aPeerWatch))
{
}

/// The host with the lowest rank among those that can be asked, in the own
/// availability zone or in all; std::nullopt if that is this one.
std::optional<std::string> FleetWatch::FirstPeer(bool aSameZoneOnly) const
{
  std::optional<std::string> first;
  for (const auto& [name, host] : mView.Hosts()) {
    const auto backoff = mPeerBackoffs.find(name);
    const bool otherZone = host.mAvailabilityZone != mView.AvailabilityZone();
    if ((aSameZoneOnly && otherZone) || host.mDraining ||
        host.mPeerAddress.empty() ||
        Rank(name) >= Rank(first ? *first : mSelf) ||
        (backoff != mPeerBackoffs.end() && mClock() < backoff->second.mUntil)) {
      continue;
    }
    first = name;
  }
  return first;
}

std::optional<std::string> FleetWatch::Peer() const
{
  auto peer = FirstPeer(true);
  return peer ? peer : FirstPeer(false);
}

void FleetWatch::BackOff(const std::string& aPeer,
                         const std::string& aPrefix,
                         const Error& aError)
{
  Backoff& backoff = mPeerBackoffs[aPeer];
  backoff.mDelay = std::clamp<Duration>(
    2 * backoff.mDelay, mOptions.mPeerBackoff, mOptions.mMaxPeerBackoff);
  backoff.mUntil = mClock() + backoff.mDelay;
  LogEvent("peer_avoided")
    .Field("host", aPeer)
    .Field("prefix", aPrefix)
    .Field("error", FormatError(aError))
    .Write();
}

Awaitable<Result<WatchReply>> FleetWatch::Watch(WatchRequest aRequest)
{
  const auto peer = Peer();
  SetSource(aRequest.mPrefix, peer.value_or("store"));
  if (!peer) {
    auto reply = co_await WatchAtStore(aRequest);
    Record(aRequest, reply);
    co_return reply;
  }
  const TimePoint startedAt = mClock();
  auto reply = co_await WatchAtPeer(*peer, aRequest);
  if (reply.has_value()) {
    mPeerBackoffs.erase(*peer);
    Record(aRequest, reply);
    co_return reply;
  }
  const Error error = reply.error();
  const bool timedOut = mClock() - startedAt > mOptions.mPeerMargin;
  const bool storeDown =
    mLastStoreFailure != TimePoint{} &&
    mClock() - mLastStoreFailure < mOptions.mStoreRetryDelay;
  if (!storeDown) {
    aRequest.mMaxWait = std::min(aRequest.mMaxWait, mOptions.mFallbackMaxWait);
    reply = co_await WatchAtStore(aRequest);
  }
  Record(aRequest, reply);
  if (timedOut || reply.has_value()) {
    BackOff(*peer, aRequest.mPrefix, error);
  }
  co_return reply;
}

void FleetWatch::SetSource(const std::string& aPrefix, std::string aSource)
{
  std::string& known = mPrefixes[aPrefix].mSource;
  if (known != aSource) {
    LogEvent("watch_source")
      .Field("prefix", aPrefix)
      .Field("source", aSource)
      .Field("before", known)
      .Write();
    known = std::move(aSource);
  }
}

Awaitable<Result<WatchReply>> FleetWatch::WatchAtStore(WatchRequest aRequest)
{
  const TimePoint sent = mClock();
  auto reply = co_await mStore(aRequest);
  mLastStoreFailure = reply.has_error() ? mClock() : TimePoint{};
  if (reply.has_value()) {
    reply->mFreshAsOf =
      WatchFreshAsOf(*reply, sent, mClock(), aRequest.mMaxWait);
  }
  co_return reply;
}

Awaitable<Result<WatchReply>> FleetWatch::WatchAtPeer(std::string aPeer,
                                                      WatchRequest aRequest)
{
  const auto host = mView.Hosts().find(aPeer);
  const auto endpoint = http::ParseEndpoint(host->second.mPeerAddress);
  if (endpoint.has_error()) {
    co_return endpoint.error();
  }
  const TimePoint sent = mClock();
  PeerWatchRequest peerRequest{ aRequest.mPrefix,
                                aRequest.mAfterRevision,
                                aRequest.mMaxWait.count() };
  const bool sameZone =
    host->second.mAvailabilityZone == mView.AvailabilityZone();
  auto answer = co_await mPeerWatch(*endpoint,
                                    std::move(peerRequest),
                                    aRequest.mMaxWait + (sameZone ? 2 : 1) *
                                                          mOptions.mPeerMargin);
  if (answer.has_error()) {
    co_return answer.error();
  }
  WatchReply reply;
  reply.mChanges = std::move(answer->mChanges);
  reply.mRevision = answer->mRevision;
  // The request arrived after it was sent, so the peer replied at this time at
  // the earliest.
  const TimePoint repliedAt = sent + Milliseconds(answer->mWaitedMs);
  reply.mFreshAsOf =
    std::min(repliedAt, mClock()) - Milliseconds(answer->mStalenessMs);
  co_return reply;
}

void FleetWatch::Record(const WatchRequest& aRequest,
                        const Result<WatchReply>& aReply)
{
  Prefix& prefix = mPrefixes[aRequest.mPrefix];
  prefix.mWatchFailed = aReply.has_error();
  if (aReply.has_value()) {
    prefix.mHistory.Record(aRequest.mAfterRevision, *aReply);
  }
  for (asio::steady_timer* waiter : prefix.mWaiters) {
    waiter->cancel();
  }
}

/// Data is only known to be fresh as of the start of a watch, so its staleness
/// reaches the length of two watches before the next one ends.
Duration FleetWatch::MaxStaleness(const PeerWatchRequest& aRequest) const
{
  return 2 * Milliseconds(aRequest.mWaitMs) + mOptions.mPeerMargin;
}

bool FleetWatch::CanAnswer(const Prefix& aPrefix,
                           const PeerWatchRequest& aRequest) const
{
  return !aPrefix.mWatchFailed &&
         aPrefix.mHistory.Covers(aRequest.mAfterRevision) &&
         mClock() - aPrefix.mHistory.FreshAsOf() < MaxStaleness(aRequest);
}

Awaitable<Result<PeerWatchReply>> FleetWatch::ServePeer(
  PeerWatchRequest aRequest)
{
  const TimePoint receivedAt = mClock();
  const auto found = mPrefixes.find(aRequest.mPrefix);
  if (found == mPrefixes.end() || aRequest.mWaitMs < 0 ||
      Milliseconds(aRequest.mWaitMs) > kMaxWait) {
    co_return NotFresh(aRequest.mPrefix);
  }
  Prefix& prefix = found->second;
  const TimePoint previous = prefix.mHistory.FreshAsOf();
  const TimePoint staleAt = previous + MaxStaleness(aRequest);
  asio::steady_timer timer(mExecutor);
  const auto waiter = prefix.mWaiters.insert(prefix.mWaiters.end(), &timer);
  while (CanAnswer(prefix, aRequest) &&
         prefix.mHistory.FreshAsOf() == previous &&
         prefix.mHistory.ChangesAfter(aRequest.mAfterRevision).empty()) {
    timer.expires_after(staleAt - mClock());
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  prefix.mWaiters.erase(waiter);
  if (!CanAnswer(prefix, aRequest)) {
    co_return NotFresh(aRequest.mPrefix);
  }
  const TimePoint now = mClock();
  PeerWatchReply reply;
  reply.mChanges = prefix.mHistory.ChangesAfter(aRequest.mAfterRevision);
  reply.mRevision = prefix.mHistory.Revision();
  reply.mWaitedMs = std::chrono::floor<Milliseconds>(now - receivedAt).count();
  reply.mStalenessMs =
    std::chrono::ceil<Milliseconds>(now - prefix.mHistory.FreshAsOf()).count();
  co_return reply;
}

} // namespace agatetide::entry
