#include "agatetide/policy/placement.hpp"

#include <criterion/criterion.h>

using namespace agatetide::policy;
using std::chrono::seconds;

// Guards against replica counts that change with each load report, and against
// shrinking below the minimum of regular replicas.
Test(placement, scale_is_limited)
{
  const PlacementOptions options;
  cr_assert(DesiredReplicas({ 8, 128, 400, 0, seconds(20) }, options) == 12);
  cr_assert(DesiredReplicas({ 8, 128, 400, 0, seconds(2) }, options) == 8);
  cr_assert(DesiredReplicas({ 8, 0, 0, 0, seconds(20) }, options) == 8);
  cr_assert(DesiredReplicas({ 8, 0, 0, 0, seconds(70) }, options) == 7);
  cr_assert(DesiredReplicas({ 3, 0, 0, 0, seconds(70) }, options) == 3);
  cr_assert(DesiredReplicas({ 8, 10, 0, 120, seconds(20) }, options) == 10);
}

// Guards against urgent requests that depend on preemptible replicas, and
// against ordering preemptible replicas in a zone that reclaims them.
Test(placement, floor_is_regular_and_the_rest_avoids_reclaimed_zones)
{
  const ZoneState zones[] = { { "a", true }, { "b", false }, { "c", true } };
  const auto placed = PlaceReplicas(8, zones, {});
  cr_assert(placed[0].mRegular + placed[1].mRegular + placed[2].mRegular == 3);
  cr_assert(placed[1].mPreemptible == 0);
  cr_assert(placed[0].mPreemptible + placed[2].mPreemptible == 5);
  const ZoneState none[] = { { "a", false } };
  cr_assert(PlaceReplicas(5, none, {})[0].mRegular == 5);
}

// Guards against idle regular replicas while trainer requests queue.
Test(placement, trainer_work_uses_regular_replicas_when_cheaper_are_full)
{
  cr_assert(PreferPreemptible(2, 31, {}));
  cr_assert(!PreferPreemptible(2, 32, {}));
  cr_assert(!PreferPreemptible(0, 0, {}));
}
