#include "agatetide/policy/replica_speeds.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::policy;

// Guards against a slow replica that is not recognized.
Test(replica_speeds, a_slow_replica_stands_out)
{
  ManualClock clock;
  ReplicaSpeeds speeds(clock.AsClock());
  speeds.Observe("a", 0.04);
  speeds.Observe("b", 0.04);
  speeds.Observe("slow", 0.12);
  cr_expect_float_eq(speeds.Slowness("slow"), 3.0, 1e-9);
  cr_expect_float_eq(speeds.Slowness("a"), 1.0, 1e-9);
  cr_expect_float_eq(speeds.Slowness("unknown"), 1.0, 1e-9);
}

// Guards against avoiding a replica after it has recovered.
Test(replica_speeds, an_old_speed_is_forgotten)
{
  ManualClock clock;
  ReplicaSpeeds speeds(clock.AsClock());
  speeds.Observe("a", 0.04);
  speeds.Observe("b", 0.04);
  speeds.Observe("slow", 0.12);
  clock.Advance(std::chrono::seconds(5));
  cr_expect_float_eq(speeds.Slowness("slow"), 1.0, 1e-9);
  speeds.Observe("slow", 0.04);
  cr_expect_float_eq(speeds.MedianSecondsPerEvent(), 0.04, 1e-9);
}
