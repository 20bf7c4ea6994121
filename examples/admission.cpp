// A request that may run once arrives through two daemons.
#include "run.hpp"

#include <agatetide/base/clock.hpp>
#include <agatetide/coordination/admission.hpp>
#include <agatetide/coordination/memory_store.hpp>

using namespace agatetide;
using namespace agatetide::coordination;

int main()
{
  ManualClock clock;
  MemoryStore store(clock.AsClock());
  const auto admit = [&](const char* aDaemon, const char* aNonce) {
    AdmissionKey key{ "account", "request-1" };
    AdmissionRecord record{ aDaemon, 1, aNonce, 0 };
    return Run(Admit(store.AsCall(), std::move(key), std::move(record), 0));
  };
  const auto first = admit("10.0.0.1:7100", "nonce-1");
  Expect(first->mOutcome == AdmissionOutcome::Admitted,
         "the first copy may be dispatched");
  const auto second = admit("10.0.0.2:7100", "nonce-2");
  Expect(second->mOutcome == AdmissionOutcome::Duplicate,
         "the second copy may not");
  Expect(second->mRecord.mDaemon == "10.0.0.1:7100",
         "it names the daemon that has the answer");
}
