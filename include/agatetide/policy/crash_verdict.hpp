#pragma once

#include "agatetide/base/clock.hpp"

#include <array>
#include <cstddef>

namespace agatetide::policy {

struct CrashVerdictOptions
{
  /// Crashes after which a request is refused.
  size_t mMaxCrashes = 3;
  /// A refused request runs once more this long after the last crash or trial,
  /// since the replicas may have crashed for another reason. There are as many
  /// trials as delays.
  std::array<Milliseconds, 2> mTrialDelays{ std::chrono::seconds(10),
                                            std::chrono::seconds(60) };
  /// Usual time until it is known whether a replica has crashed.
  Milliseconds mSettleTime{ 1000 };
};

/// @brief What is known of a request whose attempts broke off.
struct CrashHistory
{
  /// Replicas that crashed while they ran the request.
  size_t mCrashes = 0;
  /// Broken attempts of which it is not known yet whether the replica crashed.
  size_t mUnsettled = 0;
  /// Times that the request ran, or was about to run, after it was refused.
  size_t mTrials = 0;
  /// Time since the last crash or trial.
  Duration mSinceLast{};
  /// The request neither crashed a replica of the software versions that serve
  /// now, nor was it tried on one.
  bool mSoftwareReplaced = false;

  size_t SuspectedCrashes() const { return mCrashes + mUnsettled; }
};

/// @brief How a request may run.
enum class CrashVerdict
{
  /// Like any other.
  Run,
  /// Without a hedge, and not on a replica that runs another suspect: one of
  /// the requests that ran on a crashed replica may crash the next one.
  RunApart,
  /// Also with as little as possible beside it.
  RunAlone,
  /// As RunAlone, in one attempt, and at one host only.
  RunTrial,
  Refuse,
};

struct CrashJudgement
{
  CrashVerdict mVerdict = CrashVerdict::Run;
  /// Refused requests: time until the request may run again.
  Milliseconds mRetryAfter{ 0 };
};

/// @brief Decides whether a request that may crash replicas may run. A request
/// is refused after a fixed number of crashes, since each further one fails the
/// other requests of a replica. A sound request under which as many replicas
/// crashed for another reason is refused as well, until its first trial.
CrashJudgement JudgeRequest(const CrashHistory& aHistory,
                            const CrashVerdictOptions& aOptions);

} // namespace agatetide::policy
