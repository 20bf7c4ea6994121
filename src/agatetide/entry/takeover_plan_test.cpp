#include "agatetide/entry/takeover_plan.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::entry;

namespace {

using Hosts = std::map<std::string, fleet::EntryHost, std::less<>>;

Hosts MakeHosts(int aCount)
{
  Hosts hosts;
  for (int i = 0; i < aCount; ++i) {
    fleet::EntryHost host;
    host.mName = "host-" + std::to_string(i);
    host.mRegion = i % 2 == 0 ? "even" : "odd";
    host.mIncarnation = "1";
    hosts[host.mName] = host;
  }
  return hosts;
}

std::vector<TakeoverPlan> MakePlans(const Hosts& aHosts, ManualClock& aClock)
{
  std::vector<TakeoverPlan> plans;
  for (const auto& [name, host] : aHosts) {
    plans.emplace_back(TakeoverOptions(), aClock.AsClock(), name);
  }
  for (TakeoverPlan& plan : plans) {
    plan.Update(aHosts);
    plan.MarkScanned();
  }
  aClock.Advance(TakeoverOptions().mStartupPeriod);
  return plans;
}

} // namespace

// Guards against store calls that grow with the square of the fleet's size
// during a rolling restart, because every daemon scans all records at each
// change.
Test(takeover_plan, one_daemon_looks_for_the_steps_of_a_host_that_went)
{
  ManualClock clock;
  Hosts hosts = MakeHosts(20);
  auto plans = MakePlans(hosts, clock);
  hosts["host-4"].mIncarnation = "2";
  hosts.erase("host-7");
  size_t scanning = 0;
  size_t takeovers = 0;
  for (TakeoverPlan& plan : plans) {
    plan.Update(hosts);
    scanning += plan.ScanDue() ? 1 : 0;
    takeovers += plan.ShouldTakeOver("step", "host-4#1", "even") ? 1 : 0;
    takeovers += plan.ShouldTakeOver("step", "host-7#1", "odd") ? 1 : 0;
    cr_expect(!plan.ShouldTakeOver("step", "host-5#1", "odd"));
  }
  cr_expect(takeovers == 2);
  cr_expect(scanning <= 2);
}

// Guards against a step that no daemon takes over because the store didn't
// answer when its owner left.
Test(takeover_plan, looks_again_until_all_records_were_seen)
{
  ManualClock clock;
  Hosts hosts = MakeHosts(2);
  TakeoverPlan plan({}, clock.AsClock(), "host-0");
  plan.Update(hosts);
  plan.MarkScanned();
  clock.Advance(TakeoverOptions().mStartupPeriod);
  hosts.erase("host-1");
  plan.Update(hosts);
  plan.Update(hosts);
  cr_expect(plan.ScanDue());
  plan.MarkScanned();
  cr_expect(!plan.ScanDue());
}

// Guards against steps that wait for the leader's sweep after all hosts were
// killed, since none of the new processes knows the former owners.
Test(takeover_plan, a_young_daemon_looks_at_all_steps)
{
  ManualClock clock;
  const Hosts hosts = MakeHosts(4);
  size_t takeovers = 0;
  for (const auto& [name, host] : hosts) {
    TakeoverPlan plan({}, clock.AsClock(), name);
    plan.Update(hosts);
    cr_expect(plan.ScanDue());
    takeovers += plan.ShouldTakeOver("step", "host-1#0", "odd") ? 1 : 0;
  }
  cr_expect(takeovers == 1);
}

// Guards against a step that a host outside its allowed regions takes over, or
// that none takes over since the hosts of the owner's region are all gone.
Test(takeover_plan, a_restricted_step_is_taken_over_in_its_regions)
{
  using Regions = std::optional<fleet::RegionSet>;
  const Regions cases[] = { Regions({ "even" }),
                            Regions({ "odd", "even" }),
                            Regions({ "odd" }),
                            Regions(fleet::RegionSet{ "third" }),
                            std::nullopt };
  for (const bool young : { false, true }) {
    ManualClock clock;
    Hosts hosts = MakeHosts(6);
    for (const char* name : { "host-6", "host-7" }) {
      fleet::EntryHost host;
      host.mName = name;
      host.mRegion = "third";
      host.mIncarnation = "1";
      hosts[name] = host;
    }
    auto plans = MakePlans(hosts, clock);
    for (const char* name : { "host-1", "host-3", "host-5" }) {
      hosts.erase(name);
    }
    std::vector<std::vector<std::string>> takers(std::size(cases));
    size_t i = 0;
    for (const auto& [name, host] : MakeHosts(8)) {
      if (!hosts.contains(name)) {
        ++i;
        continue;
      }
      TakeoverPlan fresh({}, clock.AsClock(), name);
      TakeoverPlan& plan = young ? fresh : plans[i];
      ++i;
      plan.Update(hosts, true);
      for (size_t c = 0; c < std::size(cases); ++c) {
        if (plan.ShouldTakeOver("step", "host-1#1", "odd", cases[c])) {
          takers[c].push_back(hosts[name].mRegion);
        }
      }
    }
    using Takers = std::vector<std::string>;
    cr_expect(takers[0] == Takers{ "even" });
    cr_expect(takers[1] == Takers{ "even" });
    cr_expect(takers[2].empty());
    cr_expect(takers[3] == Takers{ "third" });
    cr_expect_eq(takers[4].size(), 1);
  }
}

// Guards against one scan of each region for each host that ends in
// deployments without restrictions.
Test(takeover_plan, other_regions_scan_only_with_restricted_steps)
{
  for (const bool restricted : { false, true }) {
    ManualClock clock;
    Hosts hosts = MakeHosts(20);
    auto plans = MakePlans(hosts, clock);
    hosts.erase("host-7");
    size_t scanning = 0;
    for (TakeoverPlan& plan : plans) {
      plan.Update(hosts, restricted);
      scanning += plan.ScanDue() ? 1 : 0;
    }
    cr_expect_eq(scanning, restricted ? 2 : 1);
  }
}
