#include "agatetide/policy/model_assignment.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace agatetide::policy;

namespace {

constexpr const char* kZones[] = { "zone-a", "zone-b" };

/// Returns replicas r0, r1, ... in two zones, with two models each.
std::vector<AssignableReplica> MakeReplicas(size_t aCount)
{
  std::vector<AssignableReplica> replicas;
  for (size_t i = 0; i < aCount; ++i) {
    replicas.push_back({ "r" + std::to_string(i),
                         kZones[i % 2],
                         { { "first", 1 }, { "second", 1 } } });
  }
  return replicas;
}

size_t CountReplicas(const ModelAssignment& aAssignment,
                     std::span<const AssignableReplica> aReplicas,
                     const std::string& aModel)
{
  size_t replicaCount = 0;
  for (const AssignableReplica& replica : aReplicas) {
    replicaCount += aAssignment.IsAssigned(replica.mId, aModel) ? 1 : 0;
  }
  return replicaCount;
}

} // namespace

// Guards against a first assignment that gives a model few replicas because no
// version of it was published yet.
Test(weight_homes, shares_new_replicas_evenly)
{
  const auto replicas = MakeReplicas(8);
  ModelAssignment assignment;
  assignment.Update(replicas, { { "first", 3 } });
  cr_expect_eq(CountReplicas(assignment, replicas, "first"), 4);
  cr_expect_eq(CountReplicas(assignment, replicas, "second"), 4);
}

// Guards against a new leader that assigns replicas to the other model, whose
// newest version they would have to load first: after a leader change one model
// kept two of eight replicas.
Test(weight_homes, recognises_the_homes_of_the_leader_before)
{
  auto replicas = MakeReplicas(8);
  for (size_t i = 0; i < replicas.size(); ++i) {
    // No version was loaded for some seconds, so each replica is also behind on
    // its assigned model.
    replicas[i].mVersions =
      i < 4 ? std::map<std::string, int64_t, std::less<>>{ { "first", 4 },
                                                           { "second", 1 } }
            : std::map<std::string, int64_t, std::less<>>{ { "first", 1 },
                                                           { "second", 3 } };
  }
  ModelAssignment assignment;
  assignment.Update(replicas, { { "first", 6 }, { "second", 5 } });
  for (size_t i = 0; i < replicas.size(); ++i) {
    cr_expect(
      assignment.IsAssigned(replicas[i].mId, i < 4 ? "first" : "second"));
  }
}

// Guards against assigning a replacement replica to the model that already has
// enough.
Test(weight_homes, gives_a_replacement_to_the_model_that_lost_one)
{
  auto replicas = MakeReplicas(4);
  for (size_t i = 0; i < replicas.size(); ++i) {
    replicas[i].mVersions[i < 2 ? "first" : "second"] = 5;
  }
  const std::map<std::string, int64_t, std::less<>> published{
    { "first", 5 }, { "second", 5 }
  };
  ModelAssignment assignment;
  assignment.Update(replicas, published);
  // The replacement sorts before the others and has both newest versions.
  replicas[3] = { "a-new", kZones[1], { { "first", 5 }, { "second", 5 } } };
  std::rotate(replicas.begin(), replicas.begin() + 3, replicas.end());
  assignment.Update(replicas, published);
  cr_expect(assignment.IsAssigned("a-new", "second"));
}

// Guards against two models with the same number of replicas of which one has
// twice the demand: its steps took 8 s, those of the other 4 s.
Test(weight_homes, shares_replicas_by_demand)
{
  const auto replicas = MakeReplicas(8);
  ModelAssignment assignment;
  assignment.Update(replicas, {});
  for (int i = 0; i < 4; ++i) {
    assignment.Rebalance(replicas,
                         { { "first", 1000.0 }, { "second", 2000.0 } });
  }
  cr_expect_eq(CountReplicas(assignment, replicas, "first"), 3);
  cr_expect_eq(CountReplicas(assignment, replicas, "second"), 5);
}

// Guards against a model with little demand losing its last replica.
Test(weight_homes, leaves_each_model_a_replica)
{
  const auto replicas = MakeReplicas(4);
  ModelAssignment assignment;
  assignment.Update(replicas, {});
  for (int i = 0; i < 8; ++i) {
    assignment.Rebalance(replicas, { { "first", 1.0 }, { "second", 5000.0 } });
  }
  cr_expect_eq(CountReplicas(assignment, replicas, "first"), 1);
}
