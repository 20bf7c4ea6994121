#include "agatetide/policy/limit_share.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace agatetide;
using namespace agatetide::policy;

namespace {

constexpr std::string_view kReplica = "replica";

std::vector<std::string> HostNames(size_t aCount)
{
  std::vector<std::string> names;
  for (size_t i = 0; i < aCount; ++i) {
    names.push_back("host-" + std::to_string(i));
  }
  return names;
}

/// Sums the shares of all hosts.
double TotalShare(size_t aHostCount, double aLimit, bool aAnnounced)
{
  const std::vector<std::string> names = HostNames(aHostCount);
  const std::vector<std::string_view> hosts(names.begin(), names.end());
  double total = 0.0;
  for (size_t i = 0; i < aHostCount; ++i) {
    std::vector<std::string_view> others = hosts;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
    total += ShareOfLimit(
      { aLimit, kReplica, hosts[i], aAnnounced, hosts, others }, {});
  }
  return total;
}

} // namespace

// Guards against hosts that each send a replica as much as it accepts in total.
Test(limit_share, the_shares_of_all_hosts_are_the_limit)
{
  for (const size_t hosts : { 1, 2, 9, 65, 330 }) {
    for (const double limit : { 0.7, 2.6, 40.0 }) {
      cr_expect_float_eq(TotalShare(hosts, limit, true), limit, 1e-6);
      cr_expect_float_eq(TotalShare(hosts, limit, false), limit / 4, 1e-6);
    }
  }
}

// Guards against leaving most of a limit to hosts that have no requests.
Test(limit_share, the_only_user_gets_the_whole_limit)
{
  const std::vector<std::string> names = HostNames(9);
  const std::vector<std::string_view> hosts(names.begin(), names.end());
  cr_expect_float_eq(
    ShareOfLimit({ 4.0, kReplica, hosts[3], true, hosts, {} }, {}), 4.0, 1e-9);
}

// Guards against a replica that no host asks any more, so that none learns that
// its limit has ended.
Test(limit_share, a_limit_of_zero_still_lets_single_requests_through)
{
  cr_expect_gt(TotalShare(9, 0.0, true), 0.0);
  cr_expect_leq(TotalShare(9, 0.0, true), 0.5 + 1e-6);
}

// Guards against a burst after a time without requests.
Test(request_pacer, saves_up_a_single_request_at_a_low_rate)
{
  ManualClock clock;
  RequestPacer pacer(clock.Now());
  pacer.SetRate(2.0, clock.Now());
  cr_expect_gt(pacer.Delay(clock.Now()), Duration::zero());
  clock.Advance(std::chrono::seconds(60));
  cr_expect_eq(pacer.Delay(clock.Now()), Duration::zero());
  pacer.Take(clock.Now());
  const Duration delay = pacer.Delay(clock.Now());
  cr_expect_gt(delay, std::chrono::milliseconds(490));
  clock.Advance(delay);
  cr_expect_eq(pacer.Delay(clock.Now()), Duration::zero());
}

// Guards against requests of a host that may not use the replica.
Test(request_pacer, a_rate_of_zero_allows_nothing)
{
  ManualClock clock;
  RequestPacer pacer(clock.Now());
  pacer.SetRate(5.0, clock.Now());
  clock.Advance(std::chrono::seconds(1));
  pacer.SetRate(0.0, clock.Now());
  cr_expect_eq(pacer.Delay(clock.Now()), Duration::max());
}
