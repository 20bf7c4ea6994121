#include "agatetide/policy/reachability.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::policy;

namespace {

constexpr TimePoint kStart{ std::chrono::seconds(100) };

} // namespace

// Guards against checks of replicas while nothing is wrong.
Test(reachability, without_failures_no_check_is_due)
{
  const Reachability reachability;
  cr_expect(!reachability.CheckDue(kStart));
  cr_expect(!reachability.IsCutOff());
}

// Guards against blaming the host when one replica or service is gone.
Test(reachability, one_reached_replica_rejects_the_suspicion)
{
  Reachability reachability;
  reachability.RecordFailure();
  cr_expect(reachability.CheckDue(kStart));
  cr_expect(!reachability.RecordCheck(3, 1, kStart));
  cr_expect(!reachability.IsCutOff());
  cr_expect(!reachability.CheckDue(kStart + std::chrono::seconds(9)));
}

// Guards against a check for each of many failures.
Test(reachability, failures_in_quick_succession_cause_one_check)
{
  Reachability reachability;
  reachability.RecordFailure();
  reachability.RecordCheck(3, 3, kStart);
  reachability.RecordFailure();
  cr_expect(!reachability.CheckDue(kStart + Milliseconds(100)));
  cr_expect(reachability.CheckDue(kStart + Milliseconds(250)));
}

// Guards against a host that returns to its own paths after one connection of
// a path that is still broken.
Test(reachability, paths_count_as_restored_when_several_replicas_are_reached)
{
  Reachability reachability;
  reachability.RecordFailure();
  cr_expect(reachability.RecordCheck(3, 0, kStart));
  cr_expect(reachability.IsCutOff());
  const TimePoint again = kStart + Milliseconds(600);
  cr_expect(!reachability.CheckDue(again - Milliseconds(1)));
  cr_expect(reachability.CheckDue(again));
  cr_expect(!reachability.RecordCheck(3, 1, again));
  cr_expect(reachability.IsCutOff());
  cr_expect(reachability.RecordCheck(3, 2, again + Milliseconds(600)));
  cr_expect(!reachability.IsCutOff());
}

// Guards against a host that stays cut off where only one replica serves.
Test(reachability, the_only_replica_restores_the_paths)
{
  Reachability reachability;
  reachability.RecordFailure();
  reachability.RecordCheck(1, 0, kStart);
  cr_expect(reachability.RecordCheck(1, 1, kStart + std::chrono::seconds(1)));
  cr_expect(!reachability.IsCutOff());
}

// Guards against a verdict without evidence: no replica is known yet.
Test(reachability, a_check_without_replicas_changes_nothing)
{
  Reachability reachability;
  reachability.RecordFailure();
  cr_expect(!reachability.RecordCheck(0, 0, kStart));
  cr_expect(!reachability.IsCutOff());
}
