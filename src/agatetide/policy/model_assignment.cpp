#include "agatetide/policy/model_assignment.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace agatetide::policy {

namespace {

/// Weight version that replicas start with.
constexpr int64_t kInitialVersion = 1;

} // namespace

bool ModelAssignment::IsAssigned(const std::string& aReplicaId,
                                 const std::string& aModel) const
{
  if (mPolicy == ModelAssignmentPolicy::AllModels) {
    return true;
  }
  const auto found = mAssignments.find(aReplicaId);
  return found != mAssignments.end() && found->second == aModel;
}

/// Returns the models whose published version is closest to the replica's, with
/// a tolerance of one version; all models while the replica has loaded none.
std::vector<std::string> ModelAssignment::CandidateModels(
  const AssignableReplica& aReplica,
  const std::map<std::string, int64_t, std::less<>>& aPublishedVersions)
{
  const bool hasLoaded = std::any_of(
    aReplica.mVersions.begin(),
    aReplica.mVersions.end(),
    [](const auto& aItem) { return aItem.second > kInitialVersion; });
  std::map<std::string, int64_t> lags;
  int64_t lowest = std::numeric_limits<int64_t>::max();
  for (const auto& [model, version] : aReplica.mVersions) {
    const auto published = aPublishedVersions.find(model);
    lags[model] =
      published == aPublishedVersions.end() ? 0 : published->second - version;
    lowest = std::min(lowest, lags[model]);
  }
  std::vector<std::string> candidates;
  for (const auto& [model, lag] : lags) {
    if (!hasLoaded || lag <= lowest + 1) {
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
  double lowest = mDemand.empty() ? 1.0 : std::numeric_limits<double>::max();
  for (const auto& [model, demand] : mDemand) {
    lowest = std::min(lowest, demand);
  }
  return lowest;
}

/// Returns the candidate with the highest demand per replica, this one
/// included; ties go to the model with the fewest replicas in the zone.
std::string ModelAssignment::ChooseModel(
  const AssignableReplica& aReplica,
  std::span<const std::string> aCandidates,
  std::span<const AssignableReplica> aReplicas) const
{
  std::string best;
  std::pair<double, size_t> lowestCost;
  for (const std::string& model : aCandidates) {
    size_t replicas = 0;
    size_t replicasInZone = 0;
    for (const AssignableReplica& other : aReplicas) {
      const auto assigned = mAssignments.find(other.mId);
      if (assigned != mAssignments.end() && assigned->second == model) {
        ++replicas;
        replicasInZone +=
          other.mAvailabilityZone == aReplica.mAvailabilityZone ? 1 : 0;
      }
    }
    const std::pair<double, size_t> cost{
      static_cast<double>(replicas + 1) / DemandOf(model), replicasInZone
    };
    if (best.empty() || cost < lowestCost) {
      best = model;
      lowestCost = cost;
    }
  }
  return best;
}

void ModelAssignment::Rebalance(
  std::span<const AssignableReplica> aReplicas,
  const std::map<std::string, double, std::less<>>& aDemand)
{
  // Difference to a model's share, in replicas, below which no replica is
  // reassigned.
  constexpr double kMinImbalance = 0.7;
  mDemand = aDemand;
  std::erase_if(mDemand, [](const auto& aItem) { return aItem.second <= 0.0; });
  std::map<std::string, double> surplus;
  double totalReplicas = 0.0;
  for (const AssignableReplica& replica : aReplicas) {
    const auto assigned = mAssignments.find(replica.mId);
    if (assigned != mAssignments.end()) {
      surplus[assigned->second] += 1.0;
      totalReplicas += 1.0;
    }
  }
  double totalDemand = 0.0;
  for (const auto& [model, replicas] : surplus) {
    totalDemand += DemandOf(model);
  }
  for (auto& [model, excess] : surplus) {
    excess -= std::max(1.0, totalReplicas * DemandOf(model) / totalDemand);
  }
  const auto less = [](const auto& aLeft, const auto& aRight) {
    return aLeft.second < aRight.second;
  };
  const auto [largestDeficit, largestSurplus] =
    std::minmax_element(surplus.begin(), surplus.end(), less);
  if (surplus.size() < 2 || largestSurplus->second < kMinImbalance ||
      largestDeficit->second > -kMinImbalance) {
    return;
  }
  // Reassigns the replica with the newest version of its new model.
  std::string reassigned;
  int64_t newest = 0;
  for (const AssignableReplica& replica : aReplicas) {
    const auto assigned = mAssignments.find(replica.mId);
    const auto version = replica.mVersions.find(largestDeficit->first);
    if (assigned != mAssignments.end() &&
        assigned->second == largestSurplus->first &&
        version != replica.mVersions.end() && version->second > newest) {
      reassigned = replica.mId;
      newest = version->second;
    }
  }
  if (!reassigned.empty()) {
    mAssignments[reassigned] = largestDeficit->first;
  }
}

void ModelAssignment::Update(
  std::span<const AssignableReplica> aReplicas,
  const std::map<std::string, int64_t, std::less<>>& aPublishedVersions)
{
  std::set<std::string_view> presentIds;
  for (const AssignableReplica& replica : aReplicas) {
    presentIds.insert(replica.mId);
  }
  std::erase_if(mAssignments, [&](const auto& aItem) {
    return !presentIds.contains(aItem.first);
  });
  // Replicas with a single candidate come first; the others then balance the
  // models.
  for (const bool unambiguous : { true, false }) {
    for (const AssignableReplica& replica : aReplicas) {
      const auto candidates = CandidateModels(replica, aPublishedVersions);
      if (!mAssignments.contains(replica.mId) && !candidates.empty() &&
          (candidates.size() == 1) == unambiguous) {
        mAssignments[replica.mId] = ChooseModel(replica, candidates, aReplicas);
      }
    }
  }
}

} // namespace agatetide::policy
