#include "agatetide/coordination/read_lease.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;

namespace {

constexpr Milliseconds kDuration{ 5000 };

struct Fixture
{
  Fixture() { mReadLease.SetHosts({ "a", "b", "c" }, 7); }

  ProbeResult Ack(const std::string& aPeer,
                  int64_t aVersion,
                  bool aStoreContact = false) const
  {
    return { aPeer,         mClock.Now(), aVersion, std::nullopt,
             aStoreContact, {},           true };
  }

  /// Reads the store once and lets the read lease expire, as in a store outage.
  void ReadThenLoseStore(int64_t aVersion)
  {
    mReadLease.RecordStoreRead(mClock.Now(), aVersion);
    mClock.Advance(kDuration + Milliseconds(1));
  }

  ManualClock mClock;
  ReadLease mReadLease =
    ReadLease::Create("a", { kDuration }, mClock.AsClock()).value();
};

} // namespace

// Guards against a partitioned daemon that continues to accept withdrawn keys.
Test(trust, lapses_after_the_trust_time_without_proof)
{
  Fixture fixture;
  fixture.mReadLease.RecordStoreRead(fixture.mClock.Now(), 7);
  cr_assert(fixture.mReadLease.IsValid(7));
  fixture.mClock.Advance(kDuration + Milliseconds(1));
  cr_assert(!fixture.mReadLease.IsValid(7));
}

// Guards against refusing requests that need a key while a change spreads: a
// copy newer than the version last known to be fresh includes that version.
Test(trust, a_newer_copy_keeps_the_older_proof)
{
  Fixture fixture;
  fixture.mReadLease.RecordStoreRead(fixture.mClock.Now(), 7);
  cr_assert(fixture.mReadLease.IsValid(8));
  cr_assert(!fixture.mReadLease.IsValid(6));
}

// Guards against a delayed acknowledgement that extends the read lease.
Test(trust, a_peers_proof_counts_from_when_the_probe_was_sent)
{
  Fixture fixture;
  ProbeResult result = fixture.Ack("b", 7, true);
  result.mStaleness = Milliseconds(1000);
  fixture.mClock.Advance(Milliseconds(4500));
  fixture.mReadLease.RecordProbeResult(result);
  cr_assert(!fixture.mReadLease.IsValid(7));
}

// Guards against refusing requests for the whole time of a store outage.
Test(trust, a_majority_without_store_keeps_trust)
{
  Fixture fixture;
  fixture.ReadThenLoseStore(6);
  fixture.mReadLease.RecordProbeResult(fixture.Ack("b", 7));
  cr_assert(fixture.mReadLease.IsValid(7));
  cr_assert(!fixture.mReadLease.IsValid(6));
}

// Guards against refusing requests in a large deployment, where a majority
// cannot be probed directly within the lease duration.
Test(trust, relayed_evidence_counts_towards_the_majority)
{
  Fixture fixture;
  fixture.mReadLease.SetHosts({ "a", "b", "c", "d", "e" }, 7);
  fixture.ReadThenLoseStore(7);
  ProbeResult result = fixture.Ack("b", 7);
  fixture.mReadLease.RecordProbeResult(result);
  cr_assert(!fixture.mReadLease.IsValid(7));
  result.mProbeSent += Milliseconds(1);
  result.mRelayedAcks = { { 2, 1000 } };
  fixture.mReadLease.RecordProbeResult(result);
  cr_assert(fixture.mReadLease.IsValid(7));
  fixture.mClock.Advance(Milliseconds(4100));
  cr_assert(!fixture.mReadLease.IsValid(7));
}

// Guards against relayed acknowledgements whose host indices refer to the hosts
// of another version.
Test(trust, evidence_of_another_version_is_ignored)
{
  Fixture fixture;
  fixture.mReadLease.SetHosts({ "a", "b", "c", "d", "e" }, 8);
  fixture.ReadThenLoseStore(7);
  ProbeResult result = fixture.Ack("b", 7);
  result.mRelayedAcks = { { 2, 0 }, { 3, 0 } };
  fixture.mReadLease.RecordProbeResult(result);
  cr_assert(!fixture.mReadLease.IsValid(8));
}

// Guards against counting peers that may know changes this host does not have.
Test(trust, peers_with_store_contact_are_no_majority_without_store)
{
  Fixture fixture;
  fixture.ReadThenLoseStore(7);
  fixture.mReadLease.RecordProbeResult(fixture.Ack("b", 7, true));
  fixture.mReadLease.RecordProbeResult(fixture.Ack("c", 7, true));
  cr_assert(!fixture.mReadLease.IsValid(7));
}

// Guards against reporting a change as accepted while an unreachable host may
// still have a valid read lease for the version before it.
Test(trust, acceptance_waits_for_silent_hosts_to_lapse)
{
  Fixture fixture;
  PendingChange change{ 8, fixture.mClock.Now(), std::nullopt };
  fixture.mReadLease.RecordProbeResult(fixture.Ack("b", 8, true));
  cr_assert(!fixture.mReadLease.IsAccepted(change, 8));
  fixture.mClock.Advance(kDuration);
  cr_assert(!fixture.mReadLease.IsAccepted(change, 8));
  fixture.mClock.Advance(Milliseconds(300));
  cr_assert(fixture.mReadLease.IsAccepted(change, 8));
}

// Guards against accepting a change on the minority side of a partition.
Test(trust, a_minority_never_accepts_a_change)
{
  Fixture fixture;
  PendingChange change{ 8, fixture.mClock.Now(), std::nullopt };
  fixture.mClock.Advance(std::chrono::minutes(10));
  cr_assert(!fixture.mReadLease.IsAccepted(change, 8));
}

// Guards against a setting with which withdrawn keys work for more than 7 s.
Test(trust, refuses_a_trust_time_above_the_limit)
{
  ManualClock clock;
  cr_assert(ReadLease::Create("a", { Milliseconds(6001) }, clock.AsClock())
              .has_error());
}

// Guards against a restarted host that fetches an old copy from a peer and
// forms a majority with it, although it acknowledged a newer version before.
Test(trust, a_restarted_host_takes_no_part_in_a_majority)
{
  Fixture fixture;
  fixture.mReadLease.RecordProbeResult(fixture.Ack("b", 7));
  cr_assert(!fixture.mReadLease.IsValid(7));
  fixture.ReadThenLoseStore(7);
  ProbeResult restarted = fixture.Ack("b", 7);
  restarted.mFreshSinceStart = false;
  fixture.mReadLease.RecordProbeResult(restarted);
  cr_assert(!fixture.mReadLease.IsValid(7));
}

// Guards against a restarted host that serves from an old copy because a peer's
// copy was fresh before a change that the host's earlier process acknowledged.
Test(trust, a_proof_from_before_the_start_does_not_count)
{
  Fixture fixture;
  ProbeResult result = fixture.Ack("b", 7);
  result.mStaleness = Milliseconds(1);
  fixture.mReadLease.RecordProbeResult(result);
  cr_assert(!fixture.mReadLease.IsValid(7));
  cr_assert(!fixture.mReadLease.FreshSinceStart());
}

// Guards against reporting the removal of a host as accepted while that host
// still serves from the version before it.
Test(trust, quick_acceptance_waits_for_a_removed_host)
{
  Fixture fixture;
  fixture.mReadLease.SetHosts({ "a", "b" }, 8);
  PendingChange change{ 8, fixture.mClock.Now(), std::nullopt };
  fixture.mReadLease.RecordProbeResult(fixture.Ack("b", 8, true));
  cr_assert(!fixture.mReadLease.IsAccepted(change, 8));
  fixture.mReadLease.RecordProbeResult(fixture.Ack("c", 8, true));
  cr_assert(fixture.mReadLease.IsAccepted(change, 8));
}

// Guards against counting a majority among the hosts of an older copy.
Test(trust, a_local_copy_behind_the_change_accepts_nothing)
{
  Fixture fixture;
  PendingChange change{ 8, fixture.mClock.Now(), std::nullopt };
  fixture.mReadLease.RecordProbeResult(fixture.Ack("b", 8, true));
  fixture.mReadLease.RecordProbeResult(fixture.Ack("c", 8, true));
  cr_assert(!fixture.mReadLease.IsAccepted(change, 7));
}
