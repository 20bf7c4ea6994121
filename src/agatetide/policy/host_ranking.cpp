#include "agatetide/policy/host_ranking.hpp"

#include "agatetide/base/encoding.hpp"

#include <algorithm>
#include <tuple>

namespace agatetide::policy {

namespace {

/// Returns 0 in the caller's availability zone, 1 in its region, 2 in a
/// preferred region, 3 elsewhere.
unsigned LocationDistance(const HostCandidate& aHost,
                          const CallerLocation& aCaller)
{
  if (!aCaller.mAvailabilityZone.empty() &&
      aHost.mAvailabilityZone == aCaller.mAvailabilityZone) {
    return 0;
  }
  if (!aCaller.mRegion.empty() && aHost.mRegion == aCaller.mRegion) {
    return 1;
  }
  return aHost.mPreferred ? 2 : 3;
}

enum class Availability
{
  Serving,
  CutOff,
  Gone,
};

Availability AvailabilityOf(const HostCandidate& aHost)
{
  if (!aHost.mAlive || aHost.mDraining) {
    return Availability::Gone;
  }
  return aHost.mCutOff ? Availability::CutOff : Availability::Serving;
}

} // namespace

std::vector<size_t> RankHosts(std::span<const HostCandidate> aHosts,
                              const CallerLocation& aCaller)
{
  auto best = Availability::Gone;
  for (const HostCandidate& host : aHosts) {
    best = std::min(best, AvailabilityOf(host));
  }
  using Rank = std::tuple<unsigned, uint64_t, size_t>;
  std::vector<Rank> ranks;
  for (size_t i = 0; i < aHosts.size(); ++i) {
    const HostCandidate& host = aHosts[i];
    if (AvailabilityOf(host) != best) {
      continue;
    }
    const uint64_t hash = Hash64(host.mAddress, Hash64(aCaller.mAccount));
    ranks.emplace_back(LocationDistance(host, aCaller), hash, i);
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<size_t> order;
  order.reserve(ranks.size());
  for (const Rank& rank : ranks) {
    order.push_back(std::get<2>(rank));
  }
  return order;
}

} // namespace agatetide::policy
