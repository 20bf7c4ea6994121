#include "agatetide/request/forwarder.hpp"

#include "agatetide/base/event_log.hpp"
#include "agatetide/base/task.hpp"
#include "agatetide/policy/shutdown_admission.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace agatetide::request {

namespace asio = boost::asio;

namespace {

/// Limit of refused attempts per request. They do not count against the limit
/// of the route, since a refusal costs a replica almost nothing.
constexpr unsigned kMaxRefusals = 6;
/// A replica that refused a request gets no new one for this long.
constexpr std::chrono::milliseconds kBusyBlockTime{ 40 };
/// A replica that is unreachable, or at whose address another replica or
/// weight version responds, gets no new request for this long.
constexpr std::chrono::milliseconds kUnreachableBlockTime{ 500 };
/// Shortest wait for a limited replica.
constexpr std::chrono::milliseconds kMinLimitWait{ 1 };
/// Copies of a suspect at this host wait for each other, asking this often.
constexpr std::chrono::milliseconds kSuspectPollInterval{ 10 };
/// It is usually known after this time whether a replica has crashed.
constexpr std::chrono::milliseconds kMaxSettleWait{ 400 };
/// Another host runs the trial of a refused request: time until its outcome is
/// usually known.
constexpr std::chrono::milliseconds kUsualTrialTime{ 1000 };
/// HTTP status of a request that a replica ran but failed.
constexpr unsigned kFailedStatus = 500;
/// Delay before a hedged request, as a fraction of the route's target latency.
/// Used until enough latencies were measured.
constexpr double kDefaultHedgeFraction = 0.6;

/// Whether the connection to the replica ended, as it does when the replica
/// crashes.
bool IsBroken(const Error& aError)
{
  return aError.mExecution == Execution::Unknown &&
         (aError.mKind == ErrorKind::OutcomeUnknown ||
          aError.mKind == ErrorKind::DataLoss);
}

SuspectKind SuspectKindOf(policy::CrashVerdict aVerdict)
{
  switch (aVerdict) {
    case policy::CrashVerdict::Run:
      return SuspectKind::None;
    case policy::CrashVerdict::RunApart:
      return SuspectKind::Possible;
    default:
      return SuspectKind::Probable;
  }
}

} // namespace

Error HostStoppingError()
{
  return { ErrorKind::Unavailable,
           "this host is about to stop",
           "send it to another host",
           Execution::NotRun,
           Milliseconds(0) };
}

/// A running request and its attempts.
struct Forwarder::RequestState
{
  RequestState(const asio::any_io_executor& aExecutor, ForwardRequest aRequest)
    : mTimer(aExecutor)
    , mRequest(std::move(aRequest))
  {
    if (mRequest.mCountCrashes) {
      mCallerRequest.emplace(mRequest.mPrototype, mRequest.mRoute);
    }
  }

  asio::steady_timer mTimer;
  ForwardRequest mRequest;
  /// std::nullopt if crashes under the request are not counted.
  std::optional<CallerRequest> mCallerRequest;
  policy::CrashVerdict mVerdict = policy::CrashVerdict::Run;
  CrashSuspects::RunningMark mRunningMark;
  /// Waits until then for what is not known yet of crashes.
  std::optional<TimePoint> mSettleWaitEnd;
  std::string mService;
  std::set<std::string> mTriedReplicaIds;
  std::vector<std::shared_ptr<http::CancelHandle>> mCancels;
  unsigned mPendingAttempts = 0;
  /// Pending attempts, and finished ones that a replica may have run.
  unsigned mAttemptCount = 0;
  unsigned mRefusalCount = 0;
  bool mMayHaveRun = false;
  bool mStarted = false;
  /// Whether the connection of an attempt broke.
  bool mBroke = false;
  bool mCallerGone = false;
  /// The request cannot be sent to any replica.
  std::optional<Error> mInvalid;
  bool mFailed = false;
  /// The first response with a status below 500.
  std::optional<UpstreamResponse> mResponse;
  /// The last response with a status of 500 or above.
  std::optional<UpstreamResponse> mFailureResponse;
  std::optional<Error> mLastError;
  /// The request gives up waiting for limited replicas then.
  TimePoint mLimitWaitEnd{};
  /// When the limits of the replicas may allow another request.
  std::optional<Milliseconds> mRetryAfter;
  /// std::nullopt if the request needs no admission.
  std::optional<AdmissionCall> mAdmissionCall;
};

Forwarder::Forwarder(asio::any_io_executor aExecutor,
                     ReplicaPool& aPool,
                     CrashSuspects& aSuspects,
                     UpstreamCall aCall,
                     Clock aClock,
                     Random aRandom)
  : mExecutor(std::move(aExecutor))
  , mPool(aPool)
  , mSuspects(aSuspects)
  , mCall(std::move(aCall))
  , mClock(std::move(aClock))
  , mRandom(std::move(aRandom))
  , mAdmission(
      std::make_shared<ServiceAdmission>(mExecutor, mPool, mClock, mRandom))
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

Duration Forwarder::HedgeDelayFor(const RequestState& aState)
{
  const auto defaultDelay = std::chrono::duration_cast<Duration>(
    aState.mRequest.mRoute.mTargetLatency * kDefaultHedgeFraction);
  const auto measured = mServices[aState.mService].mHedgeDelay.Delay();
  return measured ? std::max<Duration>(*measured, defaultDelay / 4)
                  : defaultDelay;
}

Awaitable<Result<UpstreamResponse>> Forwarder::Run(ForwardRequest aRequest)
{
  const auto state =
    std::make_shared<RequestState>(mExecutor, std::move(aRequest));
  const ForwardRequest& request = state->mRequest;
  state->mService =
    request.mOrigin ? request.mOrigin->mService : ChooseService(request.mRoute);
  if (request.mCaller) {
    request.mCaller->OnDisconnect([state] {
      state->mCallerGone = true;
      state->mTimer.cancel();
    });
  }
  Result<UpstreamResponse> result = Error{};
  if (co_await Admit(state)) {
    auto permit = co_await AcquireCapacity(state);
    if (permit.has_value() && !state->mCallerGone) {
      result = co_await RunAttempts(state);
      permit->SetServed(state->mStarted);
    } else if (state->mCallerGone) {
      result = MakeResult(*state);
    } else {
      result = permit.error();
    }
  } else {
    result = MakeResult(*state);
  }
  if (request.mCaller) {
    request.mCaller->OnDisconnect({});
  }
  co_return result;
}

/// Decides whether a request may run that crashed replicas before. Only one of
/// several copies runs at this host at a time, since each may crash another
/// replica.
Awaitable<bool> Forwarder::Admit(std::shared_ptr<RequestState> aState)
{
  if (!aState->mCallerRequest) {
    co_return true;
  }
  CallerRequest& request = *aState->mCallerRequest;
  const TimePoint waitEnd =
    std::min(mClock() + Duration(aState->mRequest.mRoute.mTargetLatency),
             DeadlineOf(*aState));
  for (;;) {
    const policy::CrashJudgement judgement = mSuspects.Judge(request);
    aState->mVerdict = judgement.mVerdict;
    aState->mRetryAfter = judgement.mRetryAfter;
    if (judgement.mVerdict == policy::CrashVerdict::Refuse) {
      co_return false;
    }
    const bool wait = judgement.mVerdict != policy::CrashVerdict::Run &&
                      mSuspects.IsRunning(request);
    if (!wait || aState->mCallerGone || mClock() >= waitEnd) {
      break;
    }
    co_await Sleep(aState, kSuspectPollInterval);
  }
  aState->mRetryAfter.reset();
  if (aState->mVerdict != policy::CrashVerdict::Run) {
    aState->mRunningMark = mSuspects.MarkRunning(request);
  }
  if (aState->mVerdict == policy::CrashVerdict::RunTrial &&
      !co_await mSuspects.ClaimTrial(request)) {
    aState->mVerdict = policy::CrashVerdict::Refuse;
    aState->mRetryAfter = kUsualTrialTime;
    co_return false;
  }
  co_return !aState->mCallerGone;
}

/// Waits until the request may use capacity of its service.
Awaitable<Result<ServiceAdmission::Permit>> Forwarder::AcquireCapacity(
  std::shared_ptr<RequestState> aState)
{
  const ForwardRequest& request = aState->mRequest;
  if (!mAdmission->IsActive(aState->mService)) {
    co_return ServiceAdmission::Permit();
  }
  const TimePoint targetEnd =
    mClock() + Duration(request.mRoute.mTargetLatency);
  AdmissionCall call{ aState->mService,
                      request.mClass,
                      request.mPrototype.mAccount,
                      mAdmission->WeightOf(request.mRoute,
                                           request.mPrototype.mAccount),
                      ContentFingerprint(request.mPrototype),
                      request.mClass == policy::RequestClass::Urgent
                        ? std::min(targetEnd, request.mDeadline)
                        : request.mDeadline };
  aState->mAdmissionCall = call;
  // As a temporary of the co_await expression it corrupted the heap (GCC 12).
  std::function<bool()> isCanceled = [aState] { return aState->mCallerGone; };
  co_return co_await mAdmission->Acquire(
    std::move(call), aState->mTimer, std::move(isCanceled));
}

Awaitable<void> Forwarder::Sleep(std::shared_ptr<RequestState> aState,
                                 Duration aTime)
{
  aState->mTimer.expires_after(aTime);
  boost::system::error_code ignored;
  co_await aState->mTimer.async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
}

/// Whether a request whose attempt broke off may be sent again. One that may
/// have crashed two replicas may not: its caller has to send it again, which
/// leaves time to find out.
bool Forwarder::MayRetrySuspect(RequestState& aState)
{
  if (!aState.mCallerRequest || !aState.mBroke) {
    return true;
  }
  aState.mVerdict = mSuspects.Judge(*aState.mCallerRequest).mVerdict;
  if (aState.mVerdict != policy::CrashVerdict::Run && !aState.mRunningMark) {
    aState.mRunningMark = mSuspects.MarkRunning(*aState.mCallerRequest);
  }
  return aState.mVerdict == policy::CrashVerdict::Run ||
         aState.mVerdict == policy::CrashVerdict::RunApart;
}

/// Waits a little for what is not known yet of crashes under the request.
/// Returns false if all is known, or if it takes too long.
Awaitable<bool> Forwarder::AwaitSettled(std::shared_ptr<RequestState> aState)
{
  const TimePoint now = mClock();
  if (!aState->mSettleWaitEnd) {
    aState->mSettleWaitEnd = now + kMaxSettleWait;
  }
  if (now >= *aState->mSettleWaitEnd ||
      !mSuspects.IsUnsettled(*aState->mCallerRequest)) {
    co_return false;
  }
  co_await Sleep(aState, kSuspectPollInterval);
  co_return true;
}

Awaitable<Result<UpstreamResponse>> Forwarder::RunAttempts(
  std::shared_ptr<RequestState> aState)
{
  const std::shared_ptr<RequestState>& state = aState;
  const ForwardRequest& request = state->mRequest;
  ServiceState& service = mServices[state->mService];
  service.mHedgeBudget.OnRequest();
  const bool idempotent = request.mRoute.mKind == fleet::RouteKind::Idempotent;
  mRequests.insert(state.get());
  state->mLimitWaitEnd = mClock() + request.mMaxLimitWait;
  TimePoint hedgeAt = mClock() + HedgeDelayFor(*state);
  if (FitsBeforeShutdown(*state)) {
    StartAttempt(state);
  }
  while (!state->mResponse && !state->mCallerGone && !state->mInvalid &&
         mClock() < DeadlineOf(*state)) {
    const bool hasAttempts =
      state->mAttemptCount < request.mRoute.mMaxAttempts &&
      (idempotent || !state->mMayHaveRun) &&
      state->mRefusalCount < kMaxRefusals && FitsBeforeShutdown(*state);
    const bool mayRetry = hasAttempts && MayRetrySuspect(*state);
    if (state->mPendingAttempts == 0 && hasAttempts && !mayRetry &&
        co_await AwaitSettled(state)) {
      continue;
    }
    if (state->mPendingAttempts == 0 && (!mayRetry || !StartAttempt(state))) {
      if (!mayRetry || !co_await AwaitLimit(state)) {
        break;
      }
      continue;
    }
    const bool mayHedge =
      idempotent && mayRetry && state->mVerdict == policy::CrashVerdict::Run;
    if (state->mPendingAttempts == 1 && mayHedge && mClock() >= hedgeAt) {
      hedgeAt = request.mDeadline;
      if (!mAdmission->IsShort(state->mService) &&
          service.mHedgeBudget.TryTake()) {
        StartAttempt(state);
      }
    }
    if (state->mResponse || state->mPendingAttempts == 0) {
      continue; // The attempt finished without suspending.
    }
    state->mTimer.expires_at(mayHedge ? std::min(hedgeAt, DeadlineOf(*state))
                                      : DeadlineOf(*state));
    boost::system::error_code ignored;
    co_await state->mTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  mRequests.erase(state.get());
  for (const auto& cancel : state->mCancels) {
    (*cancel)();
  }
  co_return MakeResult(*state);
}

/// Waits until the limit of a replica may allow the request. Returns false at
/// once if that takes too long.
Awaitable<bool> Forwarder::AwaitLimit(std::shared_ptr<RequestState> aState)
{
  ServiceState& service = mServices[aState->mService];
  const ReplicaFilter filter = MakeFilter(*aState);
  const Duration delay =
    mPool.EstimateLimitDelay(filter, service.mWaitingCount);
  if (delay == Duration::max()) {
    co_return false;
  }
  aState->mRetryAfter =
    std::max(std::chrono::ceil<Milliseconds>(delay), kMinLimitWait);
  const TimePoint end = std::min(aState->mLimitWaitEnd, DeadlineOf(*aState));
  if (delay >= end - mClock()) {
    co_return false;
  }
  ++service.mWaitingCount;
  aState->mTimer.expires_at(
    mClock() +
    std::max<Duration>(mPool.EstimateLimitDelay(filter, 0), kMinLimitWait));
  boost::system::error_code ignored;
  co_await aState->mTimer.async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
  --service.mWaitingCount;
  co_return true;
}

void Forwarder::SetShutdownDeadline(TimePoint aDeadline)
{
  mShutdownDeadline = aDeadline;
  mAdmission->Stop();
  for (RequestState* state : mRequests) {
    state->mTimer.cancel();
  }
}

bool Forwarder::FitsBeforeShutdown(const RequestState& aState)
{
  if (mShutdownDeadline == TimePoint::max()) {
    return true;
  }
  const TimePoint now = mClock();
  policy::PendingRequest pending;
  pending.mIdempotent =
    aState.mRequest.mRoute.mKind == fleet::RouteKind::Idempotent;
  pending.mTimeLeft = aState.mRequest.mDeadline - now;
  pending.mUsualLatency = mServices[aState.mService].mHedgeDelay.Delay();
  pending.mTargetLatency = aState.mRequest.mRoute.mTargetLatency;
  return policy::FitsBeforeStop(pending, mShutdownDeadline - now);
}

TimePoint Forwarder::DeadlineOf(const RequestState& aState) const
{
  return std::min(aState.mRequest.mDeadline, mShutdownDeadline);
}

ReplicaFilter Forwarder::MakeFilter(const RequestState& aState)
{
  const bool yields = aState.mRequest.mMaxLimitWait <= Duration::zero() &&
                      mServices[aState.mService].mWaitingCount > 0;
  return { aState.mService,
           aState.mTriedReplicaIds,
           [this, yields, origin = aState.mRequest.mOrigin](
             const fleet::Replica& aReplica) {
             return (!origin || origin->IsOf(aReplica)) &&
                    (!yields || !mPool.Limits().IsLimited(aReplica.mId));
           },
           SuspectKindOf(aState.mVerdict),
           aState.mRequest.mPrototype.mAllowedRegions };
}

bool Forwarder::StartAttempt(const std::shared_ptr<RequestState>& aState)
{
  auto reservation = mPool.ChooseAndReserve(MakeFilter(*aState),
                                            aState->mRequest.mPrototype.mId);
  if (!reservation) {
    return false;
  }
  aState->mTriedReplicaIds.insert(reservation->Replica().mId);
  ++aState->mPendingAttempts;
  ++aState->mAttemptCount;
  const auto cancel = std::make_shared<http::CancelHandle>();
  aState->mCancels.push_back(cancel);
  asio::co_spawn(mExecutor,
                 RunAttempt(aState, std::move(*reservation), cancel),
                 LogFailure("run_attempt"));
  return true;
}

Awaitable<void> Forwarder::RunAttempt(
  std::shared_ptr<RequestState> aState,
  ReplicaPool::Reservation aReservation,
  std::shared_ptr<http::CancelHandle> aCancel)
{
  UpstreamRequest request = aState->mRequest.mPrototype;
  request.mReplicaId = aReservation.Replica().mId;
  request.mDeadline = DeadlineOf(*aState);
  // The replica may have closed a reused connection in the meantime. It would
  // then be unknown whether the request ran, so it could not be retried.
  request.mFreshConnection =
    request.mFreshConnection ||
    aState->mRequest.mRoute.mKind != fleet::RouteKind::Idempotent;
  const TimePoint sent = mClock();
  auto result = co_await mCall(
    aReservation.Replica().mEndpoint, std::move(request), aCancel);
  --aState->mPendingAttempts;
  FinishAttempt(*aState, aReservation.Replica(), std::move(result), sent);
  aState->mTimer.cancel();
}

void Forwarder::FinishAttempt(RequestState& aState,
                              const fleet::Replica& aReplica,
                              Result<UpstreamResponse> aResult,
                              TimePoint aSent)
{
  const Duration took = mClock() - aSent;
  const bool notRun = aResult.has_value()
                        ? aResult->mNotRun || aResult->mMisdirected
                        : aResult.error().mExecution == Execution::NotRun;
  if (!notRun) {
    aState.mMayHaveRun = true;
    if (!aState.mStarted && aState.mRequest.mOnMayHaveRun) {
      aState.mRequest.mOnMayHaveRun(aSent);
    }
    aState.mStarted = true;
  } else {
    --aState.mAttemptCount;
    ++aState.mRefusalCount;
  }
  if (aResult.has_error()) {
    const Error& error = aResult.error();
    if (notRun && error.mKind == ErrorKind::InvalidArgument) {
      // It is the same for each replica, and no fault of this one.
      aState.mInvalid = error;
      return;
    }
    if (error.mKind != ErrorKind::Canceled) {
      mPool.RecordAttempt(aReplica, { true, took });
      LogEvent("attempt_failed", LogLevel::Warning)
        .Field("request_id", aState.mRequest.mPrototype.mId)
        .Field("replica", aReplica.mId)
        .Field("ms", std::chrono::duration_cast<Milliseconds>(took).count())
        .Field("error", FormatError(error))
        .Write();
    }
    if (notRun) {
      mPool.BlockFor(aReplica.mId, kUnreachableBlockTime);
      mPool.RecordUnreachable(aReplica);
    }
    if (IsBroken(error)) {
      aState.mBroke = true;
      if (aState.mCallerRequest) {
        mSuspects.RecordBrokenAttempt(*aState.mCallerRequest, aReplica);
      }
    }
    aState.mLastError = error;
    return;
  }
  if (aResult->mLoad) {
    mPool.RecordLoad(aReplica.mId, *aResult->mLoad);
  }
  if (notRun) {
    if (!aResult->mMisdirected) {
      mAdmission->RecordFull(aState.mService);
    }
    mPool.BlockFor(aReplica.mId,
                   aResult->mMisdirected ? Duration(kUnreachableBlockTime)
                                         : Duration(kBusyBlockTime));
    return;
  }
  if (aState.mCallerRequest) {
    mSuspects.RecordCompletion(*aState.mCallerRequest);
  }
  aResult->mOrigin = { aReplica.mService, aReplica.mSoftwareVersion };
  const bool conclusive = aResult->mStatus < 500;
  mPool.RecordAttempt(aReplica, { !conclusive, took });
  if (!conclusive) {
    if (aResult->mStatus == kFailedStatus &&
        aState.mRequest.mOnReplicaFailure) {
      aState.mRequest.mOnReplicaFailure();
    }
    aState.mFailureResponse = std::move(*aResult);
    return;
  }
  mServices[aState.mService].mHedgeDelay.Observe(took);
  if (!aState.mResponse) {
    aState.mResponse = std::move(*aResult);
  }
}

Result<UpstreamResponse> Forwarder::MakeResult(RequestState& aState)
{
  if (aState.mResponse) {
    return std::move(*aState.mResponse);
  }
  if (aState.mCallerGone) {
    return Error{ ErrorKind::Canceled,
                  "the caller closed the connection",
                  "none",
                  Execution::Unknown };
  }
  if (aState.mFailureResponse && aState.mPendingAttempts == 0) {
    return std::move(*aState.mFailureResponse);
  }
  const bool mayRun = aState.mMayHaveRun || aState.mPendingAttempts > 0;
  if (!mayRun && aState.mInvalid) {
    return *aState.mInvalid;
  }
  if (!mayRun && aState.mVerdict == policy::CrashVerdict::Refuse) {
    return Error{ ErrorKind::Unavailable,
                  "replicas crashed when they ran this request",
                  "change the request, or come back later",
                  Execution::NotRun,
                  aState.mRetryAfter };
  }
  if (!mayRun && !FitsBeforeShutdown(aState)) {
    return HostStoppingError();
  }
  if (mClock() >= DeadlineOf(aState)) {
    return Error{ ErrorKind::DeadlineExceeded,
                  "no replica responded before the deadline",
                  "use a longer timeout, or retry if the request is idempotent",
                  mayRun ? Execution::Unknown : Execution::NotRun };
  }
  if (mayRun) {
    return Error{ ErrorKind::OutcomeUnknown,
                  aState.mLastError ? aState.mLastError->mMessage
                                    : std::string("no complete response"),
                  "the request may have run; repeat it only if it is "
                  "idempotent",
                  Execution::Unknown };
  }
  return Error{ ErrorKind::Unavailable,
                "no replica of " + aState.mService + " could run the request",
                "retry after a short delay",
                Execution::NotRun,
                RetryTimeOf(aState) };
}

/// When a request that no replica could run should come back.
std::optional<Milliseconds> Forwarder::RetryTimeOf(const RequestState& aState)
{
  if (aState.mRetryAfter) {
    return aState.mRetryAfter;
  }
  if (const auto time = mPool.TimeUntilReplacement(
        aState.mService, aState.mRequest.mPrototype.mAllowedRegions)) {
    return time;
  }
  return aState.mAdmissionCall
           ? mAdmission->RetryTimeIfShort(*aState.mAdmissionCall)
           : std::nullopt;
}

} // namespace agatetide::request
