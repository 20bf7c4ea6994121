#include "agatetide/policy/crash_verdict.hpp"

namespace agatetide::policy {

namespace {

CrashJudgement JudgeRefused(const CrashHistory& aHistory,
                            const CrashVerdictOptions& aOptions)
{
  if (aHistory.mCrashes < aOptions.mMaxCrashes) {
    return { CrashVerdict::Refuse, aOptions.mSettleTime };
  }
  if (aHistory.mSoftwareReplaced) {
    return { CrashVerdict::RunTrial };
  }
  if (aHistory.mTrials >= aOptions.mTrialDelays.size()) {
    return { CrashVerdict::Refuse, aOptions.mTrialDelays.back() };
  }
  const Duration left =
    aOptions.mTrialDelays.at(aHistory.mTrials) - aHistory.mSinceLast;
  if (left <= Duration::zero()) {
    return { CrashVerdict::RunTrial };
  }
  return { CrashVerdict::Refuse, std::chrono::ceil<Milliseconds>(left) };
}

} // namespace

CrashJudgement JudgeRequest(const CrashHistory& aHistory,
                            const CrashVerdictOptions& aOptions)
{
  switch (const size_t suspected = aHistory.SuspectedCrashes()) {
    case 0:
      return { CrashVerdict::Run };
    case 1:
      return { CrashVerdict::RunApart };
    default:
      return suspected < aOptions.mMaxCrashes
               ? CrashJudgement{ CrashVerdict::RunAlone }
               : JudgeRefused(aHistory, aOptions);
  }
}

} // namespace agatetide::policy
