// Stores a configuration change, applies it to a local copy, and checks when
// the read lease allows reads of the copy and when the change is accepted.
#include "run.hpp"

#include <agatetide/coordination/config_log.hpp>
#include <agatetide/coordination/memory_store.hpp>
#include <agatetide/coordination/read_lease.hpp>

using namespace agatetide;
using namespace agatetide::coordination;

int main()
{
  ManualClock clock;
  MemoryStore store(clock.AsClock());
  ConfigWrite write;
  write.mChangeId = "change-1";
  write.mObject = "route/lookup";
  write.mValue = "to model-servers";
  Expect(Run(WriteConfig(store.AsCall(), write)).has_value(),
         "the change is stored");
  write.mChangeId = "change-2";
  Expect(Run(WriteConfig(store.AsCall(), write)).has_error(),
         "a write that expects a new object conflicts");

  ConfigLog log;
  ReadLease readLease =
    ReadLease::Create("a", ReadLeaseOptions{}, clock.AsClock()).value();
  readLease.SetHosts({ "a", "b" }, 1);
  const TimePoint sent = clock.Now();
  const auto changes = Run(ReadConfigChanges(store.AsCall(), log.Version()));
  Expect(log.Apply(*changes).value(), "the change is applied to the copy");
  readLease.RecordStoreRead(sent, log.Version());
  Expect(readLease.IsValid(log.Version()),
         "the read lease is valid after a store read");

  PendingChange pendingChange{ log.Version(), clock.Now(), std::nullopt };
  Expect(!readLease.IsAccepted(pendingChange, log.Version()),
         "the change is not accepted before host b has applied it");
  ProbeResult probeResult;
  probeResult.mAddress = "b";
  probeResult.mProbeSent = clock.Now();
  probeResult.mConfigVersion = log.Version();
  readLease.RecordProbeResult(probeResult);
  Expect(readLease.IsAccepted(pendingChange, log.Version()),
         "the change is accepted once host b has applied it");
  clock.Advance(std::chrono::seconds(6));
  Expect(!readLease.IsValid(log.Version()),
         "the read lease expires without new probe results");
}
