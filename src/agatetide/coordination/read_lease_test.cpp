#include "agatetide/coordination/read_lease.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;

namespace {

constexpr Milliseconds kTrustTime{ 5000 };

struct Fixture
{
  Fixture() { mTrust.SetHosts({ "a", "b", "c" }, 7); }

  ProbeResult Ack(const std::string& aPeer,
                  int64_t aVersion,
                  bool aStoreContact = false) const
  {
    return { aPeer,         mClock.Now(), aVersion, std::nullopt,
             aStoreContact, {},           true };
  }

  /// Gives this daemon a proof and lets it expire, as in a store outage.
  void ProveThenLoseStore(int64_t aVersion)
  {
    mTrust.RecordStoreRead(mClock.Now(), aVersion);
    mClock.Advance(kTrustTime + Milliseconds(1));
  }

  ManualClock mClock;
  ReadLease mTrust =
    ReadLease::Create("a", { kTrustTime }, mClock.AsClock()).value();
};

} // namespace

// Guards against a cut-off daemon that goes on accepting withdrawn keys.
Test(trust, lapses_after_the_trust_time_without_proof)
{
  Fixture fixture;
  fixture.mTrust.RecordStoreRead(fixture.mClock.Now(), 7);
  cr_assert(fixture.mTrust.Valid(7));
  fixture.mClock.Advance(kTrustTime + Milliseconds(1));
  cr_assert(!fixture.mTrust.Valid(7));
}

// Guards against refusing keyed routes while a change spreads: a copy that is
// newer than the last proof holds all that the proof covers.
Test(trust, a_newer_copy_keeps_the_older_proof)
{
  Fixture fixture;
  fixture.mTrust.RecordStoreRead(fixture.mClock.Now(), 7);
  cr_assert(fixture.mTrust.Valid(8));
  cr_assert(!fixture.mTrust.Valid(6));
}

// Guards against a delayed acknowledgement that extends trust.
Test(trust, a_peers_proof_counts_from_when_the_probe_was_sent)
{
  Fixture fixture;
  ProbeResult proof = fixture.Ack("b", 7, true);
  proof.mStaleness = Milliseconds(1000);
  fixture.mClock.Advance(Milliseconds(4500));
  fixture.mTrust.RecordProbeResult(proof);
  cr_assert(!fixture.mTrust.Valid(7));
}

// Guards against refusing service for as long as the store is down.
Test(trust, a_majority_without_store_keeps_trust)
{
  Fixture fixture;
  fixture.ProveThenLoseStore(6);
  fixture.mTrust.RecordProbeResult(fixture.Ack("b", 7));
  cr_assert(fixture.mTrust.Valid(7));
  cr_assert(!fixture.mTrust.Valid(6));
}

// Guards against refusing service in a large deployment whose majority cannot
// be probed directly within the trust time.
Test(trust, relayed_evidence_counts_towards_the_majority)
{
  Fixture fixture;
  fixture.mTrust.SetHosts({ "a", "b", "c", "d", "e" }, 7);
  fixture.ProveThenLoseStore(7);
  ProbeResult proof = fixture.Ack("b", 7);
  fixture.mTrust.RecordProbeResult(proof);
  cr_assert(!fixture.mTrust.Valid(7));
  proof.mProbeSent += Milliseconds(1);
  proof.mRelayedAcks = { { 2, 1000 } };
  fixture.mTrust.RecordProbeResult(proof);
  cr_assert(fixture.mTrust.Valid(7));
  fixture.mClock.Advance(Milliseconds(4100));
  cr_assert(!fixture.mTrust.Valid(7));
}

// Guards against relayed evidence that names hosts of another version.
Test(trust, evidence_of_another_version_is_ignored)
{
  Fixture fixture;
  fixture.mTrust.SetHosts({ "a", "b", "c", "d", "e" }, 8);
  fixture.ProveThenLoseStore(7);
  ProbeResult proof = fixture.Ack("b", 7);
  proof.mRelayedAcks = { { 2, 0 }, { 3, 0 } };
  fixture.mTrust.RecordProbeResult(proof);
  cr_assert(!fixture.mTrust.Valid(8));
}

// Guards against counting a peer that may know of unseen changes.
Test(trust, peers_with_store_contact_are_no_majority_without_store)
{
  Fixture fixture;
  fixture.ProveThenLoseStore(7);
  fixture.mTrust.RecordProbeResult(fixture.Ack("b", 7, true));
  fixture.mTrust.RecordProbeResult(fixture.Ack("c", 7, true));
  cr_assert(!fixture.mTrust.Valid(7));
}

// Guards against answering a change as accepted while a silent host may
// still trust the version before it.
Test(trust, acceptance_waits_for_silent_hosts_to_lapse)
{
  Fixture fixture;
  PendingChange acceptance{ 8, fixture.mClock.Now(), std::nullopt };
  fixture.mTrust.RecordProbeResult(fixture.Ack("b", 8, true));
  cr_assert(!fixture.mTrust.Accepted(acceptance, 8));
  fixture.mClock.Advance(kTrustTime);
  cr_assert(!fixture.mTrust.Accepted(acceptance, 8));
  fixture.mClock.Advance(Milliseconds(300));
  cr_assert(fixture.mTrust.Accepted(acceptance, 8));
}

// Guards against guessing on the side of a partition that lacks a majority.
Test(trust, a_minority_never_accepts_a_change)
{
  Fixture fixture;
  PendingChange acceptance{ 8, fixture.mClock.Now(), std::nullopt };
  fixture.mClock.Advance(std::chrono::minutes(10));
  cr_assert(!fixture.mTrust.Accepted(acceptance, 8));
}

// Guards against a setting that breaks the withdrawal bound of 7 s.
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
  fixture.mTrust.RecordProbeResult(fixture.Ack("b", 7));
  cr_assert(!fixture.mTrust.Valid(7));
  fixture.ProveThenLoseStore(7);
  ProbeResult restarted = fixture.Ack("b", 7);
  restarted.mFreshSinceStart = false;
  fixture.mTrust.RecordProbeResult(restarted);
  cr_assert(!fixture.mTrust.Valid(7));
}

// Guards against a restarted host that trusts an old copy by a peer's proof
// from before the change that an earlier process here acknowledged.
Test(trust, a_proof_from_before_the_start_does_not_count)
{
  Fixture fixture;
  ProbeResult proof = fixture.Ack("b", 7);
  proof.mStaleness = Milliseconds(1);
  fixture.mTrust.RecordProbeResult(proof);
  cr_assert(!fixture.mTrust.Valid(7));
  cr_assert(!fixture.mTrust.FreshSinceStart());
}

// Guards against answering a host's removal as accepted while the removed
// host still serves from the version before it.
Test(trust, quick_acceptance_waits_for_a_removed_host)
{
  Fixture fixture;
  fixture.mTrust.SetHosts({ "a", "b" }, 8);
  PendingChange acceptance{ 8, fixture.mClock.Now(), std::nullopt };
  fixture.mTrust.RecordProbeResult(fixture.Ack("b", 8, true));
  cr_assert(!fixture.mTrust.Accepted(acceptance, 8));
  fixture.mTrust.RecordProbeResult(fixture.Ack("c", 8, true));
  cr_assert(fixture.mTrust.Accepted(acceptance, 8));
}

// Guards against counting the majority among the hosts of an older copy.
Test(trust, a_local_copy_behind_the_change_accepts_nothing)
{
  Fixture fixture;
  PendingChange acceptance{ 8, fixture.mClock.Now(), std::nullopt };
  fixture.mTrust.RecordProbeResult(fixture.Ack("b", 8, true));
  fixture.mTrust.RecordProbeResult(fixture.Ack("c", 8, true));
  cr_assert(!fixture.mTrust.Accepted(acceptance, 7));
}
