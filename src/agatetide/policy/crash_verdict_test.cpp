#include "agatetide/policy/crash_verdict.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::policy;
using std::chrono::seconds;

namespace {

CrashVerdict Judge(const CrashHistory& aHistory)
{
  return JudgeRequest(aHistory, {}).mVerdict;
}

CrashHistory AfterCrashes(size_t aCrashes, Duration aSinceLast = {})
{
  CrashHistory history;
  history.mCrashes = aCrashes;
  history.mSinceLast = aSinceLast;
  return history;
}

} // namespace

// Guards against a request that goes on crashing replicas, and against refusing
// one that saw fewer crashes.
Test(crash_verdict, the_third_crash_refuses_the_request)
{
  cr_expect_eq(Judge({}), CrashVerdict::Run);
  cr_expect_eq(Judge(AfterCrashes(1)), CrashVerdict::RunApart);
  cr_expect_eq(Judge(AfterCrashes(2)), CrashVerdict::RunAlone);
  cr_expect_eq(Judge(AfterCrashes(3)), CrashVerdict::Refuse);
}

// Guards against crashes that pile up before they are confirmed, and against a
// verdict that such a suspicion brings: its end has to bring the request back
// soon.
Test(crash_verdict, unsettled_crashes_refuse_for_a_short_time)
{
  CrashHistory history = AfterCrashes(2);
  history.mUnsettled = 1;
  const CrashJudgement judgement = JudgeRequest(history, {});
  cr_expect_eq(judgement.mVerdict, CrashVerdict::Refuse);
  cr_expect_leq(judgement.mRetryAfter, seconds(1));
}

// Guards against refusing a sound request for good, and against trials without
// end of one that is not.
Test(crash_verdict, a_refused_request_gets_two_trials)
{
  cr_expect_eq(Judge(AfterCrashes(3, seconds(9))), CrashVerdict::Refuse);
  cr_expect_eq(Judge(AfterCrashes(3, seconds(10))), CrashVerdict::RunTrial);
  CrashHistory tried = AfterCrashes(4, seconds(59));
  tried.mTrials = 1;
  cr_expect_eq(Judge(tried), CrashVerdict::Refuse);
  tried.mSinceLast = seconds(60);
  cr_expect_eq(Judge(tried), CrashVerdict::RunTrial);
  tried.mTrials = 2;
  tried.mSinceLast = std::chrono::hours(1);
  cr_expect_eq(Judge(tried), CrashVerdict::Refuse);
}

// Guards against telling callers to come back at a time at which they are
// refused again.
Test(crash_verdict, names_the_time_of_the_next_trial)
{
  const CrashJudgement judgement =
    JudgeRequest(AfterCrashes(3, seconds(4)), {});
  cr_expect_eq(judgement.mRetryAfter, Milliseconds(6000));
}

// Guards against refusing what only an earlier software version could not bear.
Test(crash_verdict, new_software_brings_a_trial_at_once)
{
  CrashHistory history = AfterCrashes(5);
  history.mTrials = 2;
  history.mSoftwareReplaced = true;
  cr_expect_eq(Judge(history), CrashVerdict::RunTrial);
}
