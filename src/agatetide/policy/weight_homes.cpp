#include "agatetide/policy/weight_homes.hpp"

#include <algorithm>
#include <set>

namespace agatetide::policy {

bool WeightHomes::Follows(const std::string& aReplicaId,
                          const std::string& aModel) const
{
  if (mPolicy == HomePolicy::AllModels) {
    return true;
  }
  const auto found = mHomes.find(aReplicaId);
  return found != mHomes.end() && found->second == aModel;
}

/// The model in which the replica is ahead of the others; otherwise the one
/// with the fewest replicas, in its zone first.
std::string WeightHomes::Choose(
  const HomeReplica& aReplica,
  std::span<const HomeReplica> aReplicas,
  const std::map<std::string, int64_t, std::less<>>& aNamed) const
{
  std::map<std::string, std::pair<size_t, size_t>> followers;
  for (const auto& [model, version] : aReplica.mVersions) {
    followers[model] = {};
  }
  for (const HomeReplica& other : aReplicas) {
    const auto home = mHomes.find(other.mId);
    if (home == mHomes.end() || !followers.contains(home->second)) {
      continue;
    }
    auto& [inZone, all] = followers[home->second];
    inZone += other.mAvailabilityZone == aReplica.mAvailabilityZone ? 1 : 0;
    ++all;
  }
  std::string best;
  int64_t bestLag = 0;
  for (const auto& [model, version] : aReplica.mVersions) {
    const auto named = aNamed.find(model);
    const int64_t lag = named == aNamed.end() ? 0 : named->second - version;
    const bool behind = lag > 1;
    const bool bestBehind = bestLag > 1;
    if (best.empty() || behind < bestBehind ||
        (behind == bestBehind && followers[model] < followers[best])) {
      best = model;
      bestLag = lag;
    }
  }
  return best;
}

void WeightHomes::Update(
  std::span<const HomeReplica> aReplicas,
  const std::map<std::string, int64_t, std::less<>>& aNamed)
{
  std::set<std::string_view> present;
  for (const HomeReplica& replica : aReplicas) {
    present.insert(replica.mId);
  }
  std::erase_if(
    mHomes, [&](const auto& aItem) { return !present.contains(aItem.first); });
  for (const HomeReplica& replica : aReplicas) {
    if (!mHomes.contains(replica.mId) && !replica.mVersions.empty()) {
      mHomes[replica.mId] = Choose(replica, aReplicas, aNamed);
    }
  }
}

} // namespace agatetide::policy
