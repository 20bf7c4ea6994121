#include "agatetide/steps/step_runner.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

/// The items of steps: where they run, what their streams bring, how they are
/// scored and when they move.
namespace agatetide::steps {

namespace asio = boost::asio;

namespace {

/// A stream without any event for this long goes on elsewhere.
constexpr std::chrono::milliseconds kStreamIdleTimeout{ 1500 };
constexpr std::chrono::milliseconds kBusyPause{ 40 };
constexpr std::chrono::milliseconds kBrokenPause{ 100 };
constexpr std::chrono::milliseconds kScorePause{ 60 };
/// A replica that broke a stream gets no new item for this long.
constexpr std::chrono::milliseconds kBrokenSuspension{ 1000 };
/// Longest time that a replica is given for one stream.
constexpr std::chrono::seconds kMaxStreamTime{ 30 };
/// Status of a failed attempt at an item.
constexpr unsigned kFailedStatus = 500;
/// Status of an item that no attempt can complete.
constexpr unsigned kImpossibleStatus = 422;

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void StepRunner::StartWaitingItems()
{
  std::vector<OwnedStepPtr> steps;
  for (const auto& [id, step] : mSteps) {
    if (!step->mStopped) {
      steps.push_back(step);
    }
  }
  std::sort(
    steps.begin(), steps.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft->mRecord.mSubmitted < aRight->mRecord.mSubmitted;
    });
  for (const OwnedStepPtr& step : steps) {
    PumpStep(step);
  }
}

/// Started samples go first: their group waits for them already.
bool StepRunner::PumpStep(const OwnedStepPtr& aStep)
{
  const fleet::Route* found = RouteOf(*aStep);
  if (found == nullptr || found->mServices.empty()) {
    return false;
  }
  const fleet::Route route = *found;
  const TimePoint now = mContext.mClock();
  for (const bool started : { true, false }) {
    for (const size_t index : aStep->mOrder) {
      const ItemWork& work = aStep->mWork[index];
      if (work.mState != ItemWork::State::Waiting || work.mNotBefore > now ||
          work.mText.Events().empty() == started) {
        continue;
      }
      if (!StartItem(aStep, index, route)) {
        return false;
      }
    }
  }
  return true;
}

bool StepRunner::MayRun(const OwnedStep& aStep,
                        const fleet::Replica& aReplica) const
{
  const auto version = aReplica.mVersions.find(aStep.mRecord.mModel);
  return version != aReplica.mVersions.end() &&
         version->second >= aStep.mRecord.mMinVersion &&
         mContext.mPool.Usable(aReplica);
}

bool StepRunner::StartItem(const OwnedStepPtr& aStep,
                           size_t aIndex,
                           const fleet::Route& aRoute)
{
  std::vector<policy::ItemCandidate> candidates;
  std::vector<const fleet::Replica*> replicas;
  const auto& prompts = aStep->mPromptReplicas[aStep->mItems[aIndex].mGroup];
  for (const auto& [id, replica] : mContext.mView.Replicas()) {
    const auto serves = [&](const fleet::WeightedService& aService) {
      return aService.mService == replica.mService;
    };
    if (std::none_of(
          aRoute.mServices.begin(), aRoute.mServices.end(), serves) ||
        !MayRun(*aStep, replica)) {
      continue;
    }
    policy::ItemCandidate candidate;
    candidate.mRunning = mContext.mPool.EstimatedRequests(replica);
    candidate.mSlots = replica.mSlots;
    candidate.mSameRegion =
      mContext.mView.RegionOf(replica.mAvailabilityZone) ==
      mContext.mView.Region();
    candidate.mPromptCached = prompts.contains(id);
    candidate.mSlowness = mSpeeds.Slowness(id);
    candidates.push_back(candidate);
    replicas.push_back(&replica);
  }
  const auto chosen = policy::PlaceItem(candidates, mPlacement);
  if (!chosen) {
    return false;
  }
  const fleet::Replica& replica = *replicas[*chosen];
  auto use = mContext.mPool.Take(replica.mId);
  if (!use) {
    return false;
  }
  Event("item_placed", LogLevel::Debug)
    .Field("step", aStep->mRecord.mId)
    .Field("item", aStep->mItems[aIndex].mId)
    .Field("replica", replica.mId)
    .Field("running", candidates[*chosen].mRunning)
    .Field("slowness", candidates[*chosen].mSlowness)
    .Field("events",
           static_cast<uint64_t>(aStep->mWork[aIndex].mText.Events().size()))
    .Write();
  aStep->mPromptReplicas[aStep->mItems[aIndex].mGroup].insert(replica.mId);
  ItemWork& work = aStep->mWork[aIndex];
  work.mState = ItemWork::State::Running;
  work.mReplica = replica.mId;
  work.mAbort = std::make_shared<http::AbortHandle>();
  work.mStreamStart = mContext.mClock();
  work.mStreamEvents = 0;
  if (work.mStreams++ == 0) {
    work.mFirstStart = work.mStreamStart;
  }
  asio::co_spawn(mContext.mExecutor,
                 RunItem(aStep, aIndex, std::move(*use), aRoute),
                 asio::detached);
  return true;
}

bool StepRunner::TakeEvent(OwnedStep& aStep,
                           size_t aIndex,
                           const fleet::Route& aRoute,
                           const fleet::Replica& aReplica,
                           request::StreamEvent aEvent)
{
  ItemWork& work = aStep.mWork[aIndex];
  if (aStep.mStopped || aEvent.mNumber != work.mText.Events().size() + 1) {
    return false;
  }
  if (aEvent.mVersion) {
    const bool known = std::find(work.mVersions.begin(),
                                 work.mVersions.end(),
                                 *aEvent.mVersion) != work.mVersions.end();
    const bool tooOld = *aEvent.mVersion < aStep.mRecord.mMinVersion;
    const bool mixed =
      aRoute.mSingleVersion && !known && !work.mVersions.empty();
    if (tooOld || mixed) {
      Event("sample_restarted", LogLevel::Warning)
        .Field("item", aStep.mItems[aIndex].mId)
        .Field("replica", aReplica.mId)
        .Field("version", *aEvent.mVersion)
        .Field("reason", tooOld ? "version too old" : "version changed")
        .Write();
      work.mText.Clear();
      work.mVersions.clear();
      return false;
    }
    if (!known) {
      work.mVersions.push_back(*aEvent.mVersion);
    }
  }
  if (!work.mText.Append(std::move(aEvent.mData))) {
    Event("sample_restarted", LogLevel::Warning)
      .Field("item", aStep.mItems[aIndex].mId)
      .Field("replica", aReplica.mId)
      .Field("events", static_cast<uint64_t>(work.mText.Events().size()))
      .Field("reason", "text without end")
      .Write();
    work.mText.Clear();
    work.mVersions.clear();
    return false;
  }
  if (work.mStreamEvents++ == 0) {
    // Counted from the first event, which includes the prompt.
    work.mStreamStart = mContext.mClock();
  }
  return true;
}

void StepRunner::ObserveSpeed(const std::string& aReplicaId,
                              const ItemWork& aWork)
{
  if (aWork.mStreamEvents >= 2) {
    mSpeeds.Observe(aReplicaId,
                    Seconds(mContext.mClock() - aWork.mStreamStart) /
                      (aWork.mStreamEvents - 1));
  }
}

request::UpstreamRequest StepRunner::MakeRequest(const OwnedStep& aStep,
                                                 size_t aIndex,
                                                 std::string aReplicaId) const
{
  const StepItem& item = aStep.mItems[aIndex];
  const ItemWork& work = aStep.mWork[aIndex];
  request::UpstreamRequest request;
  request.mId = item.mId;
  request.mTarget = item.mPath;
  request.mHeaders = item.mHeaders;
  request.mHeaders.push_back({ "host", aStep.mRecord.mHost });
  request.mBody = item.mBody;
  request.mAccount = aStep.mRecord.mAccount;
  request.mReplicaId = std::move(aReplicaId);
  request.mDeadline = mContext.mClock() + kMaxStreamTime;
  request.mFreshConnection = work.mFailures > 0;
  if (!work.mText.Events().empty()) {
    request.mResumeAfter = static_cast<uint32_t>(work.mText.Events().size());
  }
  return request;
}

Awaitable<void> StepRunner::RunItem(OwnedStepPtr aStep,
                                    size_t aIndex,
                                    request::ReplicaPool::Use aUse,
                                    fleet::Route aRoute)
{
  ++mRunningItems;
  ItemWork& work = aStep->mWork[aIndex];
  const fleet::Replica& replica = aUse.Replica();
  request::StreamOptions options;
  options.mAbort = work.mAbort;
  options.mIdleTimeout = kStreamIdleTimeout;
  options.mSink =
    [this, aStep, aIndex, &aRoute, &replica](request::StreamEvent aEvent) {
      return TakeEvent(*aStep, aIndex, aRoute, replica, std::move(aEvent));
    };
  request::UpstreamRequest request = MakeRequest(*aStep, aIndex, replica.mId);
  const auto answer = co_await mContext.mStream(
    replica.mEndpoint, std::move(request), std::move(options));
  work.mAbort.reset();
  ObserveSpeed(replica.mId, work);
  --mRunningItems;
  if (aStep->mStopped) {
    co_return;
  }
  work.mState = ItemWork::State::Waiting;
  if (answer.has_error()) {
    TakeBreak(*aStep, aIndex, replica, answer.error());
  } else {
    TakeAnswer(aStep, aIndex, replica, aRoute, *answer);
  }
  StartWaitingItems();
}

/// The stream broke, or was ended to go on elsewhere.
void StepRunner::TakeBreak(OwnedStep& aStep,
                           size_t aIndex,
                           const fleet::Replica& aReplica,
                           const Error& aError)
{
  ItemWork& work = aStep.mWork[aIndex];
  Event("item_interrupted", LogLevel::Warning)
    .Field("step", aStep.mRecord.mId)
    .Field("item", aStep.mItems[aIndex].mId)
    .Field("replica", aReplica.mId)
    .Field("events", static_cast<uint64_t>(work.mText.Events().size()))
    .Field("error", FormatError(aError))
    .Write();
  if (aError.mKind != ErrorKind::Canceled) {
    mContext.mPool.Suspend(aReplica.mId, kBrokenSuspension);
  }
  work.mNotBefore = mContext.mClock();
  if (work.mStreamEvents == 0) {
    work.mNotBefore += kBrokenPause;
  }
}

/// A whole answer: the text is complete, or the replica refused or failed.
void StepRunner::TakeAnswer(const OwnedStepPtr& aStep,
                            size_t aIndex,
                            const fleet::Replica& aReplica,
                            const fleet::Route& aRoute,
                            const request::UpstreamResponse& aAnswer)
{
  ItemWork& work = aStep->mWork[aIndex];
  if (aAnswer.mLoad) {
    mContext.mPool.Report(aReplica.mId, *aAnswer.mLoad);
  }
  if (aAnswer.Succeeded()) {
    work.mState = ItemWork::State::Scoring;
    work.mTextEnd = mContext.mClock();
    asio::co_spawn(mContext.mExecutor, Score(aStep, aIndex), asio::detached);
    return;
  }
  if (aAnswer.mNotRun || aAnswer.mMisdirected) {
    mContext.mPool.Suspend(aReplica.mId, kBusyPause);
    return;
  }
  work.mFailures += aAnswer.mStatus == kFailedStatus ? 1 : 0;
  if (aAnswer.mStatus == kImpossibleStatus ||
      work.mFailures >= aRoute.mMaxAttempts) {
    Finish(aStep, aIndex, ItemState::Dead, {});
    return;
  }
  work.mNotBefore = mContext.mClock() + kBrokenPause;
}

/// Calls the scoring service until it has scored the text, or has failed it
/// as often as its route allows.
Awaitable<void> StepRunner::Score(OwnedStepPtr aStep, size_t aIndex)
{
  const auto& scoring = aStep->mItems[aIndex].mScoring;
  if (!scoring) {
    Finish(aStep, aIndex, ItemState::Completed, {});
    co_return;
  }
  const auto failures = std::make_shared<unsigned>(0);
  asio::steady_timer timer(mContext.mExecutor);
  while (!aStep->mStopped) {
    const auto& config = mContext.mView.Config();
    const fleet::Route* route =
      config ? config->FindRoute(scoring->mHost, scoring->mPath) : nullptr;
    if (route != nullptr) {
      request::ForwardRequest request;
      request.mRoute = *route;
      request.mPrototype.mId = scoring->mId;
      request.mPrototype.mTarget = scoring->mPath;
      request.mPrototype.mHeaders.push_back({ "host", scoring->mHost });
      request.mPrototype.mBody = scoring->mBody;
      request.mPrototype.mFreshConnection = *failures > 0;
      request.mDeadline = mContext.mClock() + route->mTimeout;
      request.mOnRejected = [failures] { ++*failures; };
      const unsigned allowed = route->mMaxAttempts;
      const auto answer = co_await mContext.mForwarder.Run(std::move(request));
      if (aStep->mStopped) {
        co_return;
      }
      if (answer.has_value() && answer->Succeeded()) {
        Finish(aStep, aIndex, ItemState::Completed, answer->mSignature);
        co_return;
      }
      if (*failures >= allowed) {
        Event("sample_not_scored", LogLevel::Warning)
          .Field("item", aStep->mItems[aIndex].mId)
          .Field("failures", *failures)
          .Write();
        Finish(aStep, aIndex, ItemState::Dead, {});
        co_return;
      }
    }
    timer.expires_after(kScorePause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

/// Streams on slow replicas go on at faster ones with free slots.
void StepRunner::MoveStragglers(const OwnedStepPtr& aStep)
{
  // The item goes to any of them, so the fastest is no measure.
  std::vector<double> free;
  for (const auto& [id, replica] : mContext.mView.Replicas()) {
    if (MayRun(*aStep, replica) &&
        mContext.mPool.EstimatedRequests(replica) + 1.0 <= replica.mSlots) {
      free.push_back(mSpeeds.Slowness(id));
    }
  }
  const double typical = mSpeeds.MedianSecondsPerEvent();
  if (free.empty() || typical <= 0.0) {
    return;
  }
  const auto middle =
    free.begin() + static_cast<std::ptrdiff_t>(free.size() / 2);
  std::nth_element(free.begin(), middle, free.end());
  const double expected = *middle;
  for (ItemWork& work : aStep->mWork) {
    if (work.mState != ItemWork::State::Running || !work.mAbort ||
        work.mStreamEvents < 2) {
      continue;
    }
    policy::ItemProgress progress;
    progress.mSecondsPerEvent =
      Seconds(mContext.mClock() - work.mStreamStart) / (work.mStreamEvents - 1);
    progress.mEvents = work.mText.Events().size();
    progress.mMoveCount = work.mStreams - 1;
    if (policy::ShouldMoveItem(progress, expected * typical, mMoves)) {
      ObserveSpeed(work.mReplica, work);
      Event("item_moved")
        .Field("step", aStep->mRecord.mId)
        .Field("replica", work.mReplica)
        .Field("slowness", progress.mSecondsPerEvent / typical)
        .Field("expected", expected)
        .Field("events", static_cast<uint64_t>(progress.mEvents))
        .Field("moves", progress.mMoveCount)
        .Write();
      (*work.mAbort)();
    }
  }
}

} // namespace agatetide::steps
