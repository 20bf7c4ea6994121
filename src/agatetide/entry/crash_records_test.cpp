#include "agatetide/entry/crash_records.hpp"

#include "agatetide/coordination/memory_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;
using namespace agatetide::entry;
using request::CrashRecord;
namespace asio = boost::asio;

namespace {

constexpr const char* kDigest = "0123456789abcdef0123456789abcdef";

CrashRecord Crash(const std::string& aReplica)
{
  CrashRecord crash;
  crash.mDigest = kDigest;
  crash.mShortHash = 0xfedcba9876543210;
  crash.mAccount = "account";
  crash.mSoftware = { "service@v1" };
  crash.mReplicaId = aReplica;
  crash.mReplicaStartMs = 1700000000000;
  crash.mHost = "host-1";
  crash.mRequestId = "request-1";
  crash.mTarget = "/open/1";
  return crash;
}

CrashRecord Trial()
{
  CrashRecord trial = Crash("");
  trial.mKind = CrashRecord::Kind::Trial;
  trial.mReplicaStartMs = 0;
  trial.mTrialNumber = 1;
  return trial;
}

StoreEntry EntryOf(const CrashRecord& aRecord)
{
  const StorePut put = EncodeCrashRecord(aRecord);
  return { put.mKey, put.mValue, 1, 1, 0 };
}

/// A host with a store that it shares with others, or that fails.
struct Fixture
{
  explicit Fixture(bool aStoreFails = false)
    : mFails(aStoreFails)
  {
  }

  void Find(const CrashRecord& aCrash)
  {
    mTable.AddUnsettled(aCrash);
    mTable.Confirm(aCrash);
  }

  /// Lets the records be written and removed a few times.
  void Maintain()
  {
    asio::co_spawn(mContext, mRecords.Maintain(), asio::detached);
    mContext.run_for(std::chrono::milliseconds(60));
    mContext.restart();
  }

  bool Claim(const CrashRecord& aTrial)
  {
    bool claimed = false;
    asio::co_spawn(
      mContext,
      mRecords.ClaimTrial(aTrial),
      [&](const std::exception_ptr&, bool aClaimed) { claimed = aClaimed; });
    mContext.run();
    mContext.restart();
    return claimed;
  }

  size_t Crashes() { return mTable.History(kDigest, {}).mCrashes; }

  Awaitable<Result<StoreReply>> Call(StoreRequest aRequest)
  {
    ++mCalls;
    if (mFails) {
      co_return Error{ ErrorKind::Unavailable, "the store is away", "wait" };
    }
    if (std::holds_alternative<LeaseGrantRequest>(aRequest)) {
      StoreReply granted;
      granted.mLeaseId = 7;
      co_return granted;
    }
    const auto& transaction = std::get<TransactionRequest>(aRequest);
    StoreReply reply;
    for (const StoreCompare& compare : transaction.mCompares) {
      if (mStored.contains(compare.mKey)) {
        co_return reply;
      }
    }
    reply.mSucceeded = true;
    for (const StorePut& put : transaction.mPuts) {
      mStored[put.mKey] = put;
    }
    for (const StoreDelete& removed : transaction.mDeletes) {
      mStored.erase(removed.mKey);
    }
    co_return reply;
  }

  asio::io_context mContext;
  ManualClock mClock;
  bool mFails;
  int mCalls = 0;
  std::map<std::string, StorePut> mStored;
  request::CrashTable mTable{ {}, mClock.AsClock() };
  CrashRecords mRecords{ { Milliseconds(5), Milliseconds(5) },
                         mContext.get_executor(),
                         mTable,
                         [this](StoreRequest aRequest) {
                           return Call(std::move(aRequest));
                         },
                         mClock.AsClock() };
};

void ReadList(Fixture& aFixture, const std::vector<StoreEntry>& aEntries)
{
  aFixture.mRecords.BeginList();
  aFixture.mRecords.PutPage(aEntries);
  aFixture.mRecords.EndList();
}

} // namespace

// Guards against builds that do not understand each other's records.
Test(crash_records, the_form_of_records_does_not_change)
{
  const StorePut crash = EncodeCrashRecord(Crash("replica-1"));
  cr_expect_str_eq(crash.mKey.c_str(),
                   "agatetide/live/crash/"
                   "0123456789abcdef0123456789abcdef/11907546662105916779");
  cr_expect_str_eq(crash.mValue.c_str(),
                   R"({"account":"account","host":"host-1","kind":"crash","rep)"
                   R"(lica":"replica-1","replica_start_ms":1700000000000,"requ)"
                   R"(est_id":"request-1","short_hash":"fedcba9876543210","sof)"
                   R"(tware":["service@v1"],"target":"/open/1"})");
  const StorePut trial = EncodeCrashRecord(Trial());
  cr_expect_str_eq(trial.mKey.c_str(),
                   "agatetide/live/crash/"
                   "0123456789abcdef0123456789abcdef/trial-1");
  cr_expect_str_eq(trial.mValue.c_str(),
                   R"({"account":"account","host":"host-1","kind":"trial","req)"
                   R"(uest_id":"request-1","short_hash":"fedcba9876543210","so)"
                   R"(ftware":["service@v1"],"target":"/open/1","trial":1})");
}

// Guards against records that lose a field on their way.
Test(crash_records, records_are_decoded_as_they_were_encoded)
{
  for (const CrashRecord& record : { Crash("replica-1"), Trial() }) {
    const auto decoded = DecodeCrashRecord(EntryOf(record));
    cr_assert(decoded.has_value());
    cr_expect_eq(decoded->mKind, record.mKind);
    cr_expect_eq(decoded->mShortHash, record.mShortHash);
    cr_expect_eq(decoded->mSoftware, record.mSoftware);
    cr_expect_eq(decoded->mReplicaStartMs, record.mReplicaStartMs);
    const std::string name = record.Name();
    const std::string decodedName = decoded->Name();
    cr_expect_str_eq(decodedName.c_str(), name.c_str());
    cr_expect_str_eq(decoded->mTarget.c_str(), record.mTarget.c_str());
  }
}

// Guards against a record that no host reads since a caller's id or target is
// not UTF-8, or that fails to be written.
Test(crash_records, texts_of_callers_may_have_any_bytes)
{
  for (int byte = 0; byte < 256; ++byte) {
    CrashRecord crash = Crash("replica-1");
    crash.mTarget = "/open/" + std::string(1, static_cast<char>(byte));
    crash.mRequestId = crash.mTarget;
    const auto decoded = DecodeCrashRecord(EntryOf(crash));
    cr_assert(decoded.has_value(), "%d", byte);
    cr_expect_eq(decoded->Name(), crash.Name());
    if (byte < 128) {
      cr_expect_eq(decoded->mTarget, crash.mTarget, "%d", byte);
      cr_expect_eq(decoded->mRequestId, crash.mRequestId, "%d", byte);
    }
  }
}

// Guards against malformed entries, or those of a later build, that end the
// daemon or count as crashes.
Test(crash_records, malformed_entries_are_ignored)
{
  Fixture fixture;
  const StoreEntry good = EntryOf(Crash("replica-1"));
  const std::string deep(100000, '[');
  for (const std::string& value :
       { std::string(),
         std::string("[]"),
         std::string("{}"),
         deep,
         std::string(R"({"kind":"later","short_hash":"1"})"),
         std::string(R"({"kind":"crash","short_hash":"x"})"),
         std::string(R"({"kind":"crash","short_hash":"1","replica":7})"),
         std::string(R"({"kind":"trial","short_hash":"1","trial":1e300})") }) {
    StoreEntry entry = good;
    entry.mValue = value;
    fixture.mRecords.ApplyChange({ entry, false });
  }
  StoreEntry misplaced = good;
  misplaced.mKey = std::string(kCrashPrefix) + "short/1";
  fixture.mRecords.ApplyChange({ misplaced, false });
  cr_expect(fixture.mTable.IsEmpty());
  fixture.mRecords.ApplyChange({ good, false });
  cr_expect_eq(fixture.Crashes(), 1);
}

// Guards against hosts that do not hear of each other's crashes, and against
// other keys of the watched prefix that are taken for records.
Test(crash_records, follows_the_store)
{
  Fixture fixture;
  ReadList(
    fixture,
    { EntryOf(Crash("replica-1")), { "agatetide/live/leader", "host", 1, 1 } });
  fixture.mRecords.ApplyChange({ EntryOf(Crash("replica-2")), false });
  cr_expect_eq(fixture.Crashes(), 2);
  fixture.mRecords.ApplyChange({ EntryOf(Crash("replica-1")), true });
  cr_expect_eq(fixture.Crashes(), 1);
  ReadList(fixture, {});
  cr_expect_eq(fixture.Crashes(), 0);
}

// Guards against crashes that only this host knows of, and against records of a
// request that was answered.
Test(crash_records, writes_crashes_and_removes_those_of_answered_requests)
{
  Fixture fixture;
  fixture.Find(Crash("replica-1"));
  fixture.Find(Crash("replica-2"));
  fixture.Maintain();
  cr_expect_eq(fixture.mStored.size(), 2);
  cr_expect_eq(fixture.mStored.begin()->second.mLeaseId, 7);
  fixture.mTable.Clear(kDigest);
  fixture.Maintain();
  cr_expect(fixture.mStored.empty());
  cr_expect(fixture.mTable.StaleKeys().empty());
}

// Guards against losing a crash that the store does not take, and against calls
// without a pause while it is away.
Test(crash_records, writes_again_when_the_store_is_back)
{
  Fixture fixture(true);
  fixture.Find(Crash("replica-1"));
  fixture.Find(Crash("replica-2"));
  fixture.Maintain();
  cr_expect_geq(fixture.mCalls, 1);
  cr_expect_leq(fixture.mCalls, 6);
  fixture.mFails = false;
  fixture.Maintain();
  cr_expect_eq(fixture.mStored.size(), 2);
}

// Guards against two hosts that run one trial, and against a trial that the
// others do not know of.
Test(crash_records, a_trial_is_granted_once)
{
  Fixture fixture;
  cr_expect(fixture.Claim(Trial()));
  cr_expect_not(fixture.Claim(Trial()));
  cr_expect_eq(fixture.mStored.size(), 1);
  Fixture without(true);
  cr_expect_not(without.Claim(Trial()));
}
