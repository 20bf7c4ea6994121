#include "agatetide/steps/step_runner.hpp"

#include "agatetide/base/event_log.hpp"
#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

/// The part of StepRunner that runs items: placement, streams and scoring.
namespace agatetide::steps {

namespace asio = boost::asio;

namespace {

/// A stream without events for this long is resumed, usually on another
/// replica.
constexpr std::chrono::milliseconds kStreamIdleTimeout{ 1500 };
/// A replica that refused an item gets no new one for this long.
constexpr std::chrono::milliseconds kBusyBlockTime{ 40 };
/// Delay before an item is retried after a failure, or after a stream without
/// events.
constexpr std::chrono::milliseconds kRetryDelay{ 100 };
constexpr std::chrono::milliseconds kScoringRetryDelay{ 60 };
/// Time that reading a group's prompt takes: most of the 0.15 s that a move
/// costs (policy::ItemMoveOptions).
constexpr double kPromptSeconds = 0.1;
/// Longest wait for a scoring service whose capacity is short, so that a step
/// that has ended is not kept for long.
constexpr std::chrono::milliseconds kMaxScoringRetryDelay{ 5000 };
/// A replica whose stream failed gets no new item for this long.
constexpr std::chrono::milliseconds kFailedStreamBlockTime{ 1000 };
/// Deadline of one stream; the item is resumed after it.
constexpr std::chrono::seconds kStreamTimeout{ 30 };
/// HTTP status of an item that a replica ran but failed.
constexpr unsigned kFailedStatus = 500;
/// HTTP status of an item that would fail on every replica.
constexpr unsigned kUnprocessableStatus = 422;

/// Whether a request can be sent to no replica, as it is.
bool IsInvalidRequest(const Error& aError)
{
  return aError.mKind == ErrorKind::InvalidArgument &&
         aError.mExecution == Execution::NotRun;
}

/// Time until a scoring call that failed is repeated. While capacity is short,
/// it comes back when it was told.
Milliseconds ScoringRetryDelay(const Result<request::UpstreamResponse>& aResult,
                               bool aReportsPace)
{
  if (!aReportsPace || aResult.has_value() ||
      aResult.error().mExecution != Execution::NotRun) {
    return kScoringRetryDelay;
  }
  return std::clamp(aResult.error().mRetryAfter.value_or(kScoringRetryDelay),
                    kScoringRetryDelay,
                    kMaxScoringRetryDelay);
}

} // namespace

/// Starts waiting items until one without text cannot be placed; returns false
/// then. Items that already have text go first, since their groups already wait
/// for them. They are placed one by one, since not every replica can continue
/// every text.
bool StepRunner::StartItemsOfStep(const OwnedStepPtr& aStep)
{
  const fleet::Route* found = FindRoute(*aStep);
  if (found == nullptr || found->mServices.empty()) {
    return false;
  }
  const fleet::Route route = *found;
  aStep->mAllowedRegions =
    mContext.mView.Config()->AllowedRegions(route, aStep->mRecord.mAccount);
  const TimePoint now = mContext.mClock();
  for (const bool started : { true, false }) {
    for (const size_t index : aStep->mStartOrder) {
      const ItemRun& run = aStep->mRuns[index];
      if (run.mState != ItemRun::State::Waiting || run.mNotBefore > now ||
          run.mText.Events().empty() == started) {
        continue;
      }
      if (!StartItem(aStep, index, route) && !started) {
        return false;
      }
    }
  }
  return true;
}

bool StepRunner::HasWeights(const OwnedStep& aStep,
                            const fleet::Replica& aReplica) const
{
  const auto version = aReplica.mVersions.find(aStep.mRecord.mModel);
  return version != aReplica.mVersions.end() &&
         version->second >= aStep.mRecord.mMinVersion;
}

bool StepRunner::MayUse(const OwnedStep& aStep,
                        const fleet::Route& aRoute,
                        const fleet::Replica& aReplica) const
{
  return aRoute.Allows(aReplica.mService) &&
         mContext.mView.MayUse(aReplica, aStep.mAllowedRegions);
}

bool StepRunner::MayRun(const OwnedStep& aStep,
                        const fleet::Replica& aReplica) const
{
  return HasWeights(aStep, aReplica) &&
         mContext.mView.MayUse(aReplica, aStep.mAllowedRegions) &&
         mContext.mPool.IsUsable(aReplica);
}

/// Whether an item that no replica can continue now should start again on
/// replicas of another software version.
bool StepRunner::ShouldRestart(const OwnedStep& aStep,
                               const ItemRun& aRun,
                               const fleet::Route& aRoute) const
{
  policy::InterruptedItem item;
  item.mEvents = aRun.mText.Events().size();
  if (mSpeeds.MedianSecondsPerEvent() > 0.0) {
    item.mSecondsPerEvent = mSpeeds.MedianSecondsPerEvent();
  }
  item.mWaitedSeconds = Seconds(mContext.mClock() - aRun.mWaitingSince);
  for (const auto& [id, replica] : mContext.mView.Replicas()) {
    if (MayUse(aStep, aRoute, replica) && !replica.mDraining &&
        HasWeights(aStep, replica)) {
      (aRun.Fits(replica) ? item.mCanContinue : item.mCanRestart) = true;
    }
  }
  return policy::ShouldRestartItem(item);
}

/// The estimate of a replica that may generate an item.
policy::LoadCandidate StepRunner::MakeItemEstimate(
  const fleet::Replica& aReplica,
  const policy::ItemCandidate& aItem) const
{
  policy::LoadCandidate estimate = mContext.mPool.MakeLoadCandidate(aReplica);
  // A replica may be slow for seconds although its machine is not.
  estimate.mWorkSeconds *= std::max(1.0, aItem.mSlowness);
  estimate.mSavedSeconds = aItem.mPromptCached ? kPromptSeconds : 0.0;
  return estimate;
}

/// Compares expected times if all candidates are of services with estimates.
std::optional<size_t> StepRunner::ChooseItemReplica(
  const std::vector<policy::ItemCandidate>& aCandidates,
  const std::vector<policy::LoadCandidate>& aEstimates) const
{
  if (aEstimates.size() != aCandidates.size()) {
    return policy::ChooseItemReplica(aCandidates, mChoiceOptions);
  }
  policy::LoadChoiceOptions options;
  options.mFreeSlotsOnly = true;
  return policy::ChooseByExpectedTime(aEstimates, options, mContext.mRandom);
}

bool StepRunner::StartItem(const OwnedStepPtr& aStep,
                           size_t aIndex,
                           const fleet::Route& aRoute)
{
  std::vector<policy::ItemCandidate> candidates;
  std::vector<policy::LoadCandidate> estimates;
  std::vector<const fleet::Replica*> replicas;
  ItemRun& run = aStep->mRuns[aIndex];
  const auto& promptReplicas =
    aStep->mPromptReplicas[aStep->mItems[aIndex].mGroup];
  for (const auto& [id, replica] : mContext.mView.Replicas()) {
    if (!MayUse(*aStep, aRoute, replica) || !run.Fits(replica)) {
      continue;
    }
    mContext.mPool.Limits().RecordDemand(id);
    if (!MayRun(*aStep, replica)) {
      continue;
    }
    policy::ItemCandidate candidate;
    candidate.mRunning = mContext.mPool.EstimatedRequests(replica);
    candidate.mSlots = replica.mSlots;
    candidate.mSameRegion =
      mContext.mView.RegionOf(replica.mAvailabilityZone) ==
      mContext.mView.Region();
    candidate.mPromptCached = promptReplicas.contains(id);
    candidate.mSlowness = mSpeeds.Slowness(id);
    candidates.push_back(candidate);
    if (mContext.mPool.UsesEstimates(replica.mService)) {
      estimates.push_back(MakeItemEstimate(replica, candidate));
    }
    replicas.push_back(&replica);
  }
  if (!estimates.empty() && IsCritical(*aStep, aIndex)) {
    // Few items are critical, so hosts rarely choose the same replica at once.
    estimates.clear();
  }
  const auto chosen = ChooseItemReplica(candidates, estimates);
  if (!chosen && !run.mText.Events().empty() &&
      ShouldRestart(*aStep, run, aRoute)) {
    LogEvent("sample_restarted", LogLevel::Warning)
      .Field("item", aStep->mItems[aIndex].mId)
      .Field("software_version", run.mSoftwareVersion)
      .Field("events", static_cast<uint64_t>(run.mText.Events().size()))
      .Field("reason", "no replica of the software version")
      .Write();
    run.ClearText();
    return StartItem(aStep, aIndex, aRoute);
  }
  if (!chosen) {
    return false;
  }
  const fleet::Replica& replica = *replicas[*chosen];
  auto reservation = mContext.mPool.TryReserve(replica.mId);
  if (!reservation) {
    return false;
  }
  LogEvent event("item_placed", LogLevel::Debug);
  event.Field("step", aStep->mRecord.mId)
    .Field("item", aStep->mItems[aIndex].mId)
    .Field("replica", replica.mId)
    .Field("running", candidates[*chosen].mRunning)
    .Field("slowness", candidates[*chosen].mSlowness)
    .Field("events",
           static_cast<uint64_t>(aStep->mRuns[aIndex].mText.Events().size()));
  if (!estimates.empty()) {
    request::AddEstimate(event, mContext.mPool.Estimate(replica));
  }
  event.Write();
  aStep->mPromptReplicas[aStep->mItems[aIndex].mGroup].insert(replica.mId);
  aStep->SetState(run, ItemRun::State::Running);
  run.mReplicaId = replica.mId;
  run.mCancel = std::make_shared<http::CancelHandle>();
  run.mStreamStart = mContext.mClock();
  run.mStreamEventCount = 0;
  run.mWindow.Clear();
  if (run.mStreamCount++ == 0) {
    run.mFirstStreamStart = run.mStreamStart;
  }
  asio::co_spawn(mContext.mExecutor,
                 RunItem(aStep, aIndex, std::move(*reservation), aRoute),
                 LogFailure("run_item"));
  return true;
}

bool StepRunner::HandleEvent(OwnedStep& aStep,
                             size_t aIndex,
                             const fleet::Route& aRoute,
                             const fleet::Replica& aReplica,
                             request::StreamEvent aEvent)
{
  ItemRun& run = aStep.mRuns[aIndex];
  if (aStep.mStopped || aEvent.mNumber != run.mText.Events().size() + 1) {
    return false;
  }
  if (aEvent.mVersion) {
    const bool known =
      std::find(run.mVersions.begin(), run.mVersions.end(), *aEvent.mVersion) !=
      run.mVersions.end();
    const bool tooOld = *aEvent.mVersion < aStep.mRecord.mMinVersion;
    const bool mixed =
      aRoute.mSingleVersion && !known && !run.mVersions.empty();
    if (tooOld || mixed) {
      LogEvent("sample_restarted", LogLevel::Warning)
        .Field("item", aStep.mItems[aIndex].mId)
        .Field("replica", aReplica.mId)
        .Field("version", *aEvent.mVersion)
        .Field("reason", tooOld ? "version too old" : "version changed")
        .Write();
      run.ClearText();
      return false;
    }
    if (!known) {
      run.mVersions.push_back(*aEvent.mVersion);
    }
  }
  if (!run.mText.Append(std::move(aEvent.mData))) {
    LogEvent("sample_restarted", LogLevel::Warning)
      .Field("item", aStep.mItems[aIndex].mId)
      .Field("replica", aReplica.mId)
      .Field("events", static_cast<uint64_t>(run.mText.Events().size()))
      .Field("reason", "text without end, or too much memory used by texts")
      .Write();
    run.ClearText();
    return false;
  }
  run.mSoftwareVersion = aReplica.mSoftwareVersion;
  if (run.mStreamEventCount++ == 0) {
    // The time until the first event includes processing the prompt, so the
    // speed is measured from there on.
    run.mPromptSeconds = Seconds(mContext.mClock() - run.mStreamStart);
    run.mStreamStart = mContext.mClock();
  }
  return true;
}

void StepRunner::ObserveSpeed(const std::string& aReplicaId,
                              const ItemRun& aRun)
{
  if (aRun.mStreamEventCount >= 2) {
    mSpeeds.Observe(aReplicaId,
                    Seconds(mContext.mClock() - aRun.mStreamStart) /
                      (aRun.mStreamEventCount - 1));
  }
}

request::UpstreamRequest StepRunner::MakeRequest(
  const OwnedStep& aStep,
  size_t aIndex,
  std::string aReplicaId,
  const fleet::Route& aRoute) const
{
  const StepItem& item = aStep.mItems[aIndex];
  const ItemRun& run = aStep.mRuns[aIndex];
  request::UpstreamRequest request;
  request.mId = item.mId;
  request.mTarget = item.mPath;
  request.mHeaders = item.mHeaders;
  request.mHeaders.push_back({ "host", aStep.mRecord.mHttpHost });
  request.mBody = item.mBody;
  request.mAccount = aStep.mRecord.mAccount;
  if (const auto& config = mContext.mView.Config()) {
    request.mAllowedRegions = config->AllowedRegions(aRoute, request.mAccount);
  }
  request.mReplicaId = std::move(aReplicaId);
  request.mDeadline = mContext.mClock() + kStreamTimeout;
  request.mFreshConnection = run.mFailures > 0;
  if (!run.mText.Events().empty()) {
    request.mResumeAfter = static_cast<uint32_t>(run.mText.Events().size());
  }
  return request;
}

/// Streams an item from a replica. The stream begins after the pass that starts
/// it has ended, since a stream that fails at once would otherwise change what
/// the pass walks.
Awaitable<Result<request::UpstreamResponse>> StepRunner::StreamItem(
  const OwnedStep& aStep,
  size_t aIndex,
  const fleet::Replica& aReplica,
  const fleet::Route& aRoute,
  request::StreamOptions aOptions)
{
  co_await asio::post(mContext.mExecutor, asio::use_awaitable);
  if (aOptions.mCancel->IsCanceled()) {
    co_return Error{ ErrorKind::Canceled,
                     "the stream was canceled before it began",
                     "none",
                     Execution::NotRun };
  }
  request::UpstreamRequest request =
    MakeRequest(aStep, aIndex, aReplica.mId, aRoute);
  co_return co_await mContext.mStream(
    aReplica.mEndpoint, std::move(request), std::move(aOptions));
}

Awaitable<void> StepRunner::RunItem(
  OwnedStepPtr aStep,
  size_t aIndex,
  request::ReplicaPool::Reservation aReservation,
  fleet::Route aRoute)
{
  ++mRunningItemCount;
  ItemRun& run = aStep->mRuns[aIndex];
  const fleet::Replica& replica = aReservation.Replica();
  request::StreamOptions options;
  options.mCancel = run.mCancel;
  options.mIdleTimeout = kStreamIdleTimeout;
  options.mSink =
    [this, aStep, aIndex, &aRoute, &replica](request::StreamEvent aEvent) {
      return HandleEvent(*aStep, aIndex, aRoute, replica, std::move(aEvent));
    };
  const auto response =
    co_await StreamItem(*aStep, aIndex, replica, aRoute, std::move(options));
  run.mCancel.reset();
  ObserveSpeed(replica.mId, run);
  --mRunningItemCount;
  if (aStep->mStopped) {
    co_return;
  }
  aStep->SetState(run, ItemRun::State::Waiting);
  if (run.mStreamEventCount > 0) {
    run.mWaitingSince = mContext.mClock();
  }
  if (response.has_error() && IsInvalidRequest(response.error())) {
    AbandonInvalidItem(aStep, aIndex, response.error());
  } else if (response.has_error()) {
    HandleStreamError(*aStep, aIndex, replica, response.error());
  } else {
    HandleResponse(aStep, aIndex, replica, aRoute, *response);
  }
  mEndedStreams.push_back(std::move(aReservation));
  StartWaitingItems();
}

/// Handles a stream that failed, or was canceled to move or abandon the item.
void StepRunner::HandleStreamError(OwnedStep& aStep,
                                   size_t aIndex,
                                   const fleet::Replica& aReplica,
                                   const Error& aError)
{
  ItemRun& run = aStep.mRuns[aIndex];
  LogEvent("item_interrupted", LogLevel::Warning)
    .Field("step", aStep.mRecord.mId)
    .Field("item", aStep.mItems[aIndex].mId)
    .Field("replica", aReplica.mId)
    .Field("events", static_cast<uint64_t>(run.mText.Events().size()))
    .Field("error", FormatError(aError))
    .Write();
  if (aError.mKind != ErrorKind::Canceled) {
    mContext.mPool.BlockFor(aReplica.mId, kFailedStreamBlockTime);
    if (aError.mExecution == Execution::NotRun) {
      mContext.mPool.RecordUnreachable(aReplica);
    }
  }
  run.mNotBefore = mContext.mClock();
  if (run.mStreamEventCount == 0) {
    run.mNotBefore += kRetryDelay;
  }
}

/// Ends an item whose request, or whose scoring call, cannot be sent. Items are
/// checked when they are submitted, but other builds may have stored this one.
void StepRunner::AbandonInvalidItem(const OwnedStepPtr& aStep,
                                    size_t aIndex,
                                    const Error& aError)
{
  LogEvent("item_invalid", LogLevel::Error)
    .Field("step", aStep->mRecord.mId)
    .Field("item", aStep->mItems[aIndex].mId)
    .Field("error", FormatError(aError))
    .Write();
  FinishItem(aStep, aIndex, ItemState::Abandoned, {});
}

/// Handles a response: the text is complete, or the replica refused or failed
/// the item.
void StepRunner::HandleResponse(const OwnedStepPtr& aStep,
                                size_t aIndex,
                                const fleet::Replica& aReplica,
                                const fleet::Route& aRoute,
                                const request::UpstreamResponse& aResponse)
{
  ItemRun& run = aStep->mRuns[aIndex];
  if (aResponse.mLoad) {
    mContext.mPool.RecordLoad(aReplica.mId, *aResponse.mLoad);
  }
  if (aResponse.IsSuccess()) {
    aStep->SetState(run, ItemRun::State::Scoring);
    run.mTextEnd = mContext.mClock();
    asio::co_spawn(
      mContext.mExecutor, Score(aStep, aIndex), LogFailure("score"));
    return;
  }
  if (aResponse.mNotRun || aResponse.mMisdirected) {
    mContext.mPool.BlockFor(aReplica.mId, kBusyBlockTime);
    return;
  }
  run.mFailures += aResponse.mStatus == kFailedStatus ? 1 : 0;
  if (aResponse.mStatus == kUnprocessableStatus ||
      run.mFailures >= aRoute.mMaxAttempts) {
    FinishItem(aStep, aIndex, ItemState::Abandoned, {});
    return;
  }
  run.mNotBefore = mContext.mClock() + kRetryDelay;
}

/// Calls the scoring service until it has scored the text, or has failed as
/// often as the route's limit of attempts allows.
Awaitable<void> StepRunner::Score(OwnedStepPtr aStep, size_t aIndex)
{
  const auto& scoring = aStep->mItems[aIndex].mScoring;
  if (!scoring) {
    FinishItem(aStep, aIndex, ItemState::Completed, {});
    co_return;
  }
  const auto failures = std::make_shared<unsigned>(0);
  asio::steady_timer timer(mContext.mExecutor);
  while (!aStep->mStopped) {
    Milliseconds delay = kScoringRetryDelay;
    const auto& config = mContext.mView.Config();
    const fleet::Route* route =
      config ? config->FindRoute(scoring->mHttpHost, scoring->mPath) : nullptr;
    if (route != nullptr) {
      request::ForwardRequest request;
      request.mRoute = *route;
      request.mClass = policy::RequestClass::Trainer;
      request.mPrototype.mAllowedRegions = route->mAllowedRegions;
      request.mPrototype.mId = scoring->mId;
      request.mPrototype.mTarget = scoring->mPath;
      request.mPrototype.mHeaders.push_back({ "host", scoring->mHttpHost });
      request.mPrototype.mBody = scoring->mBody;
      request.mPrototype.mFreshConnection = *failures > 0;
      request.mDeadline = mContext.mClock() + route->mTimeout;
      request.mOnReplicaFailure = [failures] { ++*failures; };
      request.mCaller = std::make_shared<http::CallerConnection>();
      aStep->mRuns[aIndex].mScoringCaller = request.mCaller;
      const unsigned maxFailures = route->mMaxAttempts;
      const bool reportsPace =
        std::any_of(route->mServices.begin(),
                    route->mServices.end(),
                    [this](const fleet::WeightedService& aService) {
                      return mContext.mPool.ReportsPace(aService.mService);
                    });
      const auto response =
        co_await mContext.mForwarder.Run(std::move(request));
      aStep->mRuns[aIndex].mScoringCaller.reset();
      if (aStep->mStopped) {
        co_return;
      }
      if (response.has_value() && response->IsSuccess()) {
        FinishItem(aStep, aIndex, ItemState::Completed, response->mSignature);
        co_return;
      }
      if (response.has_error() && IsInvalidRequest(response.error())) {
        AbandonInvalidItem(aStep, aIndex, response.error());
        co_return;
      }
      if (*failures >= maxFailures) {
        LogEvent("sample_not_scored", LogLevel::Warning)
          .Field("item", aStep->mItems[aIndex].mId)
          .Field("failures", *failures)
          .Write();
        FinishItem(aStep, aIndex, ItemState::Abandoned, {});
        co_return;
      }
      delay = ScoringRetryDelay(response, reportsPace);
    }
    timer.expires_after(delay);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

} // namespace agatetide::steps
