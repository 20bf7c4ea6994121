#include "agatetide/policy/weight_load_order.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>

using namespace agatetide;
using namespace agatetide::policy;

namespace {

/// Simulates two models with three replicas each and two loads per round. The
/// first model's trainer publishes a version every round, the second one's
/// every third round. Returns the largest lag of the second model at the end.
int64_t LargestLag(WeightLoadPriority aOrder)
{
  constexpr int kRounds = 12;
  constexpr size_t kLoadsPerRound = 2;
  constexpr size_t kReplicasPerModel = 3;
  std::array<int64_t, 2 * kReplicasPerModel> lags{};
  std::array<TimePoint, 2> lastOrdered{};
  for (int round = 1; round <= kRounds; ++round) {
    std::vector<PendingWeightLoad> loads;
    for (size_t i = 0; i < lags.size(); ++i) {
      lags[i] += i < kReplicasPerModel || round % 3 == 1 ? 1 : 0;
      if (lags[i] > 0) {
        loads.push_back({ i, lags[i], lastOrdered[i / kReplicasPerModel] });
      }
    }
    SortWeightLoads(loads, aOrder);
    for (size_t i = 0; i < std::min(kLoadsPerRound, loads.size()); ++i) {
      const size_t index = loads[i].mIndex;
      lags[index] = 0;
      lastOrdered[index / kReplicasPerModel] =
        TimePoint(std::chrono::seconds(round));
    }
  }
  return *std::max_element(lags.begin() + kReplicasPerModel, lags.end());
}

} // namespace

// Guards against a model that is never loaded while the other one's trainer
// keeps publishing versions: after a leader change, a step waited 6.6 s for a
// replica with its version.
Test(move_order, no_model_falls_behind_for_good)
{
  cr_expect_gt(LargestLag(WeightLoadPriority::Unsorted), 2);
  cr_expect_leq(LargestLag(WeightLoadPriority::FurthestBehind), 2);
}

// Guards against a replica that is needed at once but waits behind others that
// are only one version behind.
Test(move_order, the_furthest_behind_goes_first)
{
  std::vector<PendingWeightLoad> loads{ { 0, 1, {} },
                                        { 1, 3, {} },
                                        { 2, 2, {} } };
  SortWeightLoads(loads, WeightLoadPriority::FurthestBehind);
  cr_expect_eq(loads[0].mIndex, 1);
  cr_expect_eq(loads[1].mIndex, 2);
}
