#include "agatetide/policy/model_assignment.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace agatetide::policy;

namespace {

constexpr const char* kZones[] = { "zone-a", "zone-b" };

/// Replicas r0, r1, ... over two zones.
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

size_t CountFollowers(const ModelAssignment& aHomes,
                      std::span<const AssignableReplica> aReplicas,
                      const std::string& aModel)
{
  size_t followers = 0;
  for (const AssignableReplica& replica : aReplicas) {
    followers += aHomes.IsAssigned(replica.mId, aModel) ? 1 : 0;
  }
  return followers;
}

} // namespace

// Guards against a first assignment that leaves a model with few replicas
// because only the other one was named so far.
Test(weight_homes, shares_new_replicas_evenly)
{
  const auto replicas = MakeReplicas(8);
  ModelAssignment homes;
  homes.Update(replicas, { { "first", 3 } });
  cr_expect_eq(CountFollowers(homes, replicas, "first"), 4);
  cr_expect_eq(CountFollowers(homes, replicas, "second"), 4);
}

// Guards against a new leader that hands replicas to the other model, whose
// newest version they would have to load first: on a day with a change of
// leader one model kept two of eight replicas.
Test(weight_homes, recognises_the_homes_of_the_leader_before)
{
  auto replicas = MakeReplicas(8);
  for (size_t i = 0; i < replicas.size(); ++i) {
    // No version was moved for some seconds, so homes are behind as well.
    replicas[i].mVersions =
      i < 4 ? std::map<std::string, int64_t, std::less<>>{ { "first", 4 },
                                                           { "second", 1 } }
            : std::map<std::string, int64_t, std::less<>>{ { "first", 1 },
                                                           { "second", 3 } };
  }
  ModelAssignment homes;
  homes.Update(replicas, { { "first", 6 }, { "second", 5 } });
  for (size_t i = 0; i < replicas.size(); ++i) {
    cr_expect(homes.IsAssigned(replicas[i].mId, i < 4 ? "first" : "second"));
  }
}

// Guards against a replacement that joins the model with enough replicas.
Test(weight_homes, gives_a_replacement_to_the_model_that_lost_one)
{
  auto replicas = MakeReplicas(4);
  for (size_t i = 0; i < replicas.size(); ++i) {
    replicas[i].mVersions[i < 2 ? "first" : "second"] = 5;
  }
  const std::map<std::string, int64_t, std::less<>> named{ { "first", 5 },
                                                           { "second", 5 } };
  ModelAssignment homes;
  homes.Update(replicas, named);
  // The replacement sorts before the others and has both newest versions.
  replicas[3] = { "a-new", kZones[1], { { "first", 5 }, { "second", 5 } } };
  std::rotate(replicas.begin(), replicas.begin() + 3, replicas.end());
  homes.Update(replicas, named);
  cr_expect(homes.IsAssigned("a-new", "second"));
}

// Guards against two models with the same number of replicas where one brings
// twice the work: its steps took 8 s, those of the other 4 s.
Test(weight_homes, shares_replicas_by_demand)
{
  const auto replicas = MakeReplicas(8);
  ModelAssignment homes;
  homes.Update(replicas, {});
  for (int i = 0; i < 4; ++i) {
    homes.Rebalance(replicas, { { "first", 1000.0 }, { "second", 2000.0 } });
  }
  cr_expect_eq(CountFollowers(homes, replicas, "first"), 3);
  cr_expect_eq(CountFollowers(homes, replicas, "second"), 5);
}

// Guards against a model without work that loses its last replica.
Test(weight_homes, leaves_each_model_a_replica)
{
  const auto replicas = MakeReplicas(4);
  ModelAssignment homes;
  homes.Update(replicas, {});
  for (int i = 0; i < 8; ++i) {
    homes.Rebalance(replicas, { { "first", 1.0 }, { "second", 5000.0 } });
  }
  cr_expect_eq(CountFollowers(homes, replicas, "first"), 1);
}
