#include "agatetide/policy/model_assignment.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace agatetide::policy {

namespace {

/// Version of weights that replicas start with.
constexpr int64_t kFirstVersion = 1;

} // namespace

bool ModelAssignment::IsAssigned(const std::string& aReplicaId,
                                 const std::string& aModel) const
{
  if (mPolicy == ModelAssignmentPolicy::AllModels) {
    return true;
  }
  const auto found = mHomes.find(aReplicaId);
  return found != mHomes.end() && found->second == aModel;
}

/// Models whose newest version is nearest to the replica's own; all models
/// while the replica has loaded none.
std::vector<std::string> ModelAssignment::Candidates(
  const AssignableReplica& aReplica,
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

double ModelAssignment::DemandOf(const std::string& aModel) const
{
  const auto found = mDemand.find(aModel);
  if (found != mDemand.end()) {
    return found->second;
  }
  double least = mDemand.empty() ? 1.0 : std::numeric_limits<double>::max();
  for (const auto& [model, demand] : mDemand) {
    least = std::min(least, demand);
  }
  return least;
}

/// The candidate with the most work for each replica once this one follows
/// it, and the fewest replicas in the zone.
std::string ModelAssignment::Choose(
  const AssignableReplica& aReplica,
  std::span<const std::string> aCandidates,
  std::span<const AssignableReplica> aReplicas) const
{
  std::string best;
  std::pair<double, size_t> lowest;
  for (const std::string& model : aCandidates) {
    size_t followers = 0;
    size_t inZone = 0;
    for (const AssignableReplica& other : aReplicas) {
      const auto home = mHomes.find(other.mId);
      if (home != mHomes.end() && home->second == model) {
        ++followers;
        inZone += other.mAvailabilityZone == aReplica.mAvailabilityZone ? 1 : 0;
      }
    }
    const std::pair<double, size_t> cost{
      static_cast<double>(followers + 1) / DemandOf(model), inZone
    };
    if (best.empty() || cost < lowest) {
      best = model;
      lowest = cost;
    }
  }
  return best;
}

void ModelAssignment::Rebalance(
  std::span<const AssignableReplica> aReplicas,
  const std::map<std::string, double, std::less<>>& aDemand)
{
  // A model whose share is off by less keeps its replicas.
  constexpr double kTolerance = 0.7;
  mDemand = aDemand;
  std::erase_if(mDemand, [](const auto& aItem) { return aItem.second <= 0.0; });
  std::map<std::string, double> surplus;
  double total = 0.0;
  for (const AssignableReplica& replica : aReplicas) {
    const auto home = mHomes.find(replica.mId);
    if (home != mHomes.end()) {
      surplus[home->second] += 1.0;
      total += 1.0;
    }
  }
  double demand = 0.0;
  for (const auto& [model, followers] : surplus) {
    demand += DemandOf(model);
  }
  for (auto& [model, followers] : surplus) {
    followers -= std::max(1.0, total * DemandOf(model) / demand);
  }
  const auto less = [](const auto& aLeft, const auto& aRight) {
    return aLeft.second < aRight.second;
  };
  const auto [needs, has] =
    std::minmax_element(surplus.begin(), surplus.end(), less);
  if (surplus.size() < 2 || has->second < kTolerance ||
      needs->second > -kTolerance) {
    return;
  }
  // The replica nearest to the newest version of its new model.
  std::string chosen;
  int64_t newest = 0;
  for (const AssignableReplica& replica : aReplicas) {
    const auto home = mHomes.find(replica.mId);
    const auto version = replica.mVersions.find(needs->first);
    if (home != mHomes.end() && home->second == has->first &&
        version != replica.mVersions.end() && version->second > newest) {
      chosen = replica.mId;
      newest = version->second;
    }
  }
  if (!chosen.empty()) {
    mHomes[chosen] = needs->first;
  }
}

void ModelAssignment::Update(
  std::span<const AssignableReplica> aReplicas,
  const std::map<std::string, int64_t, std::less<>>& aNamed)
{
  std::set<std::string_view> present;
  for (const AssignableReplica& replica : aReplicas) {
    present.insert(replica.mId);
  }
  std::erase_if(
    mHomes, [&](const auto& aItem) { return !present.contains(aItem.first); });
  // Replicas that follow a model already go first: the others fill up.
  for (const bool settled : { true, false }) {
    for (const AssignableReplica& replica : aReplicas) {
      const auto candidates = Candidates(replica, aNamed);
      if (!mHomes.contains(replica.mId) && !candidates.empty() &&
          (candidates.size() == 1) == settled) {
        mHomes[replica.mId] = Choose(replica, candidates, aReplicas);
      }
    }
  }
}

} // namespace agatetide::policy
