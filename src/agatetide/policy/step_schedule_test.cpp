#include "agatetide/policy/step_schedule.hpp"

#include "agatetide/base/random.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <set>
#include <vector>

using namespace agatetide;
using namespace agatetide::policy;

namespace {

constexpr double kTick = 0.05;
constexpr double kSecondsPerEvent = 0.03;
constexpr double kDueSeconds = 7.5;
constexpr double kStepInterval = 4.0;
constexpr size_t kItemsPerGroup = 4;
/// Groups per step of three trainers of unequal size.
constexpr size_t kTrainerGroups[] = { 48, 32, 16 };
constexpr int kSimulatedSteps = 15;

struct SimulatedStep
{
  std::vector<ScheduledItem> mItems;
  std::vector<double> mLengths;
  std::vector<ScheduledGroup> mGroups;
  size_t mDesired = 0;
  size_t mResubmitted = 0;
  double mSubmitted = 0.0;

  bool IsGroupComplete(size_t aGroup) const
  {
    const auto& items = mGroups[aGroup].mItems;
    return std::all_of(items.begin(), items.end(), [&](size_t aItem) {
      return mItems[aItem].mPhase == ItemPhase::Finished;
    });
  }

  /// What the trainer waits for.
  bool IsWhole() const
  {
    size_t complete = 0;
    for (size_t i = 0; i < mGroups.size(); ++i) {
      const bool whole = IsGroupComplete(i);
      complete += whole ? 1 : 0;
      if (i < mResubmitted && !whole) {
        return false;
      }
    }
    return complete >= mDesired;
  }

  StepPlan Plan(StepOrderPolicy aPolicy, double aNow) const
  {
    return PlanStep({ mItems,
                      mGroups,
                      mDesired,
                      aNow,
                      mSubmitted + kDueSeconds,
                      kSecondsPerEvent },
                    aPolicy);
  }
};

struct Outcome
{
  int mSteps = 0;
  int mWhole = 0;
  int mStarted = 0;
  /// Running items that ended with their step.
  int mCanceled = 0;
  /// How far the last trainer is behind.
  double mBehind = 0.0;
};

/// Three trainers that submit a step every 4 s, or later if the step before is
/// not over, to one pool with 20% less capacity than all groups need.
class Replay
{
public:
  Replay(StepOrderPolicy aPolicy, double aResubmittedShare, uint64_t aSeed)
    : mPolicy(aPolicy)
    , mResubmittedShare(aResubmittedShare)
    , mRandom(SeededRandom(aSeed))
  {
    size_t groups = 0;
    for (const size_t count : kTrainerGroups) {
      groups += count;
    }
    double tokens = 0.0;
    constexpr int kSamples = 4000;
    for (int i = 0; i < kSamples; ++i) {
      tokens += Length() / kSamples;
    }
    mSlots = std::floor(0.8 * static_cast<double>(groups * kItemsPerGroup) *
                        tokens * kSecondsPerEvent / kStepInterval);
  }

  Outcome Run()
  {
    struct Trainer
    {
      SimulatedStep mStep;
      bool mOpen = false;
      int mNumber = 0;
      double mNext = 0.0;
    };
    std::vector<Trainer> trainers(std::size(kTrainerGroups));
    for (double now = 0.0; now < kSimulatedSteps * kStepInterval;
         now += kTick) {
      std::vector<SimulatedStep*> open;
      for (size_t i = 0; i < trainers.size(); ++i) {
        Trainer& trainer = trainers[i];
        if (trainer.mOpen) {
          Advance(trainer.mStep);
          const bool whole = trainer.mStep.IsWhole();
          if (whole || now >= trainer.mStep.mSubmitted + kDueSeconds) {
            trainer.mOpen = false;
            trainer.mNext =
              std::max(now + 2 * kTick, kStepInterval * ++trainer.mNumber);
            Finish(trainer.mStep, whole);
          }
        }
        if (!trainer.mOpen && now >= trainer.mNext) {
          trainer.mOpen = true;
          Submit(trainer.mStep, kTrainerGroups[i], now);
        }
        mOutcome.mBehind =
          std::max(mOutcome.mBehind,
                   trainer.mOpen ? trainer.mStep.mSubmitted -
                                     kStepInterval * trainer.mNumber
                                 : 0.0);
        if (trainer.mOpen) {
          open.push_back(&trainer.mStep);
        }
      }
      std::sort(open.begin(), open.end(), [](auto* aLeft, auto* aRight) {
        return aLeft->mSubmitted < aRight->mSubmitted;
      });
      StartItems(open, now);
    }
    return mOutcome;
  }

private:
  double Normal()
  {
    return std::sqrt(-2.0 * std::log(1.0 - UniformUnit(mRandom))) *
           std::cos(2.0 * std::numbers::pi * UniformUnit(mRandom));
  }

  /// Tokens of an item: a heavy tail up to what fits before the deadline.
  double Length() { return std::min(200.0, 45.0 * std::exp(0.7 * Normal())); }

  /// Resubmits the groups of the last step that are not complete.
  void Submit(SimulatedStep& aStep, size_t aGroups, double aNow)
  {
    SimulatedStep next;
    next.mDesired = aGroups * 9 / 10;
    next.mSubmitted = aNow;
    for (size_t i = 0;
         i < aStep.mGroups.size() && next.mGroups.size() < next.mDesired / 2;
         ++i) {
      if (!aStep.IsGroupComplete(i) &&
          UniformUnit(mRandom) < mResubmittedShare) {
        ScheduledGroup group;
        group.mSeen = true;
        for (const size_t item : aStep.mGroups[i].mItems) {
          group.mItems.push_back(next.mItems.size());
          next.mItems.push_back({ aStep.mItems[item].mExpectedEvents });
          next.mLengths.push_back(aStep.mLengths[item]);
        }
        next.mGroups.push_back(std::move(group));
      }
    }
    next.mResubmitted = next.mGroups.size();
    while (next.mGroups.size() < aGroups) {
      ScheduledGroup group;
      for (size_t i = 0; i < kItemsPerGroup; ++i) {
        group.mItems.push_back(next.mItems.size());
        next.mLengths.push_back(Length());
        next.mItems.push_back(
          { next.mLengths.back() * std::exp(0.2 * Normal()) });
      }
      next.mGroups.push_back(std::move(group));
    }
    aStep = std::move(next);
  }

  void Advance(SimulatedStep& aStep)
  {
    for (size_t i = 0; i < aStep.mItems.size(); ++i) {
      ScheduledItem& item = aStep.mItems[i];
      if (item.mPhase != ItemPhase::Running) {
        continue;
      }
      item.mEvents += kTick / kSecondsPerEvent;
      if (item.mEvents >= aStep.mLengths[i]) {
        item.mPhase = ItemPhase::Finished;
        --mRunning;
      }
    }
  }

  void Finish(const SimulatedStep& aStep, bool aWhole)
  {
    ++mOutcome.mSteps;
    mOutcome.mWhole += aWhole ? 1 : 0;
    const auto running = std::count_if(
      aStep.mItems.begin(), aStep.mItems.end(), [](const auto& aItem) {
        return aItem.mPhase == ItemPhase::Running;
      });
    mOutcome.mCanceled += static_cast<int>(running);
    mRunning -= static_cast<double>(running);
  }

  void Start(SimulatedStep& aStep, std::span<const size_t> aItems)
  {
    for (const size_t item : aItems) {
      if (mRunning >= mSlots) {
        return;
      }
      aStep.mItems[item].mPhase = ItemPhase::Running;
      mRunning += 1.0;
      ++mOutcome.mStarted;
    }
  }

  void StartItems(std::span<SimulatedStep* const> aSteps, double aNow)
  {
    std::vector<StepPlan> plans;
    for (const SimulatedStep* step : aSteps) {
      plans.push_back(step->Plan(mPolicy, aNow));
    }
    std::vector<const StepPlan*> views;
    for (const StepPlan& plan : plans) {
      views.push_back(&plan);
    }
    for (const PlannedStart& next : StartOrder(views)) {
      Start(*aSteps[next.mStep], { &next.mItem, 1 });
    }
    if (NeededItemsWait(views)) {
      return;
    }
    for (size_t i = 0; i < plans.size(); ++i) {
      for (const SpareGroup& group : plans[i].mSpare) {
        if (ShouldStartSpare(
              plans[i], group, mSlots - mRunning, mSlots, aNow, 0.0)) {
          Start(*aSteps[i], group.mItems);
        }
      }
    }
  }

  StepOrderPolicy mPolicy;
  /// Share of the groups that are not complete which come again.
  double mResubmittedShare;
  Random mRandom;
  double mSlots = 0.0;
  double mRunning = 0.0;
  Outcome mOutcome;
};

Outcome Sum(StepOrderPolicy aPolicy, double aResubmittedShare)
{
  Outcome sum;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    const Outcome run = Replay(aPolicy, aResubmittedShare, seed).Run();
    sum.mSteps += run.mSteps;
    sum.mWhole += run.mWhole;
    sum.mStarted += run.mStarted;
    sum.mCanceled += run.mCanceled;
    sum.mBehind = std::max(sum.mBehind, run.mBehind);
  }
  return sum;
}

} // namespace

// Guards against the order by item length alone: under a shortage the groups
// that the trainer does not wait for started first, and were canceled when it
// ended the step. The order must also hold if all incomplete groups come again,
// so that leaving them out only delays their work.
Test(step_schedule, more_steps_are_whole_with_fewer_cancels_under_a_shortage)
{
  for (const double share : { 0.0, 0.5, 1.0 }) {
    const Outcome before = Sum(StepOrderPolicy::LongestItemFirst, share);
    const Outcome after = Sum(StepOrderPolicy::NeededGroups, share);
    cr_log_info("resubmitted %.1f: whole %d of %d, then %d of %d; canceled "
                "%d of %d, then %d of %d",
                share,
                before.mWhole,
                before.mSteps,
                after.mWhole,
                after.mSteps,
                before.mCanceled,
                before.mStarted,
                after.mCanceled,
                after.mStarted);
    cr_expect_gt(after.mWhole, before.mWhole);
    cr_expect_leq(after.mSteps - after.mWhole, 1);
    cr_expect_lt(after.mCanceled * 2, before.mCanceled);
  }
}

namespace {

/// Groups of one item each, in the order of the list.
StepPlan PlanItems(std::vector<ScheduledItem> aItems,
                   std::set<size_t> aSeen,
                   double aDue = kDueSeconds,
                   double aNow = 0.0)
{
  std::vector<ScheduledGroup> groups;
  for (size_t i = 0; i < aItems.size(); ++i) {
    groups.push_back({ { i }, aSeen.contains(i) });
  }
  return PlanStep(
    { aItems, groups, aItems.size() - 1, aNow, aDue, kSecondsPerEvent },
    StepOrderPolicy::NeededGroups);
}

bool IsNeeded(const StepPlan& aPlan, size_t aItem)
{
  return std::any_of(
    aPlan.mNeeded.begin(), aPlan.mNeeded.end(), [&](const auto& aNeeded) {
      return aNeeded.mItem == aItem;
    });
}

} // namespace

// Guards against a step that waits until its deadline for a resubmitted group
// that was taken for a spare one because it is long: after a takeover by a host
// that has not seen the group, only its place in the list tells.
Test(step_schedule, resubmitted_groups_are_never_left_out)
{
  const std::vector<ScheduledItem> first{
    { 200 }, { 20 }, { 20 }, { 20 }, { 20 }
  };
  cr_expect(IsNeeded(PlanItems(first, {}), 0));
  const std::vector<ScheduledItem> last{
    { 20 }, { 20 }, { 20 }, { 20 }, { 200 }
  };
  cr_expect(IsNeeded(PlanItems(last, { 4 }), 4));
  cr_expect_not(IsNeeded(PlanItems(last, {}), 4));
  // Also if it cannot be complete when the step is due.
  cr_expect(IsNeeded(PlanItems(first, {}, 1.0), 0));
}

// Guards against waiting for a group that turned out long while one that would
// be complete earlier is left out.
Test(step_schedule, a_spare_group_replaces_one_that_turns_out_slow)
{
  std::vector<ScheduledItem> items{
    { 30 }, { 30 }, { 30 }, { 30, 150.0, ItemPhase::Running }, { 35 }
  };
  const StepPlan plan = PlanItems(items, {});
  cr_expect(IsNeeded(plan, 4));
  items[3].mEvents = 5.0;
  cr_expect_not(IsNeeded(PlanItems(items, {}), 4));
}

// Guards against waiting for a group on a slow replica.
Test(step_schedule, a_spare_group_replaces_one_on_a_slow_replica)
{
  std::vector<ScheduledItem> items{
    { 30 }, { 30 }, { 30 }, { 40, 10.0, ItemPhase::Running }, { 60 }
  };
  cr_expect_not(IsNeeded(PlanItems(items, {}), 4));
  items[3].mSlowness = 3.5;
  cr_expect(IsNeeded(PlanItems(items, {}), 4));
}

// Guards against spare groups that take slots from needed items, or are only
// canceled when the step ends; and against a step that stays open because the
// trainer waits for a group that was never started.
Test(step_schedule, spare_groups_start_only_with_capacity_to_spare)
{
  const StepPlan waiting = PlanItems({ { 30 }, { 30 }, { 40 } }, {});
  cr_assert_eq(waiting.mSpare.size(), 1);
  cr_expect_not(
    ShouldStartSpare(waiting, waiting.mSpare[0], 10.0, 10.0, 0.0, 0.0));
  const auto running = ItemPhase::Running;
  StepPlan plan =
    PlanItems({ { 30, 0, running }, { 100, 0, running }, { 40 } }, { 0, 1 });
  cr_expect(plan.mNeeded.empty());
  cr_expect(ShouldStartSpare(plan, plan.mSpare[0], 5.0, 10.0, 0.0, 0.0));
  cr_expect_not(ShouldStartSpare(plan, plan.mSpare[0], 1.5, 10.0, 0.0, 0.0));
  const auto finished = ItemPhase::Finished;
  plan = PlanItems({ { 30, 0, finished }, { 30, 0, finished }, { 40 } }, {});
  cr_expect_not(ShouldStartSpare(plan, plan.mSpare[0], 5.0, 10.0, 0.0, 0.5));
  cr_expect(ShouldStartSpare(plan, plan.mSpare[0], 5.0, 10.0, 0.0, 2.0));
}

// Guards against a step that misses its deadline in any case and takes the
// slots of one that can still meet its own.
Test(step_schedule, a_lost_step_does_not_starve_another)
{
  const StepPlan lost = PlanItems({ { 20 }, { 20 } }, {}, 1.0, 2.0);
  const StepPlan open = PlanItems({ { 20 }, { 20 } }, {}, 7.0, 2.0);
  const StepPlan* plans[] = { &lost, &open };
  const auto order = StartOrder(plans);
  cr_expect_eq(order.front().mStep, 1);
  cr_expect_eq(order.back().mStep, 0);
  cr_expect(NeededItemsWait(plans));
  cr_expect_not(NeededItemsWait({ plans, 1 }));
}
