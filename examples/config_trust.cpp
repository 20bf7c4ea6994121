// An operator's change, a local copy of it, and how long the copy is trusted.
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
         "a change that expects a new object is a conflict now");

  ConfigLog log;
  ReadLease trust =
    ReadLease::Create("a", ReadLeaseOptions{}, clock.AsClock()).value();
  trust.SetHosts({ "a", "b" }, 1);
  const TimePoint sent = clock.Now();
  const auto changes = Run(ReadConfigChanges(store.AsCall(), log.Version()));
  Expect(log.Apply(*changes).value(), "the copy takes the change");
  trust.RecordStoreRead(sent, log.Version());
  Expect(trust.Valid(log.Version()), "the copy may be served from");

  PendingChange acceptance{ log.Version(), clock.Now(), std::nullopt };
  Expect(!trust.Accepted(acceptance, log.Version()),
         "the change is not accepted before host b has it");
  ProbeResult proof;
  proof.mAddress = "b";
  proof.mProbeSent = clock.Now();
  proof.mConfigVersion = log.Version();
  trust.RecordProbeResult(proof);
  Expect(trust.Accepted(acceptance, log.Version()), "now it is");
  clock.Advance(std::chrono::seconds(6));
  Expect(!trust.Valid(log.Version()), "trust lapses without a new proof");
}
