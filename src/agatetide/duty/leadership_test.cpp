#include "agatetide/duty/leadership.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::coordination;
using namespace agatetide::duty;

namespace {

constexpr std::chrono::milliseconds kTick{ 100 };

/// A store and a view of the hosts that two daemons share.
struct Fixture
{
  Fixture()
  {
    SetHosts("1", "1");
    UpdateLeader();
    mStore.mBeforeCall = [this](const StoreRequest&) { ++mCalls; };
  }

  void SetHosts(const std::string& aFirst, const std::string& aSecond)
  {
    fleet::EntryHost first;
    first.mName = "first";
    first.mIncarnation = aFirst;
    fleet::EntryHost second;
    second.mName = "second";
    second.mIncarnation = aSecond;
    mView.SetHosts({ { "first", first }, { "second", second } });
  }

  /// Updates the view as the watch of live hosts does.
  void UpdateLeader()
  {
    const StoreReply reply = mStore.mStore.Apply(
      RangeRequest{ std::string(fleet::kLiveLeaderKey), "", 0 });
    mView.SetLeader(reply.mEntries.empty() ? ""
                                           : reply.mEntries.front().mValue);
  }

  Leadership Make(const std::string& aHost, const std::string& aIncarnation)
  {
    return Leadership::Create({},
                              mStore.AsCall(),
                              mStore.mClock.AsClock(),
                              aHost,
                              aIncarnation,
                              mView)
      .value();
  }

  void Run(Leadership& aLeadership, std::chrono::milliseconds aTime)
  {
    for (auto passed = kTick; passed <= aTime; passed += kTick) {
      boost::asio::io_context context;
      boost::asio::co_spawn(
        context, aLeadership.Maintain(), boost::asio::detached);
      context.run();
      mStore.mClock.Advance(kTick);
      UpdateLeader();
    }
  }

  FaultyStore mStore;
  int mCalls = 0;
  fleet::FleetView mView{ mStore.mClock.AsClock(), "zone", "region" };
};

} // namespace

// Guards against duties that stop for up to 5 s after the leader's process was
// killed and restarted: its host is registered again, but isn't the leader.
Test(leadership, a_restarted_leader_is_succeeded_when_its_lease_ends)
{
  Fixture fixture;
  Leadership first = fixture.Make("first", "1");
  fixture.Run(first, std::chrono::milliseconds(1500));
  cr_assert(first.MayAct());
  Leadership second = fixture.Make("second", "1");
  fixture.Run(second, kTick);
  fixture.SetHosts("2", "1");
  // Lease TTL of 3 s, one renewal interval and the activation delay.
  fixture.Run(second, std::chrono::milliseconds(3000 + 800 + 1000 + 200));
  cr_expect(second.MayAct());
}

// Guards against two daemons that act as the leader at the same time.
Test(leadership, acts_only_after_the_lease_before_has_ended)
{
  Fixture fixture;
  Leadership first = fixture.Make("first", "1");
  fixture.Run(first, std::chrono::milliseconds(1500));
  Leadership second = fixture.Make("second", "1");
  fixture.SetHosts("2", "1");
  for (int i = 0; i < 60; ++i) {
    fixture.Run(second, kTick);
    cr_assert(!(first.MayAct() && second.MayAct()));
  }
  cr_expect(second.MayAct());
}

// Guards against load on the store from daemons that all poll it for the
// leader.
Test(leadership, a_daemon_that_does_not_lead_asks_nothing)
{
  Fixture fixture;
  Leadership first = fixture.Make("first", "1");
  fixture.Run(first, std::chrono::milliseconds(1500));
  cr_assert(first.MayAct());
  Leadership second = fixture.Make("second", "1");
  fixture.mCalls = 0;
  for (int i = 0; i < 50; ++i) {
    fixture.Run(second, kTick);
    const int before = fixture.mCalls;
    fixture.Run(first, kTick);
    cr_assert(fixture.mCalls - before <= 1);
    fixture.mCalls = before;
  }
  cr_expect(fixture.mCalls == 0);
}

// Guards against a lease that no daemon can acquire: the reply to its creation
// was lost although the creation took effect.
Test(leadership, settles_a_create_whose_answer_was_lost)
{
  Fixture fixture;
  Leadership first = fixture.Make("first", "1");
  fixture.mStore.mNextFaults = {
    StoreFault::None, StoreFault::None, StoreFault::AnswerLost, StoreFault::Down
  };
  fixture.Run(first, kTick);
  cr_expect(!first.MayAct());
  fixture.Run(first, std::chrono::milliseconds(3000));
  cr_expect(first.MayAct());
}

// Guards against duties that stop until the lease expires because the leader
// resigned during an outage of the store.
Test(leadership, gives_the_lease_up_as_soon_as_the_store_is_back)
{
  Fixture fixture;
  Leadership first = fixture.Make("first", "1");
  fixture.Run(first, std::chrono::milliseconds(1500));
  cr_assert(first.MayAct());
  fixture.mStore.mDefaultFault = StoreFault::Down;
  boost::asio::io_context context;
  boost::asio::co_spawn(context, first.Resign(), boost::asio::detached);
  context.run();
  cr_expect(!first.MayAct());
  cr_expect(fixture.mView.Leader() == "first#1");
  fixture.mStore.mDefaultFault = StoreFault::None;
  fixture.Run(first, 3 * kTick);
  cr_expect(fixture.mView.Leader() == "");
}
