#include "agatetide/entry/replica_registrations.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::entry;
using coordination::StoreChange;
using coordination::StoreEntry;

namespace {

constexpr const char* kPrefix = "replicas/";
/// Value of a malformed registration.
constexpr const char* kOdd = "odd";

StoreEntry MakeEntry(const std::string& aId, std::string aStart = "1")
{
  StoreEntry entry;
  entry.mKey = kPrefix + aId;
  entry.mValue = std::move(aStart);
  return entry;
}

StoreChange MakeChange(const std::string& aId, bool aRemoved)
{
  StoreChange change;
  change.mEntry = MakeEntry(aId);
  change.mRemoved = aRemoved;
  return change;
}

/// Registrations whose values are the start times of their replicas, or kOdd.
struct Fixture
{
  static Result<fleet::Replica> Decode(const StoreEntry& aEntry)
  {
    if (aEntry.mValue == kOdd) {
      return Error{ ErrorKind::InvalidArgument, "odd", "none" };
    }
    fleet::Replica replica;
    replica.mId = aEntry.mKey.substr(std::string_view(kPrefix).size());
    replica.mStartTimeMs = std::stoll(aEntry.mValue);
    return replica;
  }

  bool IsKnown(const char* aId)
  {
    mRegistrations.RemoveExpired();
    return mView.FindReplica(aId) != nullptr;
  }

  ManualClock mClock;
  fleet::FleetView mView{ mClock.AsClock(), "zone", "region" };
  request::RequestLimits mLimits{ mView, "host", mClock.AsClock() };
  ReplicaRegistrations mRegistrations{ kPrefix,
                                       Decode,
                                       mView,
                                       mLimits,
                                       mClock.AsClock() };
};

} // namespace

// Guards against requests to a replica that has left, and against the loss of
// sound ones whose registrations expire while the store is away.
Test(replica_registrations, expired_ones_stay_only_around_an_outage)
{
  Fixture fixture;
  fixture.mRegistrations.Apply(MakeChange("left", false));
  fixture.mRegistrations.Apply(MakeChange("left", true));
  cr_expect(!fixture.IsKnown("left"));
  for (const char* id : { "back", "gone" }) {
    fixture.mRegistrations.Apply(MakeChange(id, false));
  }
  fixture.mClock.Advance(std::chrono::seconds(10));
  fixture.mRegistrations.RecordStoreFailure();
  for (const char* id : { "back", "gone" }) {
    fixture.mRegistrations.Apply(MakeChange(id, true));
  }
  fixture.mClock.Advance(std::chrono::seconds(2));
  cr_expect(fixture.IsKnown("back") && fixture.IsKnown("gone"));
  fixture.mRegistrations.Apply(MakeChange("back", false));
  fixture.mClock.Advance(std::chrono::seconds(1));
  cr_expect(fixture.IsKnown("back"));
  cr_expect(!fixture.IsKnown("gone"));
}

// Guards against a host that says that it is ready before it knows a replica,
// and rejects the first requests of its callers.
Test(replica_registrations, they_are_known_once_they_were_read)
{
  Fixture fixture;
  fixture.mRegistrations.Apply(MakeChange("a", false));
  cr_expect_not(fixture.mRegistrations.AreKnown());
  fixture.mRegistrations.Reset({});
  cr_expect(fixture.mRegistrations.AreKnown());
}

// Guards against an older registration that makes a replica usable again after
// it has said that it leaves, and against a new start that is left alone.
Test(replica_registrations, what_a_replica_says_lasts_until_its_next_start)
{
  Fixture fixture;
  fixture.mRegistrations.Apply(MakeChange("a", false));
  fixture.mRegistrations.RecordDraining("a");
  fixture.mRegistrations.RecordDraining("a");
  cr_expect_eq(fixture.mRegistrations.DrainReportCount(), 1);
  const StoreEntry ready = MakeEntry("a");
  fixture.mRegistrations.Reset(std::span(&ready, 1));
  cr_expect(fixture.mView.FindReplica("a")->mDraining);
  const StoreEntry restarted = MakeEntry("a", "2");
  fixture.mRegistrations.Reset(std::span(&restarted, 1));
  cr_expect(!fixture.mView.FindReplica("a")->mDraining);
}

// Guards against a replica that is used for good because its registration was
// replaced by a malformed one, and against losing one whose next heartbeat
// mends it.
Test(replica_registrations, a_malformed_registration_names_no_replica)
{
  Fixture fixture;
  for (const char* id : { "odd", "mended", "odd-in-snapshot" }) {
    fixture.mRegistrations.Apply(MakeChange(id, false));
  }
  for (const char* id : { "odd", "mended" }) {
    fixture.mRegistrations.Apply({ MakeEntry(id, kOdd), false });
  }
  const std::vector<StoreEntry> snapshot{ MakeEntry("odd", kOdd),
                                          MakeEntry("mended", kOdd),
                                          MakeEntry("odd-in-snapshot", kOdd) };
  fixture.mRegistrations.Reset(snapshot);
  cr_expect(fixture.IsKnown("odd") && fixture.IsKnown("mended"));
  fixture.mRegistrations.Apply(MakeChange("mended", false));
  fixture.mClock.Advance(std::chrono::seconds(3));
  cr_expect_not(fixture.IsKnown("odd"));
  cr_expect_not(fixture.IsKnown("odd-in-snapshot"));
  cr_expect(fixture.IsKnown("mended"));
}
