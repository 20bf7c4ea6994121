#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace agatetide::policy {

enum class StepOrderPolicy
{
  /// Steps by submission, items by expected tokens, longest first, over all
  /// groups.
  LongestItemFirst,
  /// Groups that the trainer still needs, their items by the time at which they
  /// must start in order to be complete when the step is due.
  NeededGroups,
};

enum class ItemPhase
{
  /// Has no stream.
  Waiting,
  Running,
  /// The text is complete, or the item is abandoned.
  Finished,
};

/// @brief An item of a step that is planned.
struct ScheduledItem
{
  /// Events of the whole text; 0 if there is no estimate.
  double mExpectedEvents = 0.0;
  /// Events generated so far.
  double mEvents = 0.0;
  ItemPhase mPhase = ItemPhase::Waiting;
  /// Time per event of the current stream relative to the usual one.
  double mSlowness = 1.0;
};

/// @brief A group of items that share a prompt.
struct ScheduledGroup
{
  /// Indices into ScheduledStep::mItems.
  std::vector<size_t> mItems;
  /// The group was part of an earlier step, so the trainer waits for it.
  bool mSeen = false;
};

/// @brief A step that is planned.
struct ScheduledStep
{
  std::span<const ScheduledItem> mItems;
  /// In the order of the trainer's list, which resubmitted groups begin.
  std::span<const ScheduledGroup> mGroups;
  /// Complete groups that the trainer waits for; 0: all.
  size_t mDesired = 0;
  /// The time now and when the step is due, on the same clock for all steps.
  double mNow = 0.0;
  double mDue = 0.0;
  /// Usual time per event. Precondition: positive.
  double mSecondsPerEvent = 0.1;
  /// Whether groups that are not complete come again in a later step, where the
  /// trainer waits for them. Leaving the longest ones out only delays them
  /// then, so all groups are needed.
  bool mGroupsReturn = false;
};

/// @brief A waiting item of a needed group.
struct NeededItem
{
  size_t mItem = 0;
  /// Items start in the order of this value.
  double mLatestStart = 0.0;
};

/// @brief The waiting items of a group that is not needed now.
struct SpareGroup
{
  size_t mGroup = 0;
  /// Waiting items, longest first.
  std::vector<size_t> mItems;
  /// Expected time of the group's longest item.
  double mSeconds = 0.0;
};

/// @brief What to start of a step.
struct StepPlan
{
  double mDue = 0.0;
  /// The step is overdue, or too few groups can be complete when it is due.
  bool mMissesDeadline = false;
  /// Waiting items of needed groups in the order in which they start.
  std::vector<NeededItem> mNeeded;
  /// Groups that are not needed now and have waiting items, in the order in
  /// which they start.
  std::vector<SpareGroup> mSpare;
  /// Expected time of the longest item of the needed groups.
  double mNeededSeconds = 0.0;
  /// The texts of all needed groups are complete.
  bool mNeededFinished = false;
};

/// @brief Plans a step. Needed are the mDesired groups that can be complete
/// first, groups that were seen before ahead of the others; so a group that
/// turns out long is replaced. In addition, groups are needed that may be
/// resubmitted: as many from the start of the list as the trainer may resubmit,
/// half of mDesired. Precondition: each index in mGroups is below
/// mItems.size(), and appears once. Thread-safe.
StepPlan PlanStep(const ScheduledStep& aStep, StepOrderPolicy aPolicy);

/// @brief An item of one of several steps.
struct PlannedStart
{
  size_t mStep = 0;
  size_t mItem = 0;
};

/// @brief Returns the needed items of all steps in the order in which they
/// start: by the time at which they must start, and those of steps that miss
/// their deadline after all others. Precondition: the plans are in the order of
/// submission, and were made with the same policy. Thread-safe.
std::vector<PlannedStart> StartOrder(std::span<const StepPlan* const> aPlans);

/// @brief Whether needed items of a step that can meet its deadline wait, so
/// that no spare group of any step should start. Thread-safe.
bool NeededItemsWait(std::span<const StepPlan* const> aPlans);

/// @brief Returns whether a spare group should start: if the free slots are
/// enough for it and a reserve, and it is expected to be complete before the
/// last needed group. If the step stays open for some time although the needed
/// groups are complete (aSecondsSinceNeeded), or is overdue, the trainer waits
/// for another group, and free slots suffice. Thread-safe.
bool ShouldStartSpare(const StepPlan& aPlan,
                      const SpareGroup& aGroup,
                      double aFreeSlots,
                      double aSlots,
                      double aNow,
                      double aSecondsSinceNeeded);

} // namespace agatetide::policy
