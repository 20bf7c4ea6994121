#include "agatetide/policy/outlier_ejection.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::policy;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };
constexpr Milliseconds kUsual{ 10 };

/// Lets each of four replicas answer aRounds times; "d" takes aLast.
void Answer(OutlierEjection& aEjection,
            unsigned aRounds,
            Milliseconds aLast,
            TimePoint aNow = kStart)
{
  for (unsigned i = 0; i < aRounds; ++i) {
    for (const char* name : { "a", "b", "c" }) {
      aEjection.Observe("g", name, false, kUsual, aNow);
    }
    aEjection.Observe("g", "d", false, aLast, aNow);
  }
}

} // namespace

// Guards against a slow replica keeping its share of requests, and against
// its return at full share.
Test(outlier_ejection, a_slow_replica_is_ejected_and_returns_slowly)
{
  OutlierEjection ejection(OutlierEjectionOptions{});
  Answer(ejection, 30, Milliseconds(100));
  cr_assert(ejection.TrafficShare("g", "d", kStart) == 0.0);
  cr_assert(ejection.TrafficShare("g", "a", kStart) == 1.0);
  const double early =
    ejection.TrafficShare("g", "d", kStart + Milliseconds(3000));
  const double late =
    ejection.TrafficShare("g", "d", kStart + Milliseconds(5000));
  cr_assert(early > 0.0 && early < late && late < 1.0);
  cr_assert(ejection.TrafficShare("g", "d", kStart + Milliseconds(8000)) ==
            1.0);
}

// Guards against requests being sent to a replica that fails each of them.
Test(outlier_ejection, failures_in_a_row_eject)
{
  OutlierEjection ejection(OutlierEjectionOptions{});
  Answer(ejection, 1, kUsual);
  for (unsigned i = 0; i < 2; ++i) {
    ejection.Observe("g", "a", true, kUsual, kStart);
  }
  cr_assert(ejection.TrafficShare("g", "a", kStart) == 1.0);
  ejection.Observe("g", "a", true, kUsual, kStart);
  cr_assert(ejection.TrafficShare("g", "a", kStart) == 0.0);
}

// Guards against a fault of all replicas leaving none in use.
Test(outlier_ejection, most_of_a_group_stays_in_use)
{
  OutlierEjection ejection(OutlierEjectionOptions{});
  Answer(ejection, 1, kUsual);
  for (const char* name : { "a", "b", "c", "d" }) {
    for (unsigned i = 0; i < 10; ++i) {
      ejection.Observe("g", name, true, kUsual, kStart);
    }
  }
  unsigned usable = 0;
  for (const char* name : { "a", "b", "c", "d" }) {
    usable += ejection.TrafficShare("g", name, kStart) > 0.0 ? 1 : 0;
  }
  cr_assert(usable == 3, "%u usable", usable);
}
