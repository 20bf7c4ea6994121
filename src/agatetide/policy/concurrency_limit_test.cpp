#include "agatetide/policy/concurrency_limit.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::policy;

namespace {

/// Observes aWindows full windows of responses with one latency.
void Feed(ConcurrencyLimit& aLimit,
          unsigned aWindows,
          Milliseconds aLatency,
          TimePoint& aNow)
{
  for (unsigned i = 0; i < aWindows; ++i) {
    aNow += std::chrono::milliseconds(100);
    for (unsigned j = 0; j < ConcurrencyLimitOptions{}.mWindowSize; ++j) {
      aLimit.Observe("a", aLatency, LimitUsage::AtLimit, aNow);
    }
  }
}

} // namespace

// Guards against a daemon that keeps an overloaded upstream's queue full.
Test(concurrency_limit, falls_while_the_upstream_queues)
{
  ConcurrencyLimit limit(ConcurrencyLimitOptions{});
  TimePoint now(std::chrono::hours(1));
  Feed(limit, 1, Milliseconds(10), now);
  const size_t before = limit.Limit(4);
  Feed(limit, 10, Milliseconds(40), now);
  cr_assert(limit.Limit(4) < before / 2, "limit %zu", limit.Limit(4));
  Feed(limit, 100, Milliseconds(40), now);
  cr_assert(limit.Limit(4) == 8);
}

// Guards against a limit that never recovers after an overload.
Test(concurrency_limit, grows_while_the_latency_is_low)
{
  ConcurrencyLimit limit(ConcurrencyLimitOptions{});
  TimePoint now(std::chrono::hours(1));
  const size_t before = limit.Limit(4);
  Feed(limit, 20, Milliseconds(10), now);
  cr_assert(limit.Limit(4) > before);
  Feed(limit, 10000, Milliseconds(10), now);
  cr_assert(limit.Limit(4) == 256);
}

// Guards against a lasting slower service time being taken for queueing.
Test(concurrency_limit, takes_a_new_service_time_as_its_baseline)
{
  ConcurrencyLimit limit(ConcurrencyLimitOptions{});
  TimePoint now(std::chrono::hours(1));
  Feed(limit, 1, Milliseconds(10), now);
  for (unsigned i = 0; i < 2; ++i) {
    now += std::chrono::seconds(31);
    Feed(limit, 1, Milliseconds(40), now);
  }
  const size_t before = limit.Limit(4);
  Feed(limit, 40, Milliseconds(40), now);
  cr_assert(limit.Limit(4) > before);
}

// Guards against the fixed limit changing with the latency.
Test(concurrency_limit, fixed_does_not_move)
{
  ConcurrencyLimitOptions options;
  options.mPolicy = LimitPolicy::Fixed;
  ConcurrencyLimit limit(options);
  TimePoint now(std::chrono::hours(1));
  Feed(limit, 1, Milliseconds(1), now);
  Feed(limit, 20, Milliseconds(40), now);
  cr_assert(limit.Limit(3) == 48);
}

// Guards against counting responses to requests that were sent under an
// earlier, higher limit: after each decrease they lowered the limit again, down
// to a quarter of the capacity.
Test(concurrency_limit, an_overload_counts_once)
{
  ConcurrencyLimit limit(ConcurrencyLimitOptions{});
  TimePoint now(std::chrono::hours(1));
  Feed(limit, 1, Milliseconds(10), now);
  Feed(limit, 1, Milliseconds(40), now);
  const size_t once = limit.Limit(4);
  for (unsigned i = 0; i < 1000; ++i) {
    limit.Observe(
      "a", Milliseconds(40), LimitUsage::AtLimit, now + Milliseconds(20));
  }
  cr_assert(limit.Limit(4) == once);
}
