#include "agatetide/request/recent_completions.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::request;

// Guards against blaming a frequent request for the crashes that others cause,
// and against vouching for a request for ever.
Test(recent_completions, remembers_a_completion_for_a_while)
{
  ManualClock clock;
  RecentCompletions completions({}, clock.AsClock());
  cr_expect_not(completions.Contains("a"));
  completions.Record("a");
  clock.Advance(std::chrono::seconds(59));
  cr_expect(completions.Contains("a"));
  clock.Advance(std::chrono::seconds(2));
  cr_expect_not(completions.Contains("a"));
}

// Guards against memory that grows with the number of different requests.
Test(recent_completions, forgets_the_oldest_ones)
{
  ManualClock clock;
  RecentCompletions completions({ std::chrono::minutes(1), 2 },
                                clock.AsClock());
  for (const char* digest : { "a", "b", "c" }) {
    completions.Record(digest);
  }
  cr_expect_not(completions.Contains("a"));
  cr_expect(completions.Contains("b"));
  cr_expect(completions.Contains("c"));
}
