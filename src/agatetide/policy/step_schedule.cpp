#include "agatetide/policy/step_schedule.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace agatetide::policy {

namespace {

/// Expected rest of a text that is longer than its estimate, as a share of its
/// length: lengths have a heavy tail.
constexpr double kOverrunShare = 0.25;
/// Estimate for items without one in steps where no item has one.
constexpr double kDefaultEvents = 20.0;
/// A group misses the deadline for certain if this share of its expected time
/// exceeds the time left, since estimates are inexact.
constexpr double kCertainShare = 0.8;
/// Items of groups that were seen before, or are half complete, start as if the
/// step were due this much earlier.
constexpr double kPreferenceSeconds = 1.0;
/// Share of the slots that stays free when a spare group starts, for needed
/// items of steps that arrive meanwhile.
constexpr double kReservedShare = 0.1;
/// A spare group starts if it is expected to take at most this share of the
/// time of the needed groups, since estimates are inexact.
constexpr double kSpareTimeShare = 0.8;
/// Usual time from the last needed result to the trainer's end of the step,
/// with a margin.
constexpr double kEndGraceSeconds = 1.5;

struct GroupState
{
  size_t mIndex = 0;
  /// The trainer waits for it whatever other groups are complete.
  bool mRequired = false;
  /// It was seen before, or half of its items are finished.
  bool mPreferred = false;
  /// Expected events left: of all items, and of the longest.
  double mWork = 0.0;
  double mLongest = 0.0;
  bool mMissesDeadline = false;
};

/// Expected events of items without an estimate.
double UsualEvents(std::span<const ScheduledItem> aItems)
{
  double sum = 0.0;
  size_t count = 0;
  for (const ScheduledItem& item : aItems) {
    sum += item.mExpectedEvents;
    count += item.mExpectedEvents > 0.0 ? 1 : 0;
  }
  return count == 0 ? kDefaultEvents : sum / static_cast<double>(count);
}

/// Expected events left, by item; more for slow streams, by the usual events in
/// the time that they need.
std::vector<double> RemainingEvents(std::span<const ScheduledItem> aItems)
{
  const double usual = UsualEvents(aItems);
  std::vector<double> remaining;
  remaining.reserve(aItems.size());
  for (const ScheduledItem& item : aItems) {
    const double expected =
      item.mExpectedEvents > 0.0 ? item.mExpectedEvents : usual;
    remaining.push_back(
      item.mPhase == ItemPhase::Finished
        ? 0.0
        : item.mSlowness *
            std::max(
              { 1.0, expected - item.mEvents, item.mEvents * kOverrunShare }));
  }
  return remaining;
}

std::vector<GroupState> MeasureGroups(const ScheduledStep& aStep,
                                      std::span<const double> aRemaining)
{
  std::vector<GroupState> groups;
  groups.reserve(aStep.mGroups.size());
  for (size_t i = 0; i < aStep.mGroups.size(); ++i) {
    const ScheduledGroup& group = aStep.mGroups[i];
    GroupState state;
    state.mIndex = i;
    state.mRequired =
      aStep.mGroupsReturn || group.mSeen || i < aStep.mDesired / 2;
    size_t finished = 0;
    for (const size_t item : group.mItems) {
      state.mWork += aRemaining[item];
      state.mLongest = std::max(state.mLongest, aRemaining[item]);
      finished += aStep.mItems[item].mPhase == ItemPhase::Finished ? 1 : 0;
    }
    state.mPreferred = group.mSeen || finished * 2 >= group.mItems.size();
    state.mMissesDeadline =
      kCertainShare * state.mLongest * aStep.mSecondsPerEvent >
      aStep.mDue - aStep.mNow;
    groups.push_back(state);
  }
  return groups;
}

size_t DesiredGroups(const ScheduledStep& aStep)
{
  return aStep.mDesired == 0 ? aStep.mGroups.size()
                             : std::min(aStep.mDesired, aStep.mGroups.size());
}

/// Sorts needed groups to the front and returns their number. The groups that
/// may be resubmitted are needed in addition to the desired ones, since the
/// trainer does not wait for them if they are new.
size_t SelectNeeded(const ScheduledStep& aStep,
                    std::vector<GroupState>& aGroups)
{
  const auto rank = [&](const GroupState& aGroup) {
    return std::tuple(!aStep.mGroups[aGroup.mIndex].mSeen,
                      aGroup.mMissesDeadline,
                      aGroup.mLongest,
                      aGroup.mWork,
                      aGroup.mIndex);
  };
  std::sort(aGroups.begin(),
            aGroups.end(),
            [&](const GroupState& aLeft, const GroupState& aRight) {
              return rank(aLeft) < rank(aRight);
            });
  const auto end = std::stable_partition(
    aGroups.begin() + static_cast<std::ptrdiff_t>(DesiredGroups(aStep)),
    aGroups.end(),
    [](const GroupState& aGroup) { return aGroup.mRequired; });
  return static_cast<size_t>(end - aGroups.begin());
}

std::vector<size_t> WaitingLongestFirst(const ScheduledStep& aStep,
                                        size_t aGroup,
                                        std::span<const double> aRemaining)
{
  std::vector<size_t> waiting;
  for (const size_t item : aStep.mGroups[aGroup].mItems) {
    if (aStep.mItems[item].mPhase == ItemPhase::Waiting) {
      waiting.push_back(item);
    }
  }
  std::stable_sort(
    waiting.begin(), waiting.end(), [&](size_t aLeft, size_t aRight) {
      return aRemaining[aLeft] > aRemaining[aRight];
    });
  return waiting;
}

/// The waiting items of the needed groups by their latest start. The longest
/// item decides when a step is whole, so long items come first, also before
/// short ones of steps that are due earlier. In a step that misses its
/// deadline, groups with the least work come first, so that most of them are
/// complete by then.
std::vector<NeededItem> NeededItems(const ScheduledStep& aStep,
                                    std::span<const GroupState> aNeeded,
                                    std::span<const double> aRemaining,
                                    bool aMissesDeadline)
{
  std::vector<NeededItem> items;
  for (const GroupState& group : aNeeded) {
    for (const size_t item :
         WaitingLongestFirst(aStep, group.mIndex, aRemaining)) {
      const double latest =
        aMissesDeadline
          ? aStep.mDue + group.mWork * aStep.mSecondsPerEvent
          : aStep.mDue - aRemaining[item] * aStep.mSecondsPerEvent;
      items.push_back(
        { item, latest - (group.mPreferred ? kPreferenceSeconds : 0.0) });
    }
  }
  std::stable_sort(items.begin(),
                   items.end(),
                   [](const NeededItem& aLeft, const NeededItem& aRight) {
                     return aLeft.mLatestStart < aRight.mLatestStart;
                   });
  return items;
}

StepPlan PlanLongestItemFirst(const ScheduledStep& aStep)
{
  StepPlan plan;
  plan.mDue = aStep.mDue;
  for (size_t i = 0; i < aStep.mItems.size(); ++i) {
    if (aStep.mItems[i].mPhase == ItemPhase::Waiting) {
      plan.mNeeded.push_back({ i, 0.0 });
    }
  }
  std::stable_sort(plan.mNeeded.begin(),
                   plan.mNeeded.end(),
                   [&](const NeededItem& aLeft, const NeededItem& aRight) {
                     return aStep.mItems[aLeft.mItem].mExpectedEvents >
                            aStep.mItems[aRight.mItem].mExpectedEvents;
                   });
  return plan;
}

} // namespace

StepPlan PlanStep(const ScheduledStep& aStep, StepOrderPolicy aPolicy)
{
  if (aPolicy == StepOrderPolicy::LongestItemFirst) {
    return PlanLongestItemFirst(aStep);
  }
  const std::vector<double> remaining = RemainingEvents(aStep.mItems);
  std::vector<GroupState> groups = MeasureGroups(aStep, remaining);
  const size_t neededCount = SelectNeeded(aStep, groups);
  const std::span<const GroupState> needed(groups.data(), neededCount);
  const auto desired = needed.first(DesiredGroups(aStep));
  double longest = 0.0;
  for (const GroupState& group : needed) {
    longest = std::max(longest, group.mLongest);
  }
  StepPlan plan;
  plan.mDue = aStep.mDue;
  plan.mMissesDeadline =
    aStep.mNow >= aStep.mDue ||
    std::any_of(desired.begin(), desired.end(), [](const GroupState& aGroup) {
      return aGroup.mMissesDeadline;
    });
  plan.mNeededSeconds = longest * aStep.mSecondsPerEvent;
  plan.mNeededFinished = longest <= 0.0;
  plan.mNeeded = NeededItems(aStep, needed, remaining, plan.mMissesDeadline);
  for (size_t i = neededCount; i < groups.size(); ++i) {
    auto waiting = WaitingLongestFirst(aStep, groups[i].mIndex, remaining);
    if (!waiting.empty()) {
      plan.mSpare.push_back({ groups[i].mIndex,
                              std::move(waiting),
                              groups[i].mLongest * aStep.mSecondsPerEvent });
    }
  }
  return plan;
}

std::vector<PlannedStart> StartOrder(std::span<const StepPlan* const> aPlans)
{
  struct Entry
  {
    bool mMissesDeadline = false;
    double mLatestStart = 0.0;
    PlannedStart mStart;
  };
  std::vector<Entry> entries;
  for (size_t i = 0; i < aPlans.size(); ++i) {
    for (const NeededItem& item : aPlans[i]->mNeeded) {
      entries.push_back(
        { aPlans[i]->mMissesDeadline, item.mLatestStart, { i, item.mItem } });
    }
  }
  std::stable_sort(
    entries.begin(),
    entries.end(),
    [](const Entry& aLeft, const Entry& aRight) {
      return std::pair(aLeft.mMissesDeadline, aLeft.mLatestStart) <
             std::pair(aRight.mMissesDeadline, aRight.mLatestStart);
    });
  std::vector<PlannedStart> order;
  order.reserve(entries.size());
  for (const Entry& entry : entries) {
    order.push_back(entry.mStart);
  }
  return order;
}

bool NeededItemsWait(std::span<const StepPlan* const> aPlans)
{
  return std::any_of(aPlans.begin(), aPlans.end(), [](const StepPlan* aPlan) {
    return !aPlan->mMissesDeadline && !aPlan->mNeeded.empty();
  });
}

bool ShouldStartSpare(const StepPlan& aPlan,
                      const SpareGroup& aGroup,
                      double aFreeSlots,
                      double aSlots,
                      double aNow,
                      double aSecondsSinceNeeded)
{
  const auto items = static_cast<double>(aGroup.mItems.size());
  if (aFreeSlots < items + kReservedShare * aSlots || !aPlan.mNeeded.empty()) {
    return false;
  }
  if (aPlan.mNeededFinished) {
    return aSecondsSinceNeeded >= kEndGraceSeconds;
  }
  return aNow >= aPlan.mDue ||
         aGroup.mSeconds < kSpareTimeShare * aPlan.mNeededSeconds;
}

} // namespace agatetide::policy
