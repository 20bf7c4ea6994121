#include "agatetide/entry/store_router.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/event_log.hpp"
#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace agatetide::entry {

using namespace coordination;
namespace asio = boost::asio;

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

/// A call that takes two routes, until one of them has brought a reply.
struct StoreRouter::HedgedCall
{
  explicit HedgedCall(const asio::any_io_executor& aExecutor)
    : mFinished(aExecutor)
  {
  }

  bool IsDone() const
  {
    return mPendingRoutes == 0 || (mReply && mReply->has_value());
  }

  /// Takes the reply of a route; a later one counts if this is an error.
  void Finish(std::optional<Result<StoreReply>> aReply)
  {
    --mPendingRoutes;
    if (aReply && (!mReply || mReply->has_error())) {
      mReply = std::move(aReply);
    }
    mFinished.cancel();
  }

  unsigned mPendingRoutes = 0;
  std::optional<Result<StoreReply>> mReply;
  /// Canceled with each reply.
  asio::steady_timer mFinished;
};

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
/// ask the same daemon. Those that failed come last, the latest at the end, so
/// that all are asked by turns.
std::vector<std::string> StoreRouter::Peers() const
{
  struct Rank
  {
    TimePoint mBackoffUntil;
    uint64_t mHash = 0;
    const fleet::EntryHost* mHost = nullptr;
  };
  std::vector<Rank> ranks;
  for (const auto& [name, host] : mView.Hosts()) {
    const auto backoff = mPeerBackoffUntil.find(name);
    if (name == mSelf || host.mDraining || host.mPeerAddress.empty() ||
        (backoff != mPeerBackoffUntil.end() && mClock() < backoff->second)) {
      continue;
    }
    const bool hasFailed = backoff != mPeerBackoffUntil.end();
    ranks.push_back({ hasFailed ? backoff->second : TimePoint{},
                      Hash64(name, Hash64(mSelf)),
                      &host });
  }
  std::sort(
    ranks.begin(), ranks.end(), [](const Rank& aLeft, const Rank& aRight) {
      return std::tie(aLeft.mBackoffUntil, aLeft.mHash) <
             std::tie(aRight.mBackoffUntil, aRight.mHash);
    });
  std::vector<std::string> peers;
  for (const bool local : { true, false }) {
    for (const Rank& rank : ranks) {
      const bool sameZone =
        rank.mHost->mAvailabilityZone == mView.AvailabilityZone();
      const size_t limit = local ? 1 : mOptions.mMaxPeers;
      if (sameZone == local && peers.size() < limit) {
        peers.push_back(rank.mHost->mName);
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
      mPeerBackoffUntil.erase(name);
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

Awaitable<void> StoreRouter::CallDirectly(std::shared_ptr<HedgedCall> aCall,
                                          StoreRequest aRequest)
{
  auto reply = co_await mStore(std::move(aRequest));
  if (reply.has_value()) {
    ResetBackoffs();
  } else {
    LogEvent("store_call_failed", LogLevel::Warning)
      .Field("error", FormatError(reply.error()))
      .Field("next", "another daemon")
      .Write();
  }
  aCall->Finish(std::move(reply));
}

Awaitable<void> StoreRouter::CallThroughPeers(std::shared_ptr<HedgedCall> aCall,
                                              StoreRequest aRequest)
{
  auto reply = co_await CallPeers(std::move(aRequest));
  const bool isFirst = !aCall->IsDone();
  if (isFirst && reply && reply->has_value()) {
    PreferPeers();
  }
  aCall->Finish(std::move(reply));
}

/// Calls the store directly, and through another daemon as well if that fails
/// or has brought no reply after the hedge delay. The first reply counts.
Awaitable<Result<StoreReply>> StoreRouter::CallHedged(StoreRequest aRequest)
{
  const auto executor = co_await asio::this_coro::executor;
  const auto call = std::make_shared<HedgedCall>(executor);
  boost::system::error_code ignored;
  ++call->mPendingRoutes;
  asio::co_spawn(
    executor, CallDirectly(call, aRequest), LogFailure("call_directly"));
  if (!call->IsDone()) {
    call->mFinished.expires_after(mOptions.mHedgeDelay);
    co_await call->mFinished.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (!call->mReply || call->mReply->has_error()) {
    ++call->mPendingRoutes;
    asio::co_spawn(executor,
                   CallThroughPeers(call, aRequest),
                   LogFailure("call_through_peers"));
  }
  while (!call->IsDone()) {
    call->mFinished.expires_at(asio::steady_timer::time_point::max());
    co_await call->mFinished.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return std::move(*call->mReply);
}

Awaitable<Result<StoreReply>> StoreRouter::Call(StoreRequest aRequest)
{
  const bool viaPeersFirst = mClock() < mDirectBackoffUntil;
  if (viaPeersFirst) {
    auto reply = co_await CallPeers(aRequest);
    if (reply) {
      if (reply->has_value()) {
        PreferPeers();
      }
      co_return std::move(*reply);
    }
  }
  const bool mayAskPeers = !viaPeersFirst && mClock() >= mAllPeersBackoffUntil;
  if (mayAskPeers && IsRepeatable(aRequest)) {
    co_return co_await CallHedged(std::move(aRequest));
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
    co_return direct;
  }
  auto reply = co_await CallPeers(std::move(aRequest));
  if (!reply) {
    co_return direct;
  }
  if (reply->has_value()) {
    PreferPeers();
  }
  co_return std::move(*reply);
}

Awaitable<Result<StoreReply>> StoreRouter::ServePeer(StoreRequest aRequest)
{
  return mStore(std::move(aRequest));
}

} // namespace agatetide::entry
