#include "agatetide/policy/retry_budget.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::policy;

// Guards against retries that multiply the load of a failing upstream.
Test(retry_budget, extra_attempts_stay_a_share_of_the_requests)
{
  RetryBudget budget({ 0.1, 10.0 });
  unsigned taken = 0;
  for (unsigned i = 0; i < 1000; ++i) {
    budget.OnRequest();
    taken += budget.TryTake() ? 1 : 0;
  }
  cr_assert(taken >= 100 && taken <= 110, "%u taken", taken);
}

// Guards against hedging nearly every request.
Test(hedge_delay, is_the_percentile_of_the_latest_answers)
{
  HedgeDelay hedge(HedgeOptions{});
  for (unsigned i = 0; i < 48; ++i) {
    hedge.Observe(Milliseconds(10));
  }
  cr_assert(!hedge.Delay(), "too few responses");
  for (unsigned i = 1; i <= 400; ++i) {
    hedge.Observe(Milliseconds(1 + i % 100));
  }
  const auto delay = *hedge.Delay();
  cr_assert(delay >= Milliseconds(93) && delay <= Milliseconds(97));
}

// Guards against hedging every twentieth request to a fast upstream.
Test(hedge_delay, a_fast_upstream_is_not_hedged)
{
  HedgeDelay hedge(HedgeOptions{});
  for (unsigned i = 0; i < 400; ++i) {
    hedge.Observe(Milliseconds(1));
  }
  cr_assert(!hedge.Delay());
}
