#pragma once

#include "agatetide/base/clock.hpp"

#include <cstddef>

namespace agatetide::policy {

struct ReachabilityOptions
{
  /// Time between two checks while replicas cannot be reached.
  Milliseconds mRecheckInterval{ 600 };
  /// Shortest time between two checks that failures cause.
  Milliseconds mCheckInterval{ 250 };
  /// Replicas that must be reached again at once, or all that were tried if
  /// they are fewer, before the paths count as restored.
  size_t mRestoredReplicas = 2;
};

/// @brief Decides whether a host has lost its paths to all replicas, rather
/// than the replicas being gone: a failure only raises the suspicion, and a
/// check of several replicas confirms or rejects it. Load pattern: some hosts
/// are partitioned from all replicas while replicas also crash, fill up or
/// leave. Not thread-safe.
class Reachability
{
public:
  explicit Reachability(ReachabilityOptions aOptions = {});

  /// @brief Records that a replica could not be reached or did not acknowledge
  /// a request.
  void RecordFailure() { mSuspected = true; }

  /// @brief Whether several replicas should be tried now.
  bool CheckDue(TimePoint aNow) const;

  /// @brief Records a check that began at aNow: how many replicas were tried,
  /// and how many were reached. Returns whether IsCutOff() changed.
  bool RecordCheck(size_t aTried, size_t aReached, TimePoint aNow);

  /// @brief Whether this host reaches no replica.
  bool IsCutOff() const { return mCutOff; }

private:
  ReachabilityOptions mOptions;
  bool mSuspected = false;
  bool mCutOff = false;
  TimePoint mNextCheck{};
};

} // namespace agatetide::policy
