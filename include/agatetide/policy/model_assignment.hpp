#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace agatetide::policy {

enum class ModelAssignmentPolicy
{
  /// Every replica is assigned all models.
  AllModels,
  /// Each replica is assigned one model, so that only the model's share of the
  /// replicas loads a new version.
  OneModel,
};

/// @brief When a replica is reassigned to another model.
enum class RebalanceRule
{
  /// When a model differs from its share of the replicas.
  Share,
  /// When the highest demand per replica falls, although the replica does not
  /// serve while it loads the weights of its new model.
  Gain,
};

/// @brief A step that was submitted recently, as the leader sees it.
struct RecentStep
{
  std::string mModel;
  double mExpectedTokens = 0.0;
  bool mOpen = false;
  /// Time from the submission until now if the step is open, otherwise until
  /// its end.
  double mOpenSeconds = 0.0;
  /// Time from the submission until the results are due; 0 if unlimited.
  double mDueSeconds = 0.0;
};

/// @brief Returns the expected tokens by model, weighted by lateness: a model
/// whose steps take up the time until they are due counts twice, since a late
/// trainer also submits less. Thread-safe.
std::map<std::string, double, std::less<>> DemandByLateness(
  std::span<const RecentStep> aSteps);

/// @brief A replica that models can be assigned to.
struct AssignableReplica
{
  std::string mId;
  std::string mAvailabilityZone;
  /// Loaded weight version by model.
  std::map<std::string, int64_t, std::less<>> mVersions;
};

/// @brief A replica that was assigned to another model.
struct Reassignment
{
  std::string mReplicaId;
  std::string mFrom;
  std::string mTo;
};

/// @brief Assigns models to replicas; a replica loads the new weight versions
/// of its assigned models. Assignments persist as replicas come and go; a new
/// replica gets the model with the highest demand per replica.
/// Not thread-safe.
class ModelAssignment
{
public:
  explicit ModelAssignment(
    ModelAssignmentPolicy aPolicy = ModelAssignmentPolicy::OneModel)
    : mPolicy(aPolicy)
  {
  }

  /// @brief Removes the assignments of replicas that are gone and assigns new
  /// replicas. aPublishedVersions holds the newest version of each model. A
  /// new replica that is much closer to the newest version of one model than
  /// of the others gets that model.
  void Update(
    std::span<const AssignableReplica> aReplicas,
    const std::map<std::string, int64_t, std::less<>>& aPublishedVersions);

  /// @brief Sets the demand (expected output tokens) per model, and reassigns
  /// at most one replica to match it, since each reassignment costs a weight
  /// load. Models without a positive demand count like the one with the lowest.
  std::optional<Reassignment> Rebalance(
    std::span<const AssignableReplica> aReplicas,
    const std::map<std::string, double, std::less<>>& aDemand,
    RebalanceRule aRule = RebalanceRule::Share);

  /// @brief Returns whether the model is assigned to the replica.
  bool IsAssigned(const std::string& aReplicaId,
                  const std::string& aModel) const;

private:
  static std::vector<std::string> CandidateModels(
    const AssignableReplica& aReplica,
    const std::map<std::string, int64_t, std::less<>>& aPublishedVersions);
  std::string ChooseModel(const AssignableReplica& aReplica,
                          std::span<const std::string> aCandidates,
                          std::span<const AssignableReplica> aReplicas) const;

  double DemandOf(const std::string& aModel) const;
  std::map<std::string, double> ReplicasByModel(
    std::span<const AssignableReplica> aReplicas) const;
  std::optional<Reassignment> RebalanceByShare(
    std::span<const AssignableReplica> aReplicas);
  std::optional<Reassignment> RebalanceByGain(
    std::span<const AssignableReplica> aReplicas);
  std::optional<Reassignment> Reassign(
    std::span<const AssignableReplica> aReplicas,
    const std::string& aFrom,
    const std::string& aTo);

  ModelAssignmentPolicy mPolicy;
  /// Demand by model.
  std::map<std::string, double, std::less<>> mDemand;
  /// Model by replica id.
  std::map<std::string, std::string, std::less<>> mAssignments;
};

} // namespace agatetide::policy
