#include "agatetide/policy/model_assignment.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace agatetide::policy {

namespace {

/// Weight version that replicas start with.
constexpr int64_t kInitialVersion = 1;
/// Time for which a replica does not serve when it loads the weights of another
/// model.
constexpr double kLoadSeconds = 0.9;
/// Usual time until the assignment is reviewed again.
constexpr double kReviewSeconds = 4.0;
/// A reassignment must lower the highest demand per replica at least to this
/// share, since estimates of the demand vary.
constexpr double kMaxLoadAfter = 0.95;
/// Share of the time until results are due that steps take without shortage.
constexpr double kUsualLateness = 0.5;
/// Bounds the weight of a step that stays open long after it was due.
constexpr double kMaxLateness = 1.5;
/// Growth of the weight with lateness: the weight at the due time is 2, which
/// makes up for the steps that a late trainer does not submit.
constexpr double kLatenessWeight = 2.0;

/// Time for which a step was open, relative to the time until it is due.
double LatenessOf(const RecentStep& aStep)
{
  return aStep.mDueSeconds > 0.0
           ? std::min(kMaxLateness, aStep.mOpenSeconds / aStep.mDueSeconds)
           : 0.0;
}

} // namespace

std::map<std::string, double, std::less<>> DemandByLateness(
  std::span<const RecentStep> aSteps)
{
  struct ModelState
  {
    double mTokens = 0.0;
    /// Sum over the ended steps, and their number.
    double mEndedLateness = 0.0;
    double mEndedCount = 0.0;
    /// Of the latest open step.
    double mOpenLateness = 0.0;
  };
  std::map<std::string, ModelState, std::less<>> models;
  for (const RecentStep& step : aSteps) {
    ModelState& model = models[step.mModel];
    model.mTokens += step.mExpectedTokens;
    if (step.mOpen) {
      model.mOpenLateness = std::max(model.mOpenLateness, LatenessOf(step));
    } else {
      model.mEndedLateness += LatenessOf(step);
      model.mEndedCount += 1.0;
    }
  }
  std::map<std::string, double, std::less<>> demand;
  for (const auto& [name, model] : models) {
    const double lateness =
      std::max(model.mOpenLateness,
               model.mEndedLateness / std::max(1.0, model.mEndedCount));
    demand[name] =
      model.mTokens *
      (1.0 + kLatenessWeight * std::max(0.0, lateness - kUsualLateness));
  }
  return demand;
}

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

std::optional<Reassignment> ModelAssignment::Rebalance(
  std::span<const AssignableReplica> aReplicas,
  const std::map<std::string, double, std::less<>>& aDemand,
  RebalanceRule aRule)
{
  mDemand = aDemand;
  std::erase_if(mDemand, [](const auto& aItem) { return aItem.second <= 0.0; });
  return aRule == RebalanceRule::Gain ? RebalanceByGain(aReplicas)
                                      : RebalanceByShare(aReplicas);
}

std::map<std::string, double> ModelAssignment::ReplicasByModel(
  std::span<const AssignableReplica> aReplicas) const
{
  std::map<std::string, double> counts;
  for (const AssignableReplica& replica : aReplicas) {
    const auto assigned = mAssignments.find(replica.mId);
    if (assigned != mAssignments.end()) {
      counts[assigned->second] += 1.0;
    }
  }
  return counts;
}

std::optional<Reassignment> ModelAssignment::RebalanceByShare(
  std::span<const AssignableReplica> aReplicas)
{
  // Difference to a model's share, in replicas, below which no replica is
  // reassigned.
  constexpr double kMinImbalance = 0.7;
  std::map<std::string, double> surplus = ReplicasByModel(aReplicas);
  double totalReplicas = 0.0;
  double totalDemand = 0.0;
  for (const auto& [model, replicas] : surplus) {
    totalReplicas += replicas;
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
    return std::nullopt;
  }
  return Reassign(aReplicas, largestSurplus->first, largestDeficit->first);
}

/// Gives the model with the highest demand per replica one of the model that
/// can spare it best.
std::optional<Reassignment> ModelAssignment::RebalanceByGain(
  std::span<const AssignableReplica> aReplicas)
{
  const std::map<std::string, double> counts = ReplicasByModel(aReplicas);
  std::string neediest;
  double highest = 0.0;
  for (const auto& [model, replicas] : counts) {
    const double load = DemandOf(model) / replicas;
    if (load > highest) {
      neediest = model;
      highest = load;
    }
  }
  std::string donor;
  double lowest = std::numeric_limits<double>::infinity();
  for (const auto& [model, replicas] : counts) {
    if (model != neediest && replicas > 1.0 &&
        DemandOf(model) / (replicas - 1.0) < lowest) {
      donor = model;
      lowest = DemandOf(model) / (replicas - 1.0);
    }
  }
  if (donor.empty()) {
    return std::nullopt;
  }
  const double gained = 1.0 - kLoadSeconds / kReviewSeconds;
  const double after =
    std::max(lowest, DemandOf(neediest) / (counts.at(neediest) + gained));
  if (after >= kMaxLoadAfter * highest) {
    return std::nullopt;
  }
  return Reassign(aReplicas, donor, neediest);
}

/// Reassigns the replica with the newest version of its new model.
std::optional<Reassignment> ModelAssignment::Reassign(
  std::span<const AssignableReplica> aReplicas,
  const std::string& aFrom,
  const std::string& aTo)
{
  std::string reassigned;
  int64_t newest = 0;
  for (const AssignableReplica& replica : aReplicas) {
    const auto assigned = mAssignments.find(replica.mId);
    const auto version = replica.mVersions.find(aTo);
    if (assigned != mAssignments.end() && assigned->second == aFrom &&
        version != replica.mVersions.end() && version->second > newest) {
      reassigned = replica.mId;
      newest = version->second;
    }
  }
  if (reassigned.empty()) {
    return std::nullopt;
  }
  mAssignments[reassigned] = aTo;
  return Reassignment{ reassigned, aFrom, aTo };
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
