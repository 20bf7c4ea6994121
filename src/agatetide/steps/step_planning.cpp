#include "agatetide/steps/step_runner.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

/// The part of StepRunner that decides which waiting items start.
namespace agatetide::steps {

namespace asio = boost::asio;

namespace {

/// A plan is made again after this time, since running items progress.
constexpr std::chrono::milliseconds kPlanLifetime{ 400 };
/// Time per event before any was measured.
constexpr double kUsualSecondsPerEvent = 0.04;
/// Steps of routes without a deadline are planned as if they were due this long
/// after their submission.
constexpr std::chrono::hours kNoDeadline{ 1 };
/// Groups may come again for as long as a trainer keeps them. A group that was
/// forgotten is still planned by its place in the list.
constexpr std::chrono::seconds kSeenGroupLifetime{ 120 };
/// Bounds the memory for seen groups to a few megabytes.
constexpr size_t kMaxSeenGroups = size_t{ 1 } << 15U;
constexpr size_t kMaxReturningModels = 1000;
/// Spare groups of a step are logged at most this often.
constexpr std::chrono::seconds kSpareLogInterval{ 1 };

/// Streams with fewer events are planned at the usual speed.
constexpr unsigned kMinMeasuredEvents = 10;
/// Bounds the slowness of a stream that gets no events for a moment.
constexpr double kMaxSlowness = 10.0;

policy::ItemPhase PhaseOf(ItemRun::State aState)
{
  switch (aState) {
    case ItemRun::State::Waiting:
      return policy::ItemPhase::Waiting;
    case ItemRun::State::Running:
      return policy::ItemPhase::Running;
    case ItemRun::State::Scoring:
    case ItemRun::State::Done:
      break;
  }
  return policy::ItemPhase::Finished;
}

/// Time per event of the item's stream relative to the usual one, at least 1.
double SlownessOf(const ItemRun& aRun,
                  TimePoint aNow,
                  double aUsualSecondsPerEvent)
{
  if (aRun.mState != ItemRun::State::Running ||
      aRun.mStreamEventCount < kMinMeasuredEvents) {
    return 1.0;
  }
  return std::clamp(Seconds(aNow - aRun.mStreamStart) / aRun.mStreamEventCount /
                      aUsualSecondsPerEvent,
                    1.0,
                    kMaxSlowness);
}

const std::string& NameOf(const OwnedStep& aStep, size_t aGroup)
{
  return aStep.mItems[aStep.mGroups[aGroup].mItems.front()].mGroup;
}

} // namespace

/// Lists the groups of a step, and marks those that were part of another step
/// of this host.
void StepRunner::RecordGroups(OwnedStep& aStep)
{
  const TimePoint now = mContext.mClock();
  std::erase_if(mSeenGroups, [&](const auto& aItem) {
    return now - aItem.second.mLastSeen > kSeenGroupLifetime;
  });
  const StepRecord& record = aStep.mRecord;
  std::map<std::string_view, size_t> indices;
  for (size_t i = 0; i < aStep.mItems.size(); ++i) {
    const std::string& name = aStep.mItems[i].mGroup;
    const auto [index, isNew] = indices.emplace(name, aStep.mGroups.size());
    if (isNew) {
      aStep.mGroups.emplace_back();
      std::string key = record.mAccount;
      key.append("\n").append(record.mModel).append("\n").append(name);
      const auto seen = mSeenGroups.find(key);
      if (seen != mSeenGroups.end()) {
        aStep.mGroups.back().mSeen = seen->second.mFirstStep != record.mId;
        if (aStep.mGroups.back().mSeen &&
            mReturningModels.size() < kMaxReturningModels) {
          mReturningModels.emplace(record.mAccount, record.mModel);
        }
        seen->second.mLastSeen = now;
      } else if (mSeenGroups.size() < kMaxSeenGroups) {
        mSeenGroups.emplace(std::move(key), SeenGroup{ record.mId, now });
      }
    }
    aStep.mGroups[index->second].mItems.push_back(i);
  }
}

/// Whether a service of the step's route reports a pace.
bool StepRunner::UsesSchedule(const OwnedStep& aStep) const
{
  const fleet::Route* route = FindRoute(aStep);
  return route != nullptr &&
         std::any_of(route->mServices.begin(),
                     route->mServices.end(),
                     [&](const fleet::WeightedService& aService) {
                       return mContext.mPool.ReportsPace(aService.mService);
                     });
}

void StepRunner::StartWaitingItems()
{
  if (mStartPassPending) {
    return;
  }
  asio::post(mContext.mExecutor, [this] {
    mStartPassPending = false;
    RunStartPass();
  });
  mStartPassPending = true;
}

/// Starts waiting items: those of services that report a pace in the order of
/// policy::StartOrder(), the others by the submission of their steps. Nothing
/// that it calls may change the steps, their plans or the replicas, since it
/// walks them; streams begin after it, see StreamItem().
void StepRunner::RunStartPass()
{
  std::vector<OwnedStepPtr> steps;
  for (const auto& [id, step] : mSteps) {
    if (!step->mStopped) {
      steps.push_back(step);
    }
  }
  std::sort(
    steps.begin(), steps.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft->mRecord.mSubmittedMs < aRight->mRecord.mSubmittedMs;
    });
  std::vector<OwnedStepPtr> scheduled;
  for (const OwnedStepPtr& step : steps) {
    if (UsesSchedule(*step)) {
      scheduled.push_back(step);
    } else {
      StartItemsOfStep(step);
    }
  }
  StartScheduledItems(scheduled);
  mEndedStreams.clear();
}

/// Plans a step again if the state of an item has changed or the plan is old.
/// Precondition: the step's route exists.
void StepRunner::UpdatePlan(OwnedStep& aStep)
{
  const TimePoint now = mContext.mClock();
  if (!aStep.mPlanChanged && now - aStep.mPlannedAt < kPlanLifetime) {
    return;
  }
  const double measured = mSpeeds.MedianSecondsPerEvent();
  const double usual = measured > 0.0 ? measured : kUsualSecondsPerEvent;
  std::vector<policy::ScheduledItem> items;
  items.reserve(aStep.mItems.size());
  for (size_t i = 0; i < aStep.mItems.size(); ++i) {
    const ItemRun& run = aStep.mRuns[i];
    items.push_back(
      { mEventLength.ExpectedEvents(aStep.mItems[i].mExpectedTokens),
        static_cast<double>(run.mText.Events().size()),
        PhaseOf(run.mState),
        SlownessOf(run, now, usual) });
  }
  const Milliseconds timeout = FindRoute(aStep)->mResultTimeout;
  const Milliseconds dueIn =
    Milliseconds(aStep.mRecord.mSubmittedMs - mContext.mWallClock()) +
    (timeout > Milliseconds::zero() ? timeout : Milliseconds(kNoDeadline));
  policy::ScheduledStep step;
  step.mItems = items;
  step.mGroups = aStep.mGroups;
  step.mDesired = aStep.mRecord.mDesiredGroups;
  step.mNow = Seconds(now.time_since_epoch());
  step.mDue = step.mNow + Seconds(dueIn);
  step.mSecondsPerEvent = usual;
  step.mGroupsReturn = mReturningModels.contains(
    std::pair(aStep.mRecord.mAccount, aStep.mRecord.mModel));
  const bool wasFinished = aStep.mPlan.mNeededFinished;
  aStep.mPlan = policy::PlanStep(step, mOrderPolicy);
  aStep.mPlannedAt = now;
  aStep.mPlanChanged = false;
  if (aStep.mPlan.mNeededFinished && !wasFinished) {
    aStep.mNeededFinishedAt = now;
  }
  LogSpareGroups(aStep);
}

/// Logs which groups are not needed now, when they have changed.
void StepRunner::LogSpareGroups(OwnedStep& aStep)
{
  const TimePoint now = mContext.mClock();
  std::vector<size_t> spare;
  spare.reserve(aStep.mPlan.mSpare.size());
  for (const policy::SpareGroup& group : aStep.mPlan.mSpare) {
    spare.push_back(group.mGroup);
  }
  std::sort(spare.begin(), spare.end());
  if (spare == aStep.mLoggedSpare ||
      now - aStep.mSpareLoggedAt < kSpareLogInterval) {
    return;
  }
  std::string names;
  for (const size_t group : spare) {
    names.append(names.empty() ? "" : " ").append(NameOf(aStep, group));
  }
  aStep.mLoggedSpare = std::move(spare);
  aStep.mSpareLoggedAt = now;
  LogEvent("groups_not_needed")
    .Field("step", aStep.mRecord.mId)
    .Field("groups", names)
    .Field("total", static_cast<uint64_t>(aStep.mGroups.size()))
    .Field("desired", aStep.mRecord.mDesiredGroups)
    .Field("needed_s", aStep.mPlan.mNeededSeconds)
    .Field("due_s", aStep.mPlan.mDue - Seconds(now.time_since_epoch()))
    .Write();
}

/// Starts items of the given steps, which are in the order of submission.
void StepRunner::StartScheduledItems(std::span<const OwnedStepPtr> aSteps)
{
  std::vector<const policy::StepPlan*> plans;
  plans.reserve(aSteps.size());
  for (const OwnedStepPtr& step : aSteps) {
    UpdatePlan(*step);
    plans.push_back(&step->mPlan);
  }
  StartNeededItems(aSteps, plans);
  if (!policy::NeededItemsWait(plans)) {
    for (const OwnedStepPtr& step : aSteps) {
      StartSpareGroups(step);
    }
  }
}

/// Starts needed items in the order of their latest start. Once an item without
/// text cannot be placed, others of its step are not tried, except for those
/// with a text, since not every replica can continue every text.
void StepRunner::StartNeededItems(
  std::span<const OwnedStepPtr> aSteps,
  std::span<const policy::StepPlan* const> aPlans)
{
  const TimePoint now = mContext.mClock();
  std::vector<bool> full(aSteps.size());
  for (const policy::PlannedStart& next : policy::StartOrder(aPlans)) {
    const OwnedStepPtr& step = aSteps[next.mStep];
    const ItemRun& run = step->mRuns[next.mItem];
    const bool hasText = !run.mText.Events().empty();
    if (run.mState != ItemRun::State::Waiting || run.mNotBefore > now ||
        (full[next.mStep] && !hasText)) {
      continue;
    }
    const fleet::Route route = *FindRoute(*step);
    if (!StartItem(step, next.mItem, route) && !hasText) {
      full[next.mStep] = true;
    }
  }
}

/// Starts groups that are not needed now as far as policy::ShouldStartSpare()
/// allows. Precondition: no needed item of a step that can meet its deadline
/// waits.
void StepRunner::StartSpareGroups(const OwnedStepPtr& aStep)
{
  if (aStep->mPlan.mSpare.empty()) {
    return;
  }
  double slots = 0.0;
  double freeSlots = 0.0;
  const fleet::Route route = *FindRoute(*aStep);
  for (const auto& [id, replica] : mContext.mView.Replicas()) {
    if (route.Allows(replica.mService) && MayRun(*aStep, replica)) {
      slots += replica.mSlots;
      freeSlots += std::max(
        0.0, replica.mSlots - mContext.mPool.EstimatedRequests(replica));
    }
  }
  const TimePoint now = mContext.mClock();
  for (const policy::SpareGroup& group : aStep->mPlan.mSpare) {
    if (policy::ShouldStartSpare(aStep->mPlan,
                                 group,
                                 freeSlots,
                                 slots,
                                 Seconds(now.time_since_epoch()),
                                 Seconds(now - aStep->mNeededFinishedAt))) {
      const size_t started = StartGroup(aStep, group, route);
      freeSlots -= static_cast<double>(started);
      if (started == 0) {
        return;
      }
    }
  }
}

/// Starts the waiting items of a spare group; returns how many were started.
size_t StepRunner::StartGroup(const OwnedStepPtr& aStep,
                              const policy::SpareGroup& aGroup,
                              const fleet::Route& aRoute)
{
  const TimePoint now = mContext.mClock();
  size_t started = 0;
  for (const size_t item : aGroup.mItems) {
    const ItemRun& run = aStep->mRuns[item];
    if (run.mState == ItemRun::State::Waiting && run.mNotBefore <= now &&
        StartItem(aStep, item, aRoute)) {
      ++started;
    }
  }
  if (started > 0) {
    LogEvent("spare_group_started")
      .Field("step", aStep->mRecord.mId)
      .Field("group", NameOf(*aStep, aGroup.mGroup))
      .Field("items", static_cast<uint64_t>(started))
      .Field("expected_s", aGroup.mSeconds)
      .Field("needed_s", aStep->mPlan.mNeededSeconds)
      .Write();
  }
  return started;
}

} // namespace agatetide::steps
