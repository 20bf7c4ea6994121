#include "agatetide/request/forwarder.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace agatetide::request {

namespace asio = boost::asio;

namespace {

/// Refusals of one request before it is answered as refused. They cost the
/// replicas next to nothing.
constexpr unsigned kMaxRefusals = 6;
/// A replica that is full gets no new request for this long.
constexpr std::chrono::milliseconds kFullPause{ 40 };
/// A replica that cannot be reached gets no new request for this long.
constexpr std::chrono::milliseconds kUnreachablePause{ 500 };
/// Status of a request that a replica ran and failed.
constexpr unsigned kFailedStatus = 500;
/// Share of the target latency after which an answer is waited for at a
/// second replica while too few answers are known.
constexpr double kDefaultHedgeShare = 0.6;

} // namespace

/// The attempts of one request.
struct Forwarder::Race
{
  Race(const asio::any_io_executor& aExecutor, ForwardRequest aRequest)
    : mTimer(aExecutor)
    , mRequest(std::move(aRequest))
  {
  }

  asio::steady_timer mTimer;
  ForwardRequest mRequest;
  std::string mService;
  std::set<std::string> mUsed;
  std::vector<std::shared_ptr<http::AbortHandle>> mAborts;
  unsigned mPending = 0;
  /// Attempts that a replica may have run, or that are under way.
  unsigned mAttempts = 0;
  unsigned mRefusals = 0;
  bool mMayHaveRun = false;
  bool mBegun = false;
  bool mGone = false;
  bool mFailed = false;
  std::optional<UpstreamResponse> mGood;
  /// A failure that a replica answered itself.
  std::optional<UpstreamResponse> mRejected;
  std::optional<Error> mError;
};

Forwarder::Forwarder(asio::any_io_executor aExecutor,
                     ReplicaPool& aPool,
                     UpstreamCall aCall,
                     Clock aClock,
                     Random aRandom)
  : mExecutor(std::move(aExecutor))
  , mPool(aPool)
  , mCall(std::move(aCall))
  , mClock(std::move(aClock))
  , mRandom(std::move(aRandom))
{
}

std::string Forwarder::ChooseService(const fleet::Route& aRoute) const
{
  double total = 0.0;
  for (const fleet::WeightedService& service : aRoute.mServices) {
    total += service.mWeight;
  }
  double point = UniformUnit(mRandom) * total;
  for (const fleet::WeightedService& service : aRoute.mServices) {
    point -= service.mWeight;
    if (point < 0.0) {
      return service.mService;
    }
  }
  return aRoute.mServices.empty() ? std::string()
                                  : aRoute.mServices.back().mService;
}

Duration Forwarder::HedgeAfter(const Race& aRace)
{
  const auto share = std::chrono::duration_cast<Duration>(
    aRace.mRequest.mRoute.mTargetLatency * kDefaultHedgeShare);
  const auto known = mServices[aRace.mService].mDelay.Delay();
  return known ? std::max<Duration>(*known, share / 4) : share;
}

Awaitable<Result<UpstreamResponse>> Forwarder::Run(ForwardRequest aRequest)
{
  const auto race = std::make_shared<Race>(mExecutor, std::move(aRequest));
  const ForwardRequest& request = race->mRequest;
  race->mService = ChooseService(request.mRoute);
  ServiceState& state = mServices[race->mService];
  state.mHedges.OnRequest();
  if (request.mCaller) {
    request.mCaller->OnDisconnect([race] {
      race->mGone = true;
      race->mTimer.cancel();
    });
  }
  const bool idempotent = request.mRoute.mKind == fleet::RouteKind::Idempotent;
  mRaces.insert(race.get());
  TimePoint hedgeAt = mClock() + HedgeAfter(*race);
  StartAttempt(race);
  while (!race->mGood && !race->mGone && mClock() < DeadlineOf(*race)) {
    const bool another = race->mAttempts < request.mRoute.mMaxAttempts &&
                         (idempotent || !race->mMayHaveRun) &&
                         race->mRefusals < kMaxRefusals;
    if (race->mPending == 0 && (!another || !StartAttempt(race))) {
      break;
    }
    if (race->mPending == 1 && idempotent && another && mClock() >= hedgeAt) {
      hedgeAt = request.mDeadline;
      if (state.mHedges.TryTake()) {
        StartAttempt(race);
      }
    }
    if (race->mGood || race->mPending == 0) {
      continue; // The attempt has ended already.
    }
    const bool mayHedge = idempotent && another;
    race->mTimer.expires_at(mayHedge ? std::min(hedgeAt, DeadlineOf(*race))
                                     : DeadlineOf(*race));
    boost::system::error_code ignored;
    co_await race->mTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  mRaces.erase(race.get());
  if (request.mCaller) {
    request.mCaller->OnDisconnect({});
  }
  for (const auto& abort : race->mAborts) {
    (*abort)();
  }
  co_return Outcome(*race);
}

void Forwarder::SetShutdownDeadline(TimePoint aTime)
{
  mEnd = aTime;
  for (Race* race : mRaces) {
    race->mTimer.cancel();
  }
}

TimePoint Forwarder::DeadlineOf(const Race& aRace) const
{
  return std::min(aRace.mRequest.mDeadline, mEnd);
}

bool Forwarder::StartAttempt(const std::shared_ptr<Race>& aRace)
{
  ReplicaWish wish{ aRace->mService, aRace->mUsed, {} };
  auto use = mPool.Choose(wish, aRace->mRequest.mPrototype.mId);
  if (!use) {
    return false;
  }
  aRace->mUsed.insert(use->Replica().mId);
  ++aRace->mPending;
  ++aRace->mAttempts;
  const auto abort = std::make_shared<http::AbortHandle>();
  aRace->mAborts.push_back(abort);
  asio::co_spawn(
    mExecutor, Attempt(aRace, std::move(*use), abort), asio::detached);
  return true;
}

Awaitable<void> Forwarder::Attempt(std::shared_ptr<Race> aRace,
                                   ReplicaPool::Use aUse,
                                   std::shared_ptr<http::AbortHandle> aAbort)
{
  UpstreamRequest request = aRace->mRequest.mPrototype;
  request.mReplicaId = aUse.Replica().mId;
  request.mDeadline = DeadlineOf(*aRace);
  // On a kept connection that the replica has closed meanwhile, nobody knows
  // whether a lost request has run.
  request.mFreshConnection =
    request.mFreshConnection ||
    aRace->mRequest.mRoute.mKind != fleet::RouteKind::Idempotent;
  const TimePoint sent = mClock();
  auto result =
    co_await mCall(aUse.Replica().mEndpoint, std::move(request), aAbort);
  --aRace->mPending;
  Finish(*aRace, aUse.Replica(), std::move(result), sent);
  aRace->mTimer.cancel();
}

void Forwarder::Finish(Race& aRace,
                       const fleet::Replica& aReplica,
                       Result<UpstreamResponse> aResult,
                       TimePoint aSent)
{
  const Duration took = mClock() - aSent;
  const bool notRun = aResult.has_value()
                        ? aResult->mNotRun || aResult->mMisdirected
                        : aResult.error().mExecution == Execution::NotRun;
  if (!notRun) {
    aRace.mMayHaveRun = true;
    if (!aRace.mBegun && aRace.mRequest.mOnStarted) {
      aRace.mRequest.mOnStarted(aSent);
    }
    aRace.mBegun = true;
  } else {
    --aRace.mAttempts;
    ++aRace.mRefusals;
  }
  if (aResult.has_error()) {
    const Error& error = aResult.error();
    if (error.mKind != ErrorKind::Canceled) {
      mPool.Observe(aReplica, { true, took });
      Event("attempt_failed", LogLevel::Warning)
        .Field("request_id", aRace.mRequest.mPrototype.mId)
        .Field("replica", aReplica.mId)
        .Field("error", FormatError(error))
        .Write();
    }
    if (notRun) {
      mPool.Suspend(aReplica.mId, kUnreachablePause);
    }
    aRace.mError = error;
    return;
  }
  if (aResult->mLoad) {
    mPool.Report(aReplica.mId, *aResult->mLoad);
  }
  if (notRun) {
    mPool.Suspend(aReplica.mId,
                  aResult->mMisdirected ? Duration(kUnreachablePause)
                                        : Duration(kFullPause));
    return;
  }
  const bool good = aResult->mStatus < 500;
  mPool.Observe(aReplica, { !good, took });
  if (!good) {
    if (aResult->mStatus == kFailedStatus && aRace.mRequest.mOnRejected) {
      aRace.mRequest.mOnRejected();
    }
    aRace.mRejected = std::move(*aResult);
    return;
  }
  mServices[aRace.mService].mDelay.Observe(took);
  if (!aRace.mGood) {
    aRace.mGood = std::move(*aResult);
  }
}

Result<UpstreamResponse> Forwarder::Outcome(Race& aRace) const
{
  if (aRace.mGood) {
    return std::move(*aRace.mGood);
  }
  if (aRace.mGone) {
    return Error{ ErrorKind::Canceled,
                  "the caller closed the connection",
                  "none",
                  Execution::Unknown };
  }
  if (aRace.mRejected && aRace.mPending == 0) {
    return std::move(*aRace.mRejected);
  }
  const bool mayRun = aRace.mMayHaveRun || aRace.mPending > 0;
  if (mClock() >= DeadlineOf(aRace)) {
    return Error{ ErrorKind::DeadlineExceeded,
                  "no replica answered in time",
                  "allow more time, or retry if the request is idempotent",
                  mayRun ? Execution::Unknown : Execution::NotRun };
  }
  if (mayRun) {
    return Error{ ErrorKind::OutcomeUnknown,
                  aRace.mError ? aRace.mError->mMessage
                               : std::string("no whole answer"),
                  "the request may have run; repeat it only if it is "
                  "idempotent",
                  Execution::Unknown };
  }
  return Error{ ErrorKind::Unavailable,
                "no replica of " + aRace.mService + " could run the request",
                "retry after a short pause",
                Execution::NotRun };
}

} // namespace agatetide::request
