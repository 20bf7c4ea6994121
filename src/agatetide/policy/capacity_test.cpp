#include "agatetide/policy/capacity.hpp"

#include <criterion/criterion.h>

#include <numeric>

using namespace agatetide::policy;

namespace {

/// Returns three zones with three preemptible replicas each.
std::vector<ZoneCapacity> MakeZones()
{
  std::vector<ZoneCapacity> zones;
  for (const double price : { 1.0, 0.8, 1.25 }) {
    ZoneCapacity zone;
    zone.mZone = "zone-" + std::to_string(zones.size());
    zone.mPrice = price;
    zone.mPreemptible = 3;
    zone.mMaxReplicas = 6;
    zones.push_back(zone);
  }
  return zones;
}

/// Returns the sum of the changes of one kind of replica.
int SumOfKind(const std::vector<CapacityChange>& aChanges, bool aPreemptible)
{
  return std::accumulate(aChanges.begin(),
                         aChanges.end(),
                         0,
                         [&](int aSum, const CapacityChange& aChange) {
                           return aChange.mPreemptible == aPreemptible
                                    ? aSum + aChange.mDelta
                                    : aSum;
                         });
}

} // namespace

// Guards against steps whose items wait for seconds for a free slot after the
// preemptible replicas of a zone were reclaimed and not replaced elsewhere.
Test(capacity, a_reclaimed_zone_is_replaced_elsewhere)
{
  auto zones = MakeZones();
  zones[0].mPreemptible = 0;
  zones[0].mPreemptibleAvailable = false;
  const auto changes = AddCapacity(9, zones, {});
  cr_expect_eq(SumOfKind(changes, false), 3);
  cr_expect_eq(SumOfKind(changes, true), 0);
}

// Guards against too few replicas for steps with more items than slots.
Test(capacity, all_items_of_a_step_get_a_place)
{
  const auto zones = MakeZones();
  const auto changes = AddCapacity(14, zones, {});
  cr_expect_eq(SumOfKind(changes, false), 5);
  cr_expect_eq(SumOfKind(changes, true), 0, "half of them are regular first");
  cr_expect(AddCapacity(9, zones, {}).empty());
}

Test(capacity, a_zone_is_not_filled_over_its_limit)
{
  const auto zones = MakeZones();
  const auto changes = AddCapacity(40, zones, {});
  cr_expect_eq(SumOfKind(changes, false) + SumOfKind(changes, true), 9);
  for (const CapacityChange& change : changes) {
    cr_expect_leq(change.mDelta, 3);
  }
}

// Guards against orders for a kind of replica that no zone can provide.
Test(capacity, the_other_kind_is_ordered_when_one_cannot_be_had)
{
  auto zones = MakeZones();
  for (ZoneCapacity& zone : zones) {
    zone.mRegularAvailable = false;
  }
  cr_expect_eq(SumOfKind(AddCapacity(12, zones, {}), true), 3);
}

// Guards against paying for idle replicas.
Test(capacity, idle_replicas_are_given_back_one_by_one)
{
  auto zones = MakeZones();
  zones[2].mRegular = 3;
  const auto changes = ReleaseCapacity(5, 1, zones, {});
  cr_assert_eq(changes.size(), 1);
  cr_expect_eq(changes[0].mZone, 2);
  cr_expect_not(changes[0].mPreemptible);
  cr_expect_eq(changes[0].mDelta, -1);
  cr_expect(ReleaseCapacity(8, 1, zones, {}).empty());
}

Test(capacity, no_zone_falls_below_its_least_number)
{
  const auto zones = MakeZones();
  cr_expect(ReleaseCapacity(1, 3, zones, {}).empty());
}
