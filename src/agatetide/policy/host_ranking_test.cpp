#include "agatetide/policy/host_ranking.hpp"

#include <criterion/criterion.h>

using namespace agatetide::policy;

// Guards against callers that are sent to a region that their routes do not
// allow before one that they allow, or past a host of their own region.
Test(host_ranking, preferred_hosts_come_before_those_of_other_regions)
{
  std::vector<HostCandidate> hosts;
  for (int i = 0; i < 24; ++i) {
    HostCandidate host;
    host.mAddress = "host-" + std::to_string(i);
    host.mAvailabilityZone = "z" + std::to_string(i % 4);
    host.mRegion = "r" + std::to_string(i % 3);
    host.mPreferred = i % 3 == 2;
    hosts.push_back(host);
  }
  const auto order = RankHosts(hosts, { {}, "z0", "r0" });
  cr_assert_eq(order.size(), hosts.size());
  const auto group = [&](size_t aIndex) {
    const HostCandidate& host = hosts[aIndex];
    const int place = host.mRegion == "r0" ? 1 : host.mPreferred ? 2 : 3;
    return host.mAvailabilityZone == "z0" ? 0 : place;
  };
  for (size_t i = 1; i < order.size(); ++i) {
    cr_expect_leq(group(order[i - 1]), group(order[i]));
  }
}
