#include "agatetide/steps/step_runner.hpp"

#include "agatetide/base/event_log.hpp"

#include <algorithm>

/// The part of StepRunner that moves items from slow replicas to faster ones.
namespace agatetide::steps {

namespace {

/// An item that needs at least this share of the time that its step still needs
/// is one of those that the trainer waits for last.
constexpr double kCriticalShare = 0.6;

} // namespace

/// The median slowness of the replicas with a free slot, by software version.
/// An item may be placed on any of them that fits, so its replica is compared
/// with the median and not with the fastest.
std::map<std::string, double, std::less<>> StepRunner::MedianSlowness(
  const OwnedStep& aStep) const
{
  std::map<std::string, std::vector<double>, std::less<>> slownesses;
  for (const auto& [id, replica] : mContext.mView.Replicas()) {
    if (MayRun(aStep, replica) &&
        mContext.mPool.EstimatedRequests(replica) + 1.0 <= replica.mSlots) {
      slownesses[replica.mSoftwareVersion].push_back(mSpeeds.Slowness(id));
    }
  }
  std::map<std::string, double, std::less<>> medians;
  for (auto& [version, values] : slownesses) {
    const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    medians[version] = *middle;
  }
  return medians;
}

/// Whether the item is one of the last that its step waits for.
bool StepRunner::IsCritical(const OwnedStep& aStep, size_t aIndex) const
{
  const ItemRun& run = aStep.mRuns[aIndex];
  const double events = static_cast<double>(run.mText.Events().size());
  const double expected =
    mEventLength.ExpectedEvents(aStep.mItems[aIndex].mExpectedTokens);
  const double remainingSeconds =
    mSpeeds.MedianSecondsPerEvent() * std::max(expected - events, 0.0);
  return aStep.mPlan.mNeededSeconds > 0.0 &&
         remainingSeconds >= kCriticalShare * aStep.mPlan.mNeededSeconds;
}

/// Cancels the stream of an item, so that it resumes on another replica.
void StepRunner::CancelToMove(OwnedStep& aStep,
                              size_t aIndex,
                              const MoveReason& aReason)
{
  ItemRun& run = aStep.mRuns[aIndex];
  ObserveSpeed(run.mReplicaId, run);
  LogEvent("item_moved")
    .Field("step", aStep.mRecord.mId)
    .Field("item", aStep.mItems[aIndex].mId)
    .Field("replica", run.mReplicaId)
    .Field("seconds_per_event", aReason.mSecondsPerEvent)
    .Field("other_seconds_per_event", aReason.mOtherSecondsPerEvent)
    .Field("events", static_cast<uint64_t>(run.mText.Events().size()))
    .Field("saved_s", aReason.mBenefit.mSavedSeconds)
    .Field("cost_s", aReason.mBenefit.mCostSeconds)
    .Field("moves", run.mMoveCount)
    .Field("critical", aReason.mCritical)
    .Write();
  ++run.mMoveCount;
  run.mWindow.Clear();
  (*run.mCancel)();
}

/// Moves an item that its step waits for as soon as that saves time. Only few
/// items are so long, and each second of them is one of the trainer.
void StepRunner::MoveCriticalItem(OwnedStep& aStep,
                                  size_t aIndex,
                                  double aOtherSecondsPerEvent)
{
  ItemRun& run = aStep.mRuns[aIndex];
  policy::ItemProgress progress;
  progress.mSecondsPerEvent =
    Seconds(mContext.mClock() - run.mStreamStart) / (run.mStreamEventCount - 1);
  progress.mEvents = run.mText.Events().size();
  progress.mMoveCount = run.mMoveCount;
  if (!policy::ShouldMoveItem(progress, aOtherSecondsPerEvent, mMoveOptions)) {
    return;
  }
  CancelToMove(aStep,
               aIndex,
               { progress.mSecondsPerEvent, aOtherSecondsPerEvent, {}, true });
}

/// Cancels the stream of an item of a service that reports a pace if a move
/// saves more than it costs; see policy::ShouldMovePacedItem().
void StepRunner::MovePacedItem(OwnedStep& aStep,
                               size_t aIndex,
                               double aOtherSecondsPerEvent)
{
  ItemRun& run = aStep.mRuns[aIndex];
  if (IsCritical(aStep, aIndex)) {
    MoveCriticalItem(aStep, aIndex, aOtherSecondsPerEvent);
    return;
  }
  run.mWindow.Observe(Seconds(mContext.mClock() - run.mStreamStart),
                      run.mStreamEventCount);
  if (!run.mWindow.IsFull()) {
    return;
  }
  policy::PacedItemProgress progress;
  progress.mSecondsPerEvent = run.mWindow.SecondsPerEvent();
  progress.mEvents = run.mText.Events().size();
  progress.mExpectedEvents =
    mEventLength.ExpectedEvents(aStep.mItems[aIndex].mExpectedTokens);
  progress.mMoveCount = run.mMoveCount;
  progress.mPromptSeconds = run.mPromptSeconds;
  if (!policy::ShouldMovePacedItem(
        progress, aOtherSecondsPerEvent, mPacedMoveOptions)) {
    return;
  }
  CancelToMove(
    aStep,
    aIndex,
    { progress.mSecondsPerEvent,
      aOtherSecondsPerEvent,
      policy::EstimateMove(progress, aOtherSecondsPerEvent, mPacedMoveOptions),
      false });
}

/// Cancels streams on slow replicas if faster ones have free slots, so that
/// their items resume there.
void StepRunner::MoveStragglers(const OwnedStepPtr& aStep)
{
  const auto medians = MedianSlowness(*aStep);
  const double medianSecondsPerEvent = mSpeeds.MedianSecondsPerEvent();
  if (medians.empty() || medianSecondsPerEvent <= 0.0) {
    return;
  }
  const bool paced = UsesSchedule(*aStep);
  for (size_t i = 0; i < aStep->mRuns.size(); ++i) {
    ItemRun& run = aStep->mRuns[i];
    const auto median = medians.find(run.mSoftwareVersion);
    if (run.mState != ItemRun::State::Running || !run.mCancel ||
        run.mStreamEventCount < 2 || median == medians.end()) {
      continue;
    }
    const double expected = median->second;
    if (paced) {
      MovePacedItem(*aStep, i, expected * medianSecondsPerEvent);
      continue;
    }
    policy::ItemProgress progress;
    progress.mSecondsPerEvent = Seconds(mContext.mClock() - run.mStreamStart) /
                                (run.mStreamEventCount - 1);
    progress.mEvents = run.mText.Events().size();
    progress.mMoveCount = run.mStreamCount - 1;
    if (policy::ShouldMoveItem(
          progress, expected * medianSecondsPerEvent, mMoveOptions)) {
      ObserveSpeed(run.mReplicaId, run);
      LogEvent("item_moved")
        .Field("step", aStep->mRecord.mId)
        .Field("replica", run.mReplicaId)
        .Field("slowness", progress.mSecondsPerEvent / medianSecondsPerEvent)
        .Field("expected", expected)
        .Field("events", static_cast<uint64_t>(progress.mEvents))
        .Field("moves", progress.mMoveCount)
        .Write();
      (*run.mCancel)();
    }
  }
}

} // namespace agatetide::steps
