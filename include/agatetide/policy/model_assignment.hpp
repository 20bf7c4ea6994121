#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace agatetide::policy {

enum class ModelAssignmentPolicy
{
  /// Every replica follows every model.
  AllModels,
  /// Each replica follows one model, so that a version is loaded once by as
  /// many replicas as its share of the service.
  OneModel,
};

/// @brief A replica as the assignment sees it.
struct AssignableReplica
{
  std::string mId;
  std::string mAvailabilityZone;
  /// Weight version by model.
  std::map<std::string, int64_t, std::less<>> mVersions;
};

/// @brief Which models each replica follows. Keeps assignments as replicas
/// come and go; a new replica goes to the model with the most work for each
/// of its replicas.
/// Not thread-safe.
class ModelAssignment
{
public:
  explicit ModelAssignment(
    ModelAssignmentPolicy aPolicy = ModelAssignmentPolicy::OneModel)
    : mPolicy(aPolicy)
  {
  }

  /// @brief Brings the assignment up to date. aNamed holds the newest version
  /// of each model; a replica without an assignment that is much nearer to
  /// the newest version of one model than of the others follows it.
  void Update(std::span<const AssignableReplica> aReplicas,
              const std::map<std::string, int64_t, std::less<>>& aNamed);

  /// @brief Sets how much work each model brings; models without an entry
  /// count as the least of the others. Hands at most one replica over to
  /// another model, since each costs a load of weights.
  void Rebalance(std::span<const AssignableReplica> aReplicas,
                 const std::map<std::string, double, std::less<>>& aDemand);

  /// @brief Whether the replica follows the model.
  bool IsAssigned(const std::string& aReplicaId,
                  const std::string& aModel) const;

private:
  static std::vector<std::string> Candidates(
    const AssignableReplica& aReplica,
    const std::map<std::string, int64_t, std::less<>>& aNamed);
  std::string Choose(const AssignableReplica& aReplica,
                     std::span<const std::string> aCandidates,
                     std::span<const AssignableReplica> aReplicas) const;

  double DemandOf(const std::string& aModel) const;

  ModelAssignmentPolicy mPolicy;
  std::map<std::string, double, std::less<>> mDemand;
  /// Model by replica id.
  std::map<std::string, std::string, std::less<>> mHomes;
};

} // namespace agatetide::policy
