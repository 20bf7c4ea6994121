#include "agatetide/policy/weight_homes.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace agatetide::policy {

namespace {

/// Version of weights that replicas start with.
constexpr int64_t kFirstVersion = 1;

} // namespace

bool WeightHomes::Follows(const std::string& aReplicaId,
                          const std::string& aModel) const
{
  if (mPolicy == HomePolicy::AllModels) {
    return true;
  }
  const auto found = mHomes.find(aReplicaId);
  return found != mHomes.end() && found->second == aModel;
}

/// Models whose newest version is nearest to the replica's own; all models
/// while the replica has loaded none.
std::vector<std::string> WeightHomes::Candidates(
  const HomeReplica& aReplica,
  const std::map<std::string, int64_t, std::less<>>& aNamed)
{
  const bool loaded =
    std::any_of(aReplica.mVersions.begin(),
                aReplica.mVersions.end(),
                [](const auto& aItem) { return aItem.second > kFirstVersion; });
  std::map<std::string, int64_t> lags;
  int64_t least = std::numeric_limits<int64_t>::max();
  for (const auto& [model, version] : aReplica.mVersions) {
    const auto named = aNamed.find(model);
    lags[model] = named == aNamed.end() ? 0 : named->second - version;
    least = std::min(least, lags[model]);
  }
  std::vector<std::string> candidates;
  for (const auto& [model, lag] : lags) {
    if (!loaded || lag <= least + 1) {
      candidates.push_back(model);
    }
  }
  return candidates;
}

/// The candidate with the fewest replicas, in the replica's zone first.
std::string WeightHomes::Choose(const HomeReplica& aReplica,
                                std::span<const std::string> aCandidates,
                                std::span<const HomeReplica> aReplicas) const
{
  std::string best;
  std::pair<size_t, size_t> fewest;
  for (const std::string& model : aCandidates) {
    std::pair<size_t, size_t> followers;
    for (const HomeReplica& other : aReplicas) {
      const auto home = mHomes.find(other.mId);
      if (home != mHomes.end() && home->second == model) {
        ++followers.second;
        followers.first +=
          other.mAvailabilityZone == aReplica.mAvailabilityZone ? 1 : 0;
      }
    }
    if (best.empty() || followers < fewest) {
      best = model;
      fewest = followers;
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
  // Replicas that follow a model already go first: the others fill up.
  for (const bool settled : { true, false }) {
    for (const HomeReplica& replica : aReplicas) {
      const auto candidates = Candidates(replica, aNamed);
      if (!mHomes.contains(replica.mId) && !candidates.empty() &&
          (candidates.size() == 1) == settled) {
        mHomes[replica.mId] = Choose(replica, candidates, aReplicas);
      }
    }
  }
}

} // namespace agatetide::policy
