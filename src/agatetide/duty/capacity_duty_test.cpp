#include "agatetide/duty/capacity_duty.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::duty;

namespace {

constexpr unsigned kSlots = 10;

/// A leader, two zones with two preemptible replicas each, and a platform
/// that notes the orders.
struct Fixture
{
  explicit Fixture(bool aLeads = true)
  {
    auto config = std::make_shared<fleet::ServiceConfig>();
    config->mVersion = 1;
    fleet::Service service;
    service.mName = "engine";
    service.mScaling = fleet::ScalingLimits{};
    service.mScaling->mMin = 1;
    service.mScaling->mMax = 5;
    service.mScaling->mBootTime = std::chrono::seconds(4);
    service.mScaling->mZonePrices = { { "a", 1.0 }, { "b", 1.2 } };
    config->mServices["engine"] = service;
    mView.Accept(config);
    for (const char* id : { "a1", "a2", "b1", "b2" }) {
      Add(id);
    }
    if (aLeads) {
      Lead();
    }
  }

  void Lead()
  {
    mView.SetLeader("");
    RunCoroutine(mLeadership.Maintain());
    mStore.mClock.Advance(LeadershipOptions().mSettleTime);
    RunCoroutine(mLeadership.Maintain());
  }

  template<class T>
  static void RunCoroutine(Awaitable<T> aCoroutine)
  {
    boost::asio::io_context context;
    boost::asio::co_spawn(
      context, std::move(aCoroutine), boost::asio::detached);
    context.run();
  }

  /// The first letter of the id is the zone.
  void Add(const std::string& aId)
  {
    fleet::Replica replica;
    replica.mId = aId;
    replica.mService = "engine";
    replica.mAvailabilityZone = aId.substr(0, 1);
    replica.mSlots = kSlots;
    replica.mPreemptible = true;
    mView.Put(std::move(replica));
  }

  void Review(Duration aTime = std::chrono::seconds(1))
  {
    constexpr std::chrono::seconds kStep{ 1 };
    for (Duration passed = kStep; passed <= aTime; passed += kStep) {
      mStore.mClock.Advance(kStep);
      if (mLeadership.MayAct()) {
        RunCoroutine(mLeadership.Maintain());
      }
    }
    mDuty.Review();
    mContext.run();
    mContext.restart();
  }

  coordination::FaultyStore mStore;
  fleet::FleetView mView{ mStore.mClock.AsClock(), "a", "region" };
  Leadership mLeadership = Leadership::Create({},
                                              mStore.AsCall(),
                                              mStore.mClock.AsClock(),
                                              "host",
                                              "1",
                                              mView)
                             .value();
  boost::asio::io_context mContext;
  std::vector<CapacityOrder> mOrders;
  CapacityOutcome mOutcome = CapacityOutcome::Ordered;
  CapacityDuty mDuty{
    {},
    mContext.get_executor(),
    mView,
    mLeadership,
    [this](CapacityOrder aOrder) -> Awaitable<Result<CapacityOutcome>> {
      mOrders.push_back(std::move(aOrder));
      co_return mOutcome;
    },
    mStore.mClock.AsClock()
  };
};

} // namespace

// Replays a step with more items than there are places.
Test(capacity_duty, orders_replicas_once_while_they_start)
{
  Fixture fixture;
  fixture.mDuty.SetDemand({ { "engine", 50 } });
  fixture.Review();
  cr_assert_eq(fixture.mOrders.size(), 2);
  for (const CapacityOrder& order : fixture.mOrders) {
    cr_expect_eq(order.mReplicas, 1);
    cr_expect_not(order.mPreemptible);
    cr_expect_eq(order.mFencingToken, fixture.mLeadership.FencingNumber());
  }
  fixture.Review();
  cr_expect_eq(fixture.mOrders.size(), 2, "they are on their way");
}

// Guards against an order that names fewer replicas than there are and so
// ends one that restarts.
Test(capacity_duty, counts_replicas_that_restart)
{
  Fixture fixture;
  fixture.mDuty.SetDemand({ { "engine", 36 } });
  fixture.Review();
  cr_expect(fixture.mOrders.empty());
  fixture.mView.Remove("a1");
  fixture.mOutcome = CapacityOutcome::NoneAvailable;
  fixture.Review();
  fixture.Review();
  fixture.Review();
  cr_assert_eq(fixture.mOrders.size(), 3);
  cr_expect(fixture.mOrders[2].mPreemptible);
  cr_expect_eq(fixture.mOrders[2].mReplicas, 3);
}

// Guards against a new leader that does not know of replicas which restart.
Test(capacity_duty, a_new_leader_knows_the_replicas_of_before)
{
  Fixture fixture(false);
  fixture.Review();
  fixture.mView.Remove("a1");
  fixture.Lead();
  fixture.mDuty.SetDemand({ { "engine", 36 } });
  fixture.mOutcome = CapacityOutcome::NoneAvailable;
  // Regular ones are asked for in both zones first.
  fixture.Review();
  fixture.Review();
  fixture.Review();
  cr_assert_eq(fixture.mOrders.size(), 3);
  cr_expect(fixture.mOrders[2].mPreemptible);
  cr_expect(fixture.mOrders[2].mAvailabilityZone == "a");
  cr_expect_eq(fixture.mOrders[2].mReplicas, 3);
}

// Guards against replicas that are never given back.
Test(capacity_duty, gives_back_what_is_not_needed_for_a_minute)
{
  Fixture fixture;
  fixture.mDuty.SetDemand({ { "engine", 10 } });
  fixture.Review();
  fixture.Review();
  cr_expect(fixture.mOrders.empty());
  fixture.Review(CapacityDutyOptions().mReleaseAfter);
  cr_assert_eq(fixture.mOrders.size(), 1);
  cr_expect_eq(fixture.mOrders[0].mReplicas, 1);
  cr_expect(fixture.mOrders[0].mAvailabilityZone == "b", "the dearer zone");
}

// Guards against orders of a daemon that does not lead.
Test(capacity_duty, orders_nothing_without_the_lease)
{
  Fixture fixture;
  fixture.RunCoroutine(fixture.mLeadership.Resign());
  fixture.mDuty.SetDemand({ { "engine", 50 } });
  fixture.Review();
  cr_expect(fixture.mOrders.empty());
}
