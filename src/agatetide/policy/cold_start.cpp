#include "agatetide/policy/cold_start.hpp"

#include "agatetide/base/encoding.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace agatetide::policy {

double ShareOfColdReplica(const ColdShareInput& aInput,
                          const ColdShareOptions& aOptions)
{
  const auto self = std::find_if(aInput.mHosts.begin(),
                                 aInput.mHosts.end(),
                                 [&](const ColdShareHost& aCandidate) {
                                   return aCandidate.mName == aInput.mHost;
                                 });
  if (self == aInput.mHosts.end() || aInput.mRequestsPerSecond <= 0.0) {
    return 0.0;
  }
  const uint64_t seed = Hash64(aInput.mReplicaId);
  const auto rank = [&](const ColdShareHost& aHost) {
    return std::tuple(
      !aHost.mSameRegion, Hash64(aHost.mName, seed), aHost.mName);
  };
  const auto own = rank(*self);
  const auto before = std::count_if(
    aInput.mHosts.begin(),
    aInput.mHosts.end(),
    [&](const ColdShareHost& aOther) { return rank(aOther) < own; });
  const double users = std::clamp(
    std::floor(aInput.mRequestsPerSecond * aOptions.mHostsPerRequestRate),
    1.0,
    static_cast<double>(aInput.mHosts.size()));
  return static_cast<double>(before) < users ? aInput.mRequestsPerSecond / users
                                             : 0.0;
}

} // namespace agatetide::policy
