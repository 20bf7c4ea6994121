// Admits a request that must run at most once and arrives at two daemons.
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
         "the first copy of the request is admitted");
  const auto second = admit("10.0.0.2:7100", "nonce-2");
  Expect(second->mOutcome == AdmissionOutcome::Duplicate,
         "the second copy is a duplicate");
  Expect(second->mRecord.mDaemon == "10.0.0.1:7100",
         "the record names the daemon that admitted the first copy");
}
