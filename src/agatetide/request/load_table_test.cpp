#include "agatetide/request/load_table.hpp"

#include "agatetide/request/replica_pool.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace agatetide;
using namespace agatetide::request;

namespace {

constexpr size_t kMaxBytes = 2048;

fleet::Replica MakeReplica(const std::string& aId, int64_t aStartTimeMs = 1)
{
  fleet::Replica replica;
  replica.mId = aId;
  replica.mService = "plain";
  replica.mSlots = 8;
  replica.mStartTimeMs = aStartTimeMs;
  return replica;
}

/// Two hosts that know the replicas "a" and "b".
struct TwoHosts
{
  TwoHosts()
  {
    for (auto* view : { &mView, &mOtherView }) {
      view->PutReplica(MakeReplica("a"));
      view->PutReplica(MakeReplica("b"));
    }
    mClock.Advance(std::chrono::seconds(1)); // Fills the budgets.
  }

  ManualClock mClock;
  fleet::FleetView mView{ mClock.AsClock(), "zone", "region" };
  fleet::FleetView mOtherView{ mClock.AsClock(), "zone", "region" };
  LoadTable mHost{ mView, mClock.AsClock() };
  LoadTable mOther{ mOtherView, mClock.AsClock() };
};

} // namespace

// Guards against a report that a host uses although its replica has restarted:
// its own ones, and those that other hosts send late.
Test(load_table, reports_from_before_a_restart_are_dropped)
{
  TwoHosts hosts;
  hosts.mHost.Record("a", { 8, 4, 8, 2.0 });
  hosts.mOther.Record("a", { 8, 4, 8, 2.0 });
  const std::string message = hosts.mHost.Export(kMaxBytes);
  hosts.mOtherView.PutReplica(MakeReplica("a", 2));
  const auto estimate = hosts.mOther.Estimate(MakeReplica("a", 2));
  cr_expect(!estimate.mAge && estimate.mRequests == 0.0);
  cr_expect(*hosts.mOther.Import(message) == 0);
  cr_expect(hosts.mOther.Count().mUnknown == 1);
}

// Guards against a host without messages or reports that places nothing, or
// everything on one replica: it goes on with its own requests.
Test(load_table, a_host_that_hears_nothing_counts_its_own_requests)
{
  TwoHosts hosts;
  hosts.mHost.Record("a", { 6, 0, 8, 2.0 });
  hosts.mClock.Advance(std::chrono::microseconds(1));
  hosts.mHost.CountStart("a");
  cr_expect(hosts.mHost.Estimate(MakeReplica("a")).mRequests > 6.99);
  hosts.mClock.Advance(std::chrono::seconds(3));
  const auto old = hosts.mHost.Estimate(MakeReplica("a"));
  cr_expect(!old.mAge && old.mRequests == 1.0 && old.mPace == 1.0);
  cr_expect(hosts.mHost.Export(kMaxBytes).empty());
}

// Guards against a report that gets younger as hosts pass it on, and against
// one with a false age that lasts longer than a new one.
Test(load_table, only_newer_reports_are_accepted_and_ages_grow)
{
  TwoHosts hosts;
  hosts.mHost.Record("a", { 6, 0, 8, 1.5 });
  hosts.mClock.Advance(std::chrono::microseconds(300'500));
  cr_expect(*hosts.mOther.Import(hosts.mHost.Export(kMaxBytes)) == 1);
  const auto estimate = hosts.mOther.Estimate(MakeReplica("a"));
  cr_expect(*estimate.mAge == Milliseconds(301));
  cr_expect(hosts.mOther.IsActive("plain"));
  cr_expect(*hosts.mHost.Import(hosts.mOther.Export(kMaxBytes)) == 0);

  const SharedLoad falseAge{ ReplicaKey(MakeReplica("a")), 0, 0, 100, 0 };
  hosts.mOther.Import(EncodeLoads({ &falseAge, 1 }, kMaxBytes));
  cr_expect(*hosts.mOther.Estimate(MakeReplica("a")).mAge == Duration::zero());
  hosts.mClock.Advance(std::chrono::seconds(2));
  cr_expect(!hosts.mOther.Estimate(MakeReplica("a")).mAge);
}

// Guards against messages that take the budget of all others, and against
// sending nothing new.
Test(load_table, messages_are_bounded_and_changes_come_first)
{
  TwoHosts hosts;
  hosts.mHost.Record("a", { 1, 0, 8, 1.0 });
  hosts.mHost.Record("b", { 1, 0, 8, 1.0 });
  hosts.mHost.Export(kMaxBytes);
  hosts.mClock.Advance(Milliseconds(200));
  hosts.mHost.Record("b", { 8, 3, 8, 1.0 });
  const auto loads = DecodeLoads(hosts.mHost.Export(1 + kLoadBytes + 24));
  cr_assert(loads.has_value() && loads->size() == 1);
  cr_expect(loads->front().mKey == ReplicaKey(MakeReplica("b")));
  const uint64_t before = hosts.mHost.Count().mSentBytes;
  for (int i = 0; i < 1000; ++i) {
    hosts.mHost.Export(kMaxBytes);
    hosts.mClock.Advance(Milliseconds(1));
  }
  cr_expect(hosts.mHost.Count().mSentBytes - before < 5000);
}

// Guards against a change for services whose replicas report no pace.
Test(load_table, a_service_without_a_pace_is_not_estimated)
{
  TwoHosts hosts;
  ReplicaPool pool(hosts.mView, hosts.mClock.AsClock(), SeededRandom(1));
  pool.RecordHeaderLoad("a", { 6, 0, 8, std::nullopt });
  cr_expect(!pool.UsesEstimates("plain"));
  cr_expect(pool.ExportLoads(kMaxBytes).empty());
  pool.RecordHeaderLoad("a", { 6, 0, 8, 1.0 });
  cr_expect(pool.UsesEstimates("plain"));
  pool.SetChoicePolicy(policy::ReplicaChoicePolicy::LeastRequests);
  cr_expect(!pool.UsesEstimates("plain"));
}

// Guards against bytes of another host that end the process, or that are read
// in part.
Test(load_table, malformed_messages_are_refused_whole)
{
  const std::vector<SharedLoad> loads{ { 1, 2, 3, 150, 40 },
                                       { (1ULL << 42) - 1, 0, 0, 0, 4095 } };
  const std::string text = EncodeLoads(loads, kMaxBytes);
  cr_assert(*DecodeLoads(text) == loads);
  cr_expect(DecodeLoads("").has_error());
  cr_expect(DecodeLoads("2" + text.substr(1)).has_error());
  cr_expect(DecodeLoads(text + std::string(8000, 'A')).has_error());
  for (size_t i = 1; i < text.size(); ++i) {
    cr_expect(DecodeLoads(text.substr(0, i)).has_error() ||
              (i - 1) % kLoadBytes == 0);
    for (const char byte : { '\0', '\r', ',', '=', '\xff' }) {
      std::string changed = text;
      changed[i] = byte;
      cr_expect(DecodeLoads(changed).has_error());
    }
  }
  const Random random = SeededRandom(7);
  TwoHosts hosts;
  for (int i = 0; i < 10'000; ++i) {
    std::string bytes(UniformBelow(random, 100), '1');
    for (size_t j = 1; j < bytes.size(); ++j) {
      bytes[j] = static_cast<char>(UniformBelow(random, 256));
    }
    hosts.mHost.Import(bytes);
  }
  cr_expect(hosts.mHost.Count().mAccepted == 0);
}

// Guards against choices that look at the estimates of thousands of replicas: a
// small host spent most of its time on them and served a third of its requests.
Test(load_table, large_services_are_placed_by_counts)
{
  TwoHosts hosts;
  hosts.mHost.Record("a", { 1, 0, 8, 1.0 });
  cr_expect(hosts.mHost.IsActive("plain"));
  for (int i = 0; i < 255; ++i) {
    hosts.mView.PutReplica(MakeReplica("more-" + std::to_string(i)));
  }
  hosts.mClock.Advance(std::chrono::seconds(1));
  cr_expect_not(hosts.mHost.IsActive("plain"));
  hosts.mView.RemoveReplica("b");
  hosts.mClock.Advance(std::chrono::seconds(1));
  cr_expect(hosts.mHost.IsActive("plain"));
}
