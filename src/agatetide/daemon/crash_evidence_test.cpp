#include "agatetide/daemon/crash_evidence.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::daemon;
using coordination::GossipRecord;

namespace {

GossipRecord Crash(uint64_t aFingerprint,
                   const std::string& aReplica,
                   uint64_t aTimeMs)
{
  static int sUnique = 0;
  GossipRecord record;
  record.mKey =
    CrashRecordKey(aFingerprint, aReplica, std::to_string(sUnique++));
  record.mSequence = aTimeMs;
  return record;
}

} // namespace

// Guards against quarantining a frequent request after one crash that several
// of its copies report.
Test(crash_evidence, equal_requests_on_one_replica_break_once)
{
  const std::vector<GossipRecord> records{ Crash(7, "a:1", 5000),
                                           Crash(7, "a:1", 5003),
                                           Crash(8, "b:1", 5001) };
  cr_assert_eq(CountCrashes(records, 7, 0), 1U);
}

// Guards against counting separate crashes as one. A request that crashes one
// upstream after another would then not be quarantined.
Test(crash_evidence, each_replica_and_each_restart_counts)
{
  const std::vector<GossipRecord> records{ Crash(7, "a:1", 5000),
                                           Crash(7, "b:1", 5001),
                                           Crash(7, "a:1", 9000) };
  cr_assert_eq(CountCrashes(records, 7, 0), 3U);
}

// Guards against counting crashes from before a completion that cleared the
// suspicion.
Test(crash_evidence, crashes_before_the_limit_do_not_count)
{
  const std::vector<GossipRecord> records{ Crash(7, "a:1", 5000),
                                           Crash(7, "b:1", 6000) };
  cr_assert_eq(CountCrashes(records, 7, 5000), 1U);
}

// Guards against suspecting requests that other replicas answer.
Test(crash_evidence, completion_clears_suspicion_for_a_while)
{
  ManualClock clock;
  CrashEvidence evidence(clock.AsClock());
  cr_assert(evidence.IsSuspicious(7));
  evidence.RecordSuspect(7);
  cr_assert(evidence.RecordCompletion(7));
  cr_assert_not(evidence.RecordCompletion(7));
  clock.Advance(std::chrono::seconds(59));
  cr_assert_not(evidence.IsSuspicious(7));
  clock.Advance(std::chrono::seconds(2));
  cr_assert(evidence.IsSuspicious(7));
}

// Guards against quarantining a request after one crash, which any request may
// see.
Test(crash_evidence, the_second_crash_quarantines)
{
  cr_assert_not(IsQuarantined(0));
  cr_assert_not(IsQuarantined(1));
  cr_assert(IsQuarantined(2));
}
