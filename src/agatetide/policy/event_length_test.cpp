#include "agatetide/policy/event_length.hpp"

#include <criterion/criterion.h>

using namespace agatetide::policy;

// Guards against expected lengths in tokens that are compared with counts of
// events: each step would seem to miss its deadline.
Test(event_length, follows_complete_texts)
{
  EventLength length;
  cr_expect_float_eq(length.TokensPerEvent(), 1.0, 1e-9);
  for (int i = 0; i < 10; ++i) {
    length.Observe(740.0, 10);
    length.Observe(0.0, 10);
    length.Observe(100.0, 0);
  }
  cr_expect_float_eq(length.TokensPerEvent(), 74.0, 1e-9);
  cr_expect_float_eq(length.ExpectedEvents(1184.0), 16.0, 1e-9);
  for (int i = 0; i < 1000; ++i) {
    length.Observe(10.0, 10);
  }
  cr_expect_float_eq(length.TokensPerEvent(), 1.0, 0.05);
}
