#include "agatetide/request/crash_table.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::request;
using std::chrono::seconds;

namespace {

constexpr size_t kMany = 1000;

CrashRecord Crash(const std::string& aDigest,
                  const std::string& aReplica,
                  const std::string& aAccount = "account")
{
  CrashRecord crash;
  crash.mDigest = aDigest;
  crash.mShortHash = std::hash<std::string>()(aDigest);
  crash.mAccount = aAccount;
  crash.mReplicaId = aReplica;
  crash.mSoftware.insert(SoftwareName("service", "v1"));
  return crash;
}

CrashRecord Trial(const std::string& aDigest, uint32_t aNumber)
{
  CrashRecord trial = Crash(aDigest, "");
  trial.mKind = CrashRecord::Kind::Trial;
  trial.mTrialNumber = aNumber;
  return trial;
}

CrashRecordKey KeyOf(const CrashRecord& aRecord)
{
  return { aRecord.mDigest, aRecord.Name() };
}

struct Fixture
{
  /// Records a crash that this host finds.
  void Find(const CrashRecord& aCrash)
  {
    mTable.AddUnsettled(aCrash);
    mTable.Confirm(aCrash);
  }

  policy::CrashHistory History(const std::string& aDigest = "a")
  {
    return mTable.History(aDigest, { SoftwareName("service", "v1") });
  }

  ManualClock mClock;
  CrashTable mTable{ { 4 }, mClock.AsClock() };
};

} // namespace

// Guards against counting one crash twice that two hosts report, or that two
// attempts see, and against missing the next start of the same replica.
Test(crash_table, counts_each_end_of_a_replica_once)
{
  Fixture fixture;
  fixture.Find(Crash("a", "r1"));
  fixture.mTable.AddUnsettled(Crash("a", "r1"));
  fixture.mTable.PutShared(Crash("a", "r1"));
  cr_expect_eq(fixture.History().SuspectedCrashes(), 1);
  CrashRecord next = Crash("a", "r1");
  next.mReplicaStartMs = 5;
  fixture.mTable.PutShared(next);
  cr_expect_eq(fixture.History().mCrashes, 2);
}

// Guards against a suspicion that counts on although the replica was reached,
// and against one that cannot be confirmed any more.
Test(crash_table, discounted_suspicions_can_be_confirmed)
{
  Fixture fixture;
  fixture.mTable.AddUnsettled(Crash("a", "r1"));
  cr_expect_eq(fixture.History().mUnsettled, 1);
  fixture.mTable.DiscountUnsettled(KeyOf(Crash("a", "r1")));
  cr_expect_eq(fixture.History().SuspectedCrashes(), 0);
  cr_expect(fixture.mTable.Confirm(Crash("a", "r1")));
  cr_expect_eq(fixture.History().mCrashes, 1);
  fixture.mTable.AddUnsettled(Crash("b", "r1"));
  fixture.mTable.DropUnsettled(KeyOf(Crash("b", "r1")));
  cr_expect_not(fixture.mTable.Confirm(Crash("b", "r1")));
}

// Guards against a crash that counts against a request which was answered
// before the crash was confirmed.
Test(crash_table, an_answer_clears_the_request)
{
  Fixture fixture;
  fixture.Find(Crash("a", "r1"));
  fixture.mTable.PutShared(Crash("a", "r2"));
  fixture.mTable.AddUnsettled(Crash("a", "r3"));
  cr_expect(fixture.mTable.Clear("a"));
  cr_expect_not(fixture.mTable.Confirm(Crash("a", "r3")));
  cr_expect(fixture.mTable.IsEmpty());
  cr_expect_not(fixture.mTable.MayContain(Crash("a", "").mShortHash));
  cr_expect_eq(fixture.mTable.StaleKeys().size(), 1);
  cr_expect_not(fixture.mTable.Clear("a"));
}

// Guards against a record that stays in the store since it was written while
// its request was answered.
Test(crash_table, records_written_after_an_answer_are_removed)
{
  Fixture fixture;
  fixture.Find(Crash("a", "r1"));
  fixture.mTable.Clear("a");
  fixture.mTable.MarkShared(KeyOf(Crash("a", "r1")));
  cr_expect_eq(fixture.mTable.StaleKeys().size(), 1);
  fixture.mTable.RemoveShared(KeyOf(Crash("a", "r1")));
  cr_expect(fixture.mTable.StaleKeys().empty());
}

// Guards against writes for each of hundreds of sound requests that end with a
// replica and are answered by another one, and against a late report of a
// request that crashed two.
Test(crash_table, single_crashes_are_shared_later)
{
  Fixture fixture;
  fixture.Find(Crash("a", "r1"));
  cr_expect(fixture.mTable.UnsharedRecords(kMany, kMany).empty());
  fixture.Find(Crash("a", "r2"));
  cr_expect_eq(fixture.mTable.UnsharedRecords(kMany, kMany).size(), 2);
  fixture.Find(Crash("b", "r2"));
  fixture.mClock.Advance(seconds(1));
  cr_expect_eq(fixture.mTable.UnsharedRecords(kMany, kMany).size(), 3);
  const auto first = fixture.mTable.UnsharedRecords(1, kMany);
  cr_expect_str_eq(first.at(0).mDigest.c_str(), "a");
  cr_expect_eq(fixture.mTable.UnsharedRecords(kMany, 0).size(), 2);
  fixture.mTable.MarkShared(KeyOf(Crash("b", "r2")));
  cr_expect_eq(fixture.mTable.UnsharedRecords(kMany, kMany).size(), 2);
}

// Guards against one caller whose requests displace those of others.
Test(crash_table, an_account_displaces_its_own_requests)
{
  Fixture fixture;
  fixture.Find(Crash("mine", "r1", "other"));
  for (const char* digest : { "a", "b", "c", "d", "e", "f" }) {
    fixture.mClock.Advance(seconds(1));
    fixture.Find(Crash(digest, "r1"));
    fixture.Find(Crash("a", std::string("r-") + digest));
  }
  cr_expect_eq(fixture.History("mine").mCrashes, 1);
  cr_expect_gt(fixture.History("a").mCrashes, 1);
  cr_expect_eq(fixture.History("f").mCrashes, 1);
  cr_expect_eq(fixture.History("b").mCrashes, 0);
}

// Guards against records that were removed while this host heard nothing, and
// against losing what it has not written yet.
Test(crash_table, a_snapshot_replaces_shared_records_only)
{
  Fixture fixture;
  fixture.mTable.PutShared(Crash("a", "r1"));
  fixture.mTable.PutShared(Crash("a", "r2"));
  fixture.Find(Crash("a", "r3"));
  fixture.mTable.RetainShared({ KeyOf(Crash("a", "r2")) });
  cr_expect_eq(fixture.History().mCrashes, 2);
}

// Guards against trials that are counted as crashes, and against a new software
// version that is not noticed or that is tried again and again.
Test(crash_table, knows_trials_and_new_software)
{
  Fixture fixture;
  for (const char* replica : { "r1", "r2", "r3" }) {
    fixture.mTable.PutShared(Crash("a", replica));
  }
  fixture.mClock.Advance(seconds(5));
  fixture.mTable.PutShared(Trial("a", 0));
  fixture.mClock.Advance(seconds(2));
  cr_expect_eq(fixture.History().mCrashes, 3);
  cr_expect_eq(fixture.History().mTrials, 1);
  cr_expect_eq(fixture.History().mSinceLast, seconds(2));
  cr_expect_not(fixture.History().mSoftwareReplaced);
  const std::set<std::string, std::less<>> next{ SoftwareName("service",
                                                              "v2") };
  cr_expect(fixture.mTable.History("a", next).mSoftwareReplaced);
  CrashRecord trial = Trial("a", 1);
  trial.mSoftware = next;
  fixture.mTable.PutShared(trial);
  cr_expect_not(fixture.mTable.History("a", next).mSoftwareReplaced);
  cr_expect_not(fixture.mTable.History("a", {}).mSoftwareReplaced);
}

// Guards against a verdict that expires while its request is still repeated, at
// the price of a write for each refusal.
Test(crash_table, refused_requests_are_written_again_now_and_then)
{
  Fixture fixture;
  fixture.mTable.PutShared(Crash("a", "r1"));
  fixture.mTable.Refresh("a");
  cr_expect(fixture.mTable.UnsharedRecords(kMany, kMany).empty());
  fixture.mClock.Advance(std::chrono::minutes(3));
  fixture.mTable.Refresh("a");
  cr_expect_eq(fixture.mTable.UnsharedRecords(kMany, kMany).size(), 1);
  fixture.mTable.PutShared(Crash("a", "r1"));
  cr_expect(fixture.mTable.UnsharedRecords(kMany, kMany).empty());
  cr_expect_eq(fixture.History().mSinceLast, std::chrono::minutes(3));
}

// Guards against records that a host keeps for good while it cannot write them.
Test(crash_table, local_records_expire)
{
  Fixture fixture;
  fixture.Find(Crash("a", "r1"));
  fixture.mTable.PutShared(Crash("b", "r1"));
  fixture.mClock.Advance(std::chrono::minutes(6));
  fixture.mTable.RemoveOld();
  cr_expect_eq(fixture.History("a").mCrashes, 0);
  cr_expect_eq(fixture.History("b").mCrashes, 1);
}

// Guards against logging each refusal.
Test(crash_table, the_first_refusal_is_marked)
{
  Fixture fixture;
  fixture.mTable.PutShared(Crash("a", "r1"));
  cr_expect(fixture.mTable.MarkRefused("a"));
  cr_expect_not(fixture.mTable.MarkRefused("a"));
  cr_expect_not(fixture.mTable.MarkRefused("b"));
}
