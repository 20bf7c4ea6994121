#include "agatetide/duty/autoscaler.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::duty;

namespace {

constexpr unsigned kSlots = 10;

/// A leader, two availability zones with two preemptible replicas each, and a
/// platform that records the orders.
struct Fixture
{
  explicit Fixture(bool aLeader = true)
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
    mView.UpdateConfig(config);
    for (const char* id : { "a1", "a2", "b1", "b2" }) {
      Add(id);
    }
    if (aLeader) {
      AcquireLeadership();
    }
  }

  void AcquireLeadership()
  {
    mView.SetLeader("");
    RunCoroutine(mLeadership.Maintain());
    mStore.mClock.Advance(LeadershipOptions().mActivationDelay);
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
    mView.PutReplica(std::move(replica));
  }

  void Reconcile(Duration aTime = std::chrono::seconds(1))
  {
    constexpr std::chrono::seconds kStep{ 1 };
    for (Duration passed = kStep; passed <= aTime; passed += kStep) {
      mStore.mClock.Advance(kStep);
      if (mLeadership.MayAct()) {
        RunCoroutine(mLeadership.Maintain());
      }
    }
    mAutoscaler.Reconcile();
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
  std::vector<ReplicaCountOrder> mOrders;
  CapacityOutcome mOutcome = CapacityOutcome::Ordered;
  Autoscaler mAutoscaler{
    {},
    mContext.get_executor(),
    mView,
    mLeadership,
    [this](ReplicaCountOrder aOrder) -> Awaitable<Result<CapacityOutcome>> {
      mOrders.push_back(std::move(aOrder));
      co_return mOutcome;
    },
    mStore.mClock.AsClock()
  };
};

} // namespace

// Guards against missing and repeated orders for a step with more items than
// there are replica slots.
Test(capacity_duty, orders_replicas_once_while_they_start)
{
  Fixture fixture;
  fixture.mAutoscaler.SetPeakItems({ { "engine", 50 } });
  fixture.Reconcile();
  cr_assert_eq(fixture.mOrders.size(), 2);
  for (const ReplicaCountOrder& order : fixture.mOrders) {
    cr_expect_eq(order.mReplicas, 1);
    cr_expect_not(order.mPreemptible);
    cr_expect_eq(order.mFencingToken, fixture.mLeadership.FencingToken());
  }
  fixture.Reconcile();
  cr_expect_eq(fixture.mOrders.size(), 2, "the ordered replicas are starting");
}

// Guards against an order that terminates a restarting replica because it
// states a lower total than there are replicas.
Test(capacity_duty, counts_replicas_that_restart)
{
  Fixture fixture;
  fixture.mAutoscaler.SetPeakItems({ { "engine", 36 } });
  fixture.Reconcile();
  cr_expect(fixture.mOrders.empty());
  fixture.mView.RemoveReplica("a1");
  fixture.mOutcome = CapacityOutcome::NoneAvailable;
  fixture.Reconcile();
  fixture.Reconcile();
  fixture.Reconcile();
  cr_assert_eq(fixture.mOrders.size(), 3);
  cr_expect(fixture.mOrders[2].mPreemptible);
  cr_expect_eq(fixture.mOrders[2].mReplicas, 3);
}

// Guards against a new leader that doesn't count restarting replicas.
Test(capacity_duty, a_new_leader_knows_the_replicas_of_before)
{
  Fixture fixture(false);
  fixture.Reconcile();
  fixture.mView.RemoveReplica("a1");
  fixture.AcquireLeadership();
  fixture.mAutoscaler.SetPeakItems({ { "engine", 36 } });
  fixture.mOutcome = CapacityOutcome::NoneAvailable;
  // Regular replicas are ordered first, in both zones.
  fixture.Reconcile();
  fixture.Reconcile();
  fixture.Reconcile();
  cr_assert_eq(fixture.mOrders.size(), 3);
  cr_expect(fixture.mOrders[2].mPreemptible);
  cr_expect(fixture.mOrders[2].mAvailabilityZone == "a");
  cr_expect_eq(fixture.mOrders[2].mReplicas, 3);
}

// Guards against unneeded replicas that are never released.
Test(capacity_duty, gives_back_what_is_not_needed_for_a_minute)
{
  Fixture fixture;
  fixture.mAutoscaler.SetPeakItems({ { "engine", 10 } });
  fixture.Reconcile();
  fixture.Reconcile();
  cr_expect(fixture.mOrders.empty());
  fixture.Reconcile(AutoscalerOptions().mScaleDownDelay);
  cr_assert_eq(fixture.mOrders.size(), 1);
  cr_expect_eq(fixture.mOrders[0].mReplicas, 1);
  cr_expect(fixture.mOrders[0].mAvailabilityZone == "b",
            "the more expensive zone");
}

// Guards against orders from a daemon that isn't the leader.
Test(capacity_duty, orders_nothing_without_the_lease)
{
  Fixture fixture;
  fixture.RunCoroutine(fixture.mLeadership.Resign());
  fixture.mAutoscaler.SetPeakItems({ { "engine", 50 } });
  fixture.Reconcile();
  cr_expect(fixture.mOrders.empty());
}
