// Two processes compete for a lease; each new holder gets a higher fencing
// token.
#include "run.hpp"

#include <agatetide/coordination/lease.hpp>
#include <agatetide/coordination/memory_store.hpp>

using namespace agatetide;
using namespace agatetide::coordination;

int main()
{
  ManualClock clock;
  MemoryStore store(clock.AsClock());
  const auto create = [&](const char* aHolder) {
    LeaseOptions options;
    options.mKey = "duty/orders";
    options.mHolder = aHolder;
    return Lease::Create(options, store.AsCall(), clock.AsClock()).value();
  };
  Lease first = create("first");
  Lease second = create("second");
  Expect(Run(first.AcquireOrRenew()).value(),
         "the first process takes the lease");
  Expect(!Run(second.AcquireOrRenew()).value(), "the second process does not");
  const int64_t fencingToken = first.FencingToken();
  clock.Advance(std::chrono::seconds(7));
  Expect(!first.IsHeld(), "a paused holder detects that its lease expired");
  Expect(Run(second.AcquireOrRenew()).value(), "the second process takes over");
  Expect(second.FencingToken() > fencingToken, "its fencing token is higher");
}
