// Sums the usage that two daemons counted; merging the same counts again does
// not change the totals.
#include "run.hpp"

#include <agatetide/coordination/usage_counters.hpp>

using namespace agatetide::coordination;

int main()
{
  constexpr int64_t kWindow = 28333333;
  UsageCounters first("10.0.0.1:7100#1");
  UsageCounters reporter("10.0.0.2:7100#1");
  first.Add(kWindow, "account", { 1, 250, 900 });
  reporter.Add(kWindow, "account", { 1, 50, 100 });
  for (int copies = 0; copies < 3; ++copies) {
    reporter.Merge(DecodeUsage(EncodeUsage(first.OwnCounts())));
  }
  const UsageCount total = reporter.Totals(kWindow).at("account");
  Expect(total.mRequests == 2 && total.mTokens == 300,
         "repeated merges count each request once");
  reporter.DropBefore(kWindow + 1);
  Expect(reporter.Counts().empty(),
         "counts before the given window are removed");
}
