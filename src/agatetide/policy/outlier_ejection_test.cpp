#include "agatetide/policy/outlier_ejection.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::policy;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };
constexpr Milliseconds kUsualLatency{ 10 };

/// Observes aRounds responses of each of four replicas; those of "d" take
/// aLatencyOfD.
void ObserveResponses(OutlierEjection& aEjection,
                      unsigned aRounds,
                      Milliseconds aLatencyOfD,
                      TimePoint aNow = kStart)
{
  for (unsigned i = 0; i < aRounds; ++i) {
    for (const char* name : { "a", "b", "c" }) {
      aEjection.Observe("g", name, false, kUsualLatency, aNow);
    }
    aEjection.Observe("g", "d", false, aLatencyOfD, aNow);
  }
}

} // namespace

// Guards against a slow replica keeping its share of requests, and against it
// returning at full share at once.
Test(outlier_ejection, a_slow_replica_is_ejected_and_returns_slowly)
{
  OutlierEjection ejection(OutlierEjectionOptions{});
  ObserveResponses(ejection, 30, Milliseconds(100));
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

// Guards against sending requests to a replica that fails all of them.
Test(outlier_ejection, failures_in_a_row_eject)
{
  OutlierEjection ejection(OutlierEjectionOptions{});
  ObserveResponses(ejection, 1, kUsualLatency);
  for (unsigned i = 0; i < 2; ++i) {
    ejection.Observe("g", "a", true, kUsualLatency, kStart);
  }
  cr_assert(ejection.TrafficShare("g", "a", kStart) == 1.0);
  ejection.Observe("g", "a", true, kUsualLatency, kStart);
  cr_assert(ejection.TrafficShare("g", "a", kStart) == 0.0);
}

// Guards against ejecting all replicas when they share a fault.
Test(outlier_ejection, most_of_a_group_stays_in_use)
{
  OutlierEjection ejection(OutlierEjectionOptions{});
  ObserveResponses(ejection, 1, kUsualLatency);
  for (const char* name : { "a", "b", "c", "d" }) {
    for (unsigned i = 0; i < 10; ++i) {
      ejection.Observe("g", name, true, kUsualLatency, kStart);
    }
  }
  unsigned usable = 0;
  for (const char* name : { "a", "b", "c", "d" }) {
    usable += ejection.TrafficShare("g", name, kStart) > 0.0 ? 1 : 0;
  }
  cr_assert(usable == 3, "%u usable", usable);
}
