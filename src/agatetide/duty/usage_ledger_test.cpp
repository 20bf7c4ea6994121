#include "agatetide/duty/usage_ledger.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;
using namespace agatetide::duty;

namespace {

constexpr int64_t kWindow = 5000;
constexpr int64_t kStart = 100 * kWindow;

/// A store, a wall clock that the test moves, and what was reported.
struct Fixture
{
  UsageLedger Make(const std::string& aCounter)
  {
    return { {}, mStore.AsCall(), [this] { return mWall; }, aCounter };
  }

  Awaitable<Result<bool>> Keep(int64_t aWindow, AccountCounts aCounts)
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

  void Lead(Leadership& aLeadership)
  {
    mView.SetLeader("");
    for (int i = 0; i < 20; ++i) {
      Run(aLeadership.Maintain());
      mStore.mClock.Advance(std::chrono::milliseconds(100));
    }
  }

  FaultyStore mStore;
  int64_t mWall = kStart;
  fleet::FleetView mView{ mStore.mClock.AsClock(), "zone", "region" };
  std::map<int64_t, AccountCounts> mReports;
};

} // namespace

// Guards against one store call of each daemon for each window, though most
// daemons of a large fleet have served nobody in it.
Test(usage_ledger, a_window_without_requests_is_not_stored)
{
  Fixture fixture;
  UsageLedger ledger = fixture.Make("host#1");
  int calls = 0;
  fixture.mStore.mBeforeCall = [&](const StoreRequest&) { ++calls; };
  fixture.mWall = kStart + 4 * kWindow;
  fixture.Run(ledger.Store(false));
  cr_expect(calls == 0);
  ledger.Count("account", fixture.mWall);
  fixture.mWall += 2 * kWindow;
  fixture.Run(ledger.Store(false));
  cr_expect(calls == 1);
}

// Guards against counts that are missing because a daemon stored them late,
// and against a window that is reported twice with different counts.
Test(usage_ledger, a_window_is_sealed_with_what_all_daemons_have_stored)
{
  Fixture fixture;
  auto leadership = Leadership::Create({},
                                       fixture.mStore.AsCall(),
                                       fixture.mStore.mClock.AsClock(),
                                       "host",
                                       "1",
                                       fixture.mView);
  fixture.Lead(*leadership);
  cr_assert(leadership->MayAct());
  UsageLedger first = fixture.Make("host#1");
  UsageLedger second = fixture.Make("other#1");
  first.Count("account", kStart);
  second.Count("account", kStart);
  second.Count("account", kStart);
  fixture.mWall = kStart + kWindow + 1500;
  fixture.Run(first.Store(false));
  // The store refuses the other daemon for a while.
  fixture.mStore.mNextFaults = { StoreFault::Down };
  fixture.Run(second.Store(false));
  const ReportUsage report =
    [&](int64_t aWindow, const AccountCounts& aCounts, int64_t) {
      return fixture.Keep(aWindow, aCounts);
    };
  fixture.Run(first.Report(*leadership, report));
  fixture.mWall = kStart + kWindow + 4000;
  fixture.Run(second.Store(false));
  fixture.mWall = kStart + kWindow + 4500;
  fixture.Run(first.Report(*leadership, report));
  cr_expect(fixture.mReports[kStart / kWindow] ==
            AccountCounts({ { "account", 3 } }));
  // What is stored later changes no report.
  second.Count("account", fixture.mWall);
  fixture.Run(second.Store(true));
  fixture.Run(fixture.Make("late#1").Report(*leadership, report));
  cr_expect(fixture.mReports[kStart / kWindow] ==
            AccountCounts({ { "account", 3 } }));
}
