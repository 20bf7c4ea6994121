#include "agatetide/duty/usage_ledger.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;
using namespace agatetide::duty;

namespace {

constexpr int64_t kWindowMs = 5000;
constexpr int64_t kStartMs = 100 * kWindowMs;

/// A store, a wall clock that the test sets, and the reports that were sent.
struct Fixture
{
  UsageLedger Make(const std::string& aOwner)
  {
    return { {}, mStore.AsCall(), [this] { return mNowMs; }, aOwner };
  }

  Awaitable<Result<bool>> RecordReport(int64_t aWindow, AccountCounts aCounts)
  {
    mReports[aWindow] = std::move(aCounts);
    co_return true;
  }

  void Run(Awaitable<void> aAwaitable)
  {
    boost::asio::io_context context;
    boost::asio::co_spawn(
      context, std::move(aAwaitable), boost::asio::detached);
    context.run();
  }

  void AcquireLeadership(Leadership& aLeadership)
  {
    mView.SetLeader("");
    for (int i = 0; i < 20; ++i) {
      Run(aLeadership.Maintain());
      mStore.mClock.Advance(std::chrono::milliseconds(100));
    }
  }

  FaultyStore mStore;
  int64_t mNowMs = kStartMs;
  fleet::FleetView mView{ mStore.mClock.AsClock(), "zone", "region" };
  std::map<int64_t, AccountCounts> mReports;
};

} // namespace

// Guards against a store call for each window by every daemon of a large fleet,
// although most of them have had no requests in it.
Test(usage_ledger, a_window_without_requests_is_not_stored)
{
  Fixture fixture;
  UsageLedger ledger = fixture.Make("host#1");
  int calls = 0;
  fixture.mStore.mBeforeCall = [&](const StoreRequest&) { ++calls; };
  fixture.mNowMs = kStartMs + 4 * kWindowMs;
  fixture.Run(ledger.Store(false));
  cr_expect(calls == 0);
  ledger.Count("account", fixture.mNowMs);
  fixture.mNowMs += 2 * kWindowMs;
  fixture.Run(ledger.Store(false));
  cr_expect(calls == 1);
}

// Guards against reports without the counts that a daemon stored late, and
// against two reports of a window with different counts.
Test(usage_ledger, a_window_is_sealed_with_what_all_daemons_have_stored)
{
  Fixture fixture;
  auto leadership = Leadership::Create({},
                                       fixture.mStore.AsCall(),
                                       fixture.mStore.mClock.AsClock(),
                                       "host",
                                       "1",
                                       fixture.mView);
  fixture.AcquireLeadership(*leadership);
  cr_assert(leadership->MayAct());
  UsageLedger first = fixture.Make("host#1");
  UsageLedger second = fixture.Make("other#1");
  first.Count("account", kStartMs);
  second.Count("account", kStartMs);
  second.Count("account", kStartMs);
  fixture.mNowMs = kStartMs + kWindowMs + 1500;
  fixture.Run(first.Store(false));
  // The store is down for the second daemon's first attempt.
  fixture.mStore.mNextFaults = { StoreFault::Down };
  fixture.Run(second.Store(false));
  const UsageReportCall report =
    [&](int64_t aWindow, const AccountCounts& aCounts, int64_t) {
      return fixture.RecordReport(aWindow, aCounts);
    };
  fixture.Run(first.Report(*leadership, report));
  fixture.mNowMs = kStartMs + kWindowMs + 4000;
  fixture.Run(second.Store(false));
  fixture.mNowMs = kStartMs + kWindowMs + 4500;
  fixture.Run(first.Report(*leadership, report));
  cr_expect(fixture.mReports[kStartMs / kWindowMs] ==
            AccountCounts({ { "account", 3 } }));
  // Counts that are stored after the report don't change it.
  second.Count("account", fixture.mNowMs);
  fixture.Run(second.Store(true));
  fixture.Run(fixture.Make("late#1").Report(*leadership, report));
  cr_expect(fixture.mReports[kStartMs / kWindowMs] ==
            AccountCounts({ { "account", 3 } }));
}
