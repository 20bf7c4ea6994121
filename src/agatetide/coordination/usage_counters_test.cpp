#include "agatetide/coordination/usage_counters.hpp"

#include <criterion/criterion.h>

using namespace agatetide::coordination;

// Guards against counting usage twice when a copy arrives again or out of
// order.
Test(usage_counters, copies_merge_by_maximum_in_any_order)
{
  UsageCounters counting("a#1");
  UsageCounters reporter("b#1");
  counting.Add(5, "account", { 1, 10, 100 });
  const UsageTable early = counting.OwnCounts();
  counting.Add(5, "account", { 2, 20, 200 });
  reporter.Merge(counting.OwnCounts());
  reporter.Merge(early);
  reporter.Merge(counting.OwnCounts());
  reporter.Add(5, "account", { 1, 1, 1 });
  cr_assert(reporter.Totals(5).at("account") == (UsageCount{ 4, 31, 301 }));
  cr_assert(reporter.Totals(4).empty());
}

// Guards against losing the usage of a restarted daemon: its count restarts at
// zero, below the maximum of its earlier incarnation.
Test(usage_counters, incarnations_count_apart)
{
  UsageCounters reporter("b#1");
  for (const char* counter : { "a#1", "a#2" }) {
    UsageCounters counting(counter);
    counting.Add(5, "account", { 1, 10, 0 });
    reporter.Merge(counting.OwnCounts());
  }
  cr_assert_eq(reporter.Totals(5).at("account").mRequests, 2);
}

// Guards against a copy that replaces the daemon's own count.
Test(usage_counters, copies_do_not_change_the_own_count)
{
  UsageCounters counting("a#1");
  counting.Add(5, "account", { 1, 1, 1 });
  counting.Merge({ { { "a#1", 5, "account" }, { 9, 9, 9 } } });
  cr_assert_eq(counting.Totals(5).at("account").mRequests, 1);
}

// Guards against counts lost in encoding and against a crash on invalid bytes.
Test(usage_counters, tables_survive_encoding_and_bad_bytes_are_dropped)
{
  UsageCounters counting("a#1");
  counting.Add(5, "account", { 1, 2, 3 });
  const std::string bytes = EncodeUsage(counting.OwnCounts());
  cr_assert(DecodeUsage(bytes) == counting.OwnCounts());
  cr_assert(DecodeUsage(bytes.substr(0, bytes.size() - 1)).empty());
  counting.DropBefore(6);
  cr_assert(counting.Counts().empty());
}
