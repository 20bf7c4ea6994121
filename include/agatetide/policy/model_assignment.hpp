#pragma once

#include <cstdint>
#include <map>
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

/// @brief A replica that models can be assigned to.
struct AssignableReplica
{
  std::string mId;
  std::string mAvailabilityZone;
  /// Loaded weight version by model.
  std::map<std::string, int64_t, std::less<>> mVersions;
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
  void Rebalance(std::span<const AssignableReplica> aReplicas,
                 const std::map<std::string, double, std::less<>>& aDemand);

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

  ModelAssignmentPolicy mPolicy;
  /// Demand by model.
  std::map<std::string, double, std::less<>> mDemand;
  /// Model by replica id.
  std::map<std::string, std::string, std::less<>> mAssignments;
};

} // namespace agatetide::policy
