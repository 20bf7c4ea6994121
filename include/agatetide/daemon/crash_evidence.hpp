#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/clock.hpp"
#include "agatetide/coordination/messages.hpp"
#include "agatetide/policy/crash_verdict.hpp"
#include "agatetide/request/recent_completions.hpp"

#include <span>
#include <string>
#include <string_view>
#include <unordered_set>

namespace agatetide::daemon {

struct TrafficContext;

/// @brief Tracks which requests were completed recently and which were reported
/// as suspected of crashing an upstream, by fingerprint.
///
/// When an upstream crashes, every request that is running on it fails. Only
/// requests without a recent completion are suspected. Otherwise crashes that
/// other requests cause could quarantine a frequent request. Not thread-safe.
class CrashEvidence
{
public:
  explicit CrashEvidence(Clock aClock);

  /// @brief Records that a request was answered completely and clears a
  /// suspicion. Returns whether it was suspected.
  bool RecordCompletion(uint64_t aFingerprint);

  /// @brief Records that a request was reported as a suspect.
  void RecordSuspect(uint64_t aFingerprint);

  /// @brief Whether a failure of this request makes it a suspect, because it
  /// has no recent completion.
  bool IsSuspicious(uint64_t aFingerprint) const;

private:
  request::RecentCompletions mCompletions;
  std::unordered_set<uint64_t> mSuspects;
};

/// @brief Records a complete answer. If the request was suspected, also clears
/// the suspicion on all daemons.
void ReportCompletion(TrafficContext& aContext, uint64_t aFingerprint);

/// @brief Handles a connection that broke while a request ran. Reports the
/// request as a suspect if it has no recent completion and the upstream does
/// not answer a probe; an upstream that answers has not crashed.
Awaitable<void> ReportBrokenConnection(TrafficContext& aContext,
                                       uint64_t aFingerprint,
                                       std::string aReplica);

/// @brief Whether an upstream whose connection broke has crashed: it does not
/// answer a probe.
Awaitable<bool> HasCrashed(TrafficContext& aContext, std::string aReplica);

/// @brief Key of the gossip record that reports a crash. aUnique keeps the keys
/// of several reports distinct.
std::string CrashRecordKey(uint64_t aFingerprint,
                           std::string_view aReplica,
                           std::string_view aUnique);

/// @brief Number of upstream crashes that the records report for a fingerprint
/// after aSinceMs, in milliseconds of the wall clock. Reports for one replica
/// within one second count as one crash, because several equal requests may
/// have run on it.
size_t CountCrashes(std::span<const coordination::GossipRecord> aRecords,
                    uint64_t aFingerprint,
                    int64_t aSinceMs);

/// @brief Whether a request that crashed this many upstreams is quarantined.
bool IsQuarantined(size_t aCrashes);

/// @brief The fingerprint as 16 hexadecimal digits.
std::string FormatFingerprint(uint64_t aFingerprint);

} // namespace agatetide::daemon
