#include "agatetide/entry/store_router.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/event_log.hpp"

#include <algorithm>
#include <utility>

namespace agatetide::entry {

using namespace coordination;

namespace {

/// Whether a call may be repeated although it may have been executed. A lease
/// that is renewed twice is renewed. Its time is short, so its renewal does not
/// wait for the next call to take another route.
bool IsRepeatable(const StoreRequest& aRequest)
{
  return std::holds_alternative<LeaseKeepAliveRequest>(aRequest);
}

/// Prefix of all keys of steps.
constexpr std::string_view kStepPrefix = "agatetide/step";

/// Whether the call or its reply may hold the items of steps, which may not be
/// sent to regions that their route and account do not allow.
bool IsOfSteps(const StoreRequest& aRequest)
{
  if (const auto* range = std::get_if<RangeRequest>(&aRequest)) {
    return range->mKey.starts_with(kStepPrefix);
  }
  const auto* transaction = std::get_if<TransactionRequest>(&aRequest);
  return transaction != nullptr &&
         std::any_of(transaction->mPuts.begin(),
                     transaction->mPuts.end(),
                     [](const StorePut& aPut) {
                       return aPut.mKey.starts_with(kStepPrefix);
                     });
}

} // namespace

StoreRouter::StoreRouter(StoreRouterOptions aOptions,
                         Clock aClock,
                         std::string aSelf,
                         const fleet::FleetView& aView,
                         StoreCall aStore,
                         PeerStoreCall aCallViaPeer)
  : mOptions(aOptions)
  , mClock(std::move(aClock))
  , mSelf(std::move(aSelf))
  , mView(aView)
  , mStore(std::move(aStore))
  , mCallViaPeer(std::move(aCallViaPeer))
{
}

/// The daemons to ask, in this order: one of the own availability zone, then
/// those of other zones, since the store often refuses neighboring hosts
/// together. Each daemon has its own order, so that the refused ones don't all
/// ask the same daemon.
std::vector<std::string> StoreRouter::Peers() const
{
  std::vector<std::pair<uint64_t, const fleet::EntryHost*>> ranks;
  for (const auto& [name, host] : mView.Hosts()) {
    const auto backoff = mPeerBackoffUntil.find(name);
    if (name == mSelf || host.mDraining || host.mPeerAddress.empty() ||
        (backoff != mPeerBackoffUntil.end() && mClock() < backoff->second)) {
      continue;
    }
    ranks.emplace_back(Hash64(name, Hash64(mSelf)), &host);
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<std::string> peers;
  for (const bool local : { true, false }) {
    for (const auto& [hash, host] : ranks) {
      const bool sameZone = host->mAvailabilityZone == mView.AvailabilityZone();
      const size_t limit = local ? 1 : mOptions.mMaxPeers;
      if (sameZone == local && peers.size() < limit) {
        peers.push_back(host->mName);
      }
    }
  }
  return peers;
}

void StoreRouter::PreferPeers()
{
  mAllPeersBackoff = {};
  if (mClock() < mDirectBackoffUntil) {
    return;
  }
  mDirectBackoff = std::clamp<Duration>(
    2 * mDirectBackoff, mOptions.mDirectBackoff, mOptions.mMaxDirectBackoff);
  mDirectBackoffUntil = mClock() + mDirectBackoff;
}

void StoreRouter::ResetBackoffs()
{
  mDirectBackoff = {};
  mDirectBackoffUntil = {};
  mAllPeersBackoff = {};
  mAllPeersBackoffUntil = {};
}

Awaitable<std::optional<Result<StoreReply>>> StoreRouter::CallPeers(
  StoreRequest aRequest)
{
  const bool ownRegionOnly =
    mView.Config() && mView.Config()->RestrictsRegions() && IsOfSteps(aRequest);
  const std::vector<std::string> peers = Peers();
  for (const std::string& name : peers) {
    const auto host = mView.Hosts().find(name);
    const bool allowed =
      !ownRegionOnly ||
      (host != mView.Hosts().end() && host->second.mRegion == mView.Region());
    const auto endpoint = mView.PeerEndpoint(name);
    if (!allowed || endpoint.has_error()) {
      continue;
    }
    auto reply =
      co_await mCallViaPeer(*endpoint, aRequest, mOptions.mPeerTimeout);
    if (reply.has_value()) {
      PreferPeers();
      co_return std::optional(std::move(reply));
    }
    mPeerBackoffUntil[name] = mClock() + mOptions.mPeerBackoff;
    if (reply.error().mExecution != Execution::NotRun) {
      co_return std::optional(std::move(reply));
    }
  }
  if (!peers.empty()) {
    mAllPeersBackoff = std::clamp<Duration>(2 * mAllPeersBackoff,
                                            mOptions.mAllPeersBackoff,
                                            mOptions.mMaxAllPeersBackoff);
    mAllPeersBackoffUntil = mClock() + mAllPeersBackoff;
  }
  co_return std::nullopt;
}

Awaitable<Result<StoreReply>> StoreRouter::Call(StoreRequest aRequest)
{
  const bool viaPeersFirst = mClock() < mDirectBackoffUntil;
  if (viaPeersFirst) {
    auto reply = co_await CallPeers(aRequest);
    if (reply) {
      co_return std::move(*reply);
    }
  }
  auto direct = co_await mStore(aRequest);
  if (direct.has_value()) {
    ResetBackoffs();
    co_return direct;
  }
  if (viaPeersFirst || mClock() < mAllPeersBackoffUntil) {
    co_return direct;
  }
  LogEvent("store_call_failed", LogLevel::Warning)
    .Field("error", FormatError(direct.error()))
    .Field("next", "another daemon")
    .Write();
  if (direct.error().mExecution != Execution::NotRun) {
    // This call may have been executed. The next ones take another route.
    PreferPeers();
    if (!IsRepeatable(aRequest)) {
      co_return direct;
    }
  }
  auto reply = co_await CallPeers(aRequest);
  if (reply) {
    co_return std::move(*reply);
  }
  co_return direct;
}

Awaitable<Result<StoreReply>> StoreRouter::ServePeer(StoreRequest aRequest)
{
  return mStore(std::move(aRequest));
}

} // namespace agatetide::entry
