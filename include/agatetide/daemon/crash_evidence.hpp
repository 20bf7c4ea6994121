#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/clock.hpp"
#include "agatetide/coordination/messages.hpp"

#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace agatetide::daemon {

struct TrafficContext;

/// @brief Requests that are known not to crash upstreams, by fingerprint.
///
/// When an upstream crashes, all requests that ran on it break. Only those
/// without a recent completion are suspected, since one crash would otherwise
/// quarantine a popular request. Not thread-safe.
class CrashEvidence
{
public:
  /// @brief A request was answered completely. Returns whether it was under
  /// suspicion until now.
  bool RecordCompletion(uint64_t aFingerprint, TimePoint aNow);

  /// @brief A request was reported as a suspect.
  void RecordSuspect(uint64_t aFingerprint);

  /// @brief Whether no such request was completed lately.
  bool IsSuspicious(uint64_t aFingerprint, TimePoint aNow) const;

private:
  std::unordered_map<uint64_t, TimePoint> mCompleted;
  std::deque<uint64_t> mOrder;
  std::unordered_set<uint64_t> mSuspects;
};

/// @brief Records a complete answer, and clears a suspicion on all daemons.
void ReportCompletion(TrafficContext& aContext, uint64_t aFingerprint);

/// @brief Handles a connection that broke while a request ran. The request
/// is reported as a suspect when it has no recent completion and the
/// upstream does not answer, which tells a crash from a cut connection.
Awaitable<void> ReportBrokenConnection(TrafficContext& aContext,
                                       uint64_t aFingerprint,
                                       std::string aReplica);

/// @brief Key of the fact that reports a crash.
std::string CrashRecordKey(uint64_t aFingerprint,
                           std::string_view aReplica,
                           std::string_view aUnique);

/// @brief Number of upstream crashes that the facts report for a fingerprint
/// since aSinceMs. Reports of one replica within a second are one crash, for
/// example of several equal requests that ran on it.
size_t CountCrashes(std::span<const coordination::GossipRecord> aFacts,
                    uint64_t aFingerprint,
                    int64_t aSinceMs);

/// @brief 16 hexadecimal digits.
std::string FormatFingerprint(uint64_t aFingerprint);

} // namespace agatetide::daemon
