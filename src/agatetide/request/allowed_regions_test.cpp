#include "agatetide/request/replica_pool.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::request;

namespace {

fleet::Replica MakeReplica(const std::string& aZone)
{
  fleet::Replica replica;
  replica.mId = "in-" + aZone;
  replica.mService = "service";
  replica.mAddress = replica.mId;
  replica.mAvailabilityZone = aZone;
  return replica;
}

/// One replica each in two zones of known regions and in an unknown zone.
struct Fixture
{
  Fixture()
  {
    mView.SetRegions({ { "near", "r1" }, { "far", "r2" } });
    for (const char* zone : { "near", "far", "unknown" }) {
      mView.PutReplica(MakeReplica(zone));
    }
  }

  /// The replicas that get requests with these allowed regions.
  std::set<std::string> Used(std::optional<fleet::RegionSet> aRegions)
  {
    std::set<std::string> used;
    ReplicaFilter filter;
    filter.mService = "service";
    filter.mAllowedRegions = std::move(aRegions);
    while (auto reservation = mPool.ChooseAndReserve(filter, "id")) {
      used.insert(reservation->Replica().mId);
      filter.mExcludedIds.insert(reservation->Replica().mId);
    }
    return used;
  }

  ManualClock mClock;
  fleet::FleetView mView{ mClock.AsClock(), "near", "r1" };
  ReplicaPool mPool{ mView, mClock.AsClock(), SeededRandom(1) };
};

using Ids = std::set<std::string>;

} // namespace

// Guards against a request that reaches a replica outside its allowed regions
// once those inside were tried, or one whose region is not known.
Test(allowed_regions, only_replicas_of_allowed_regions_are_chosen)
{
  Fixture fixture;
  cr_expect(fixture.Used(std::nullopt).size() == 3);
  cr_expect(fixture.Used(fleet::RegionSet{ "r2" }) == Ids{ "in-far" });
  cr_expect(fixture.Used(fleet::RegionSet{ "r1", "r2" }) ==
            (Ids{ "in-near", "in-far" }));
  cr_expect(fixture.Used(fleet::RegionSet{}).empty());
}

// Guards against new requests or items in an evacuated zone, and against a zone
// that stays unused after the evacuation.
Test(allowed_regions, evacuated_zones_get_nothing_until_the_end)
{
  Fixture fixture;
  cr_expect(fixture.mView.SetEvacuated("far", true));
  cr_expect_not(fixture.mView.SetEvacuated("far", true));
  cr_expect(fixture.Used(std::nullopt) == (Ids{ "in-near", "in-unknown" }));
  cr_expect(fixture.Used(fleet::RegionSet{ "r2" }).empty());
  cr_expect_not(fixture.mPool.TryReserve("in-far").has_value());
  cr_expect_not(fixture.mPool.IsUsable(MakeReplica("far")));
  // The registration changes nothing.
  fixture.mView.PutReplica(MakeReplica("far"));
  cr_expect_not(fixture.mPool.TryReserve("in-far").has_value());
  cr_expect(fixture.mView.SetEvacuated("far", false));
  cr_expect(fixture.mPool.TryReserve("in-far").has_value());
}

// Guards against waiting for the limit of a replica that may not be used, and
// against a refusal with the retry time of a service that has replicas.
Test(allowed_regions, a_refusal_names_the_time_until_an_allowed_replica)
{
  Fixture fixture;
  ReplicaFilter filter;
  filter.mService = "service";
  filter.mAllowedRegions = fleet::RegionSet{ "r2" };
  const auto time = [&] {
    return fixture.mPool.TimeUntilReplacement("service",
                                              filter.mAllowedRegions);
  };
  cr_expect_not(time().has_value());
  fixture.mView.SetEvacuated("far", true);
  cr_expect(time().has_value());
  cr_expect(fixture.mPool.EstimateLimitDelay(filter, 0) == Duration::max());
  filter.mAllowedRegions.reset();
  cr_expect_not(time().has_value());
}

// Guards against steps that are routed by the regions of the route alone, and
// against callers that are sent to regions that no route of theirs allows.
Test(allowed_regions, regions_of_route_and_account_are_combined)
{
  fleet::ServiceConfig config;
  fleet::Route route;
  route.mHttpHost = "host";
  route.mPathPrefix = "/a/";
  route.mAllowedRegions = { "r1", "r2" };
  config.mRoutes.push_back(route);
  route.mPathPrefix = "/b/";
  route.mAllowedRegions = { "r2", "r3" };
  config.mRoutes.push_back(route);
  route.mPathPrefix = "/c/";
  route.mAllowedRegions.reset();
  config.mRoutes.push_back(route);
  config.mAccounts["account"].mAllowedRegions = { "r1" };
  using Regions = std::optional<fleet::RegionSet>;
  cr_expect(config.AllowedRegions("host", "/a/1", "account") ==
            Regions({ "r1" }));
  cr_expect(config.AllowedRegions("host", "/b/1", "account") ==
            Regions(fleet::RegionSet{}));
  cr_expect(config.AllowedRegions("host", "/c/1", "account") ==
            Regions({ "r1" }));
  cr_expect(config.AllowedRegions("host", "/c/1", "") == std::nullopt);
  cr_expect(config.AllowedRegions("host", "/no-route", "account") ==
            Regions({ "r1" }));
  cr_expect(config.RestrictsRegions());
  cr_expect(config.PreferredRegions("host") == Regions({ "r2" }));
  cr_expect(config.PreferredRegions("other") == std::nullopt);
}
