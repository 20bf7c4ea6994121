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

namespace {

constexpr double kDue = 7.5;

/// Steps of the last 20 s: the first model is late and submits less, the second
/// one is early.
std::map<std::string, double, std::less<>> LateDemand()
{
  std::vector<RecentStep> steps;
  for (int i = 0; i < 3; ++i) {
    steps.push_back({ "first", 1000.0, false, kDue, kDue });
  }
  steps.push_back({ "first", 1000.0, true, kDue + 1.0, kDue });
  for (int i = 0; i < 5; ++i) {
    steps.push_back({ "second", 1000.0, false, 3.0, kDue });
  }
  steps.push_back({ "second", 1000.0, true, 0.5, kDue });
  return DemandByLateness(steps);
}

} // namespace

// Guards against a late trainer that loses replicas because it submits fewer
// steps: one was 12.4 s behind while another was on time.
Test(weight_homes, a_late_trainer_gains_replicas_one_at_a_time)
{
  const auto replicas = MakeReplicas(8);
  ModelAssignment assignment;
  assignment.Update(replicas, {});
  const auto demand = LateDemand();
  const auto moved =
    assignment.Rebalance(replicas, demand, RebalanceRule::Gain);
  cr_assert(moved.has_value());
  cr_expect_str_eq(moved->mTo.c_str(), "first");
  cr_expect_eq(CountReplicas(assignment, replicas, "first"), 5);
  for (int i = 0; i < 8; ++i) {
    assignment.Rebalance(replicas, demand, RebalanceRule::Gain);
  }
  cr_expect_lt(CountReplicas(assignment, replicas, "first"), 7);
}

// Guards against reassignments whose gain is below the time without service
// while the weights are loaded, and against a replica that goes back and forth.
Test(weight_homes, a_small_gain_does_not_pay_for_a_load)
{
  const auto replicas = MakeReplicas(8);
  ModelAssignment assignment;
  assignment.Update(replicas, {});
  const auto more = [&](double aFirst, double aSecond) {
    return assignment
      .Rebalance(replicas,
                 { { "first", aFirst }, { "second", aSecond } },
                 RebalanceRule::Gain)
      .has_value();
  };
  cr_expect_not(more(1150.0, 1000.0));
  cr_expect(more(2000.0, 1000.0));
  cr_expect_not(more(2000.0, 1300.0));
  cr_expect_not(more(1500.0, 1000.0));
}

// Guards against weights where a deadline is missing, which would count as
// lateness without end, and without lateness: the order of today stays.
Test(weight_homes, steps_in_time_count_by_their_tokens)
{
  const RecentStep steps[] = { { "first", 1000.0, false, 60.0, 0.0 },
                               { "second", 2000.0, true, 3.0, kDue } };
  const auto demand = DemandByLateness(steps);
  cr_expect_eq(demand.at("first"), 1000.0);
  cr_expect_eq(demand.at("second"), 2000.0);
}
