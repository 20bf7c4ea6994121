#include "agatetide/policy/weight_load_order.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>

using namespace agatetide;
using namespace agatetide::policy;

namespace {

/// Two models with three replicas each, and two loads in each round. The
/// first model's trainer names a version every round, the second one's every
/// third round. Returns the largest lag of the second model at the end.
int64_t LargestLag(WeightLoadOrder aPolicy)
{
  constexpr int kRounds = 12;
  constexpr size_t kAtOnce = 2;
  constexpr size_t kPerModel = 3;
  std::array<int64_t, 2 * kPerModel> lags{};
  std::array<TimePoint, 2> moved{};
  for (int round = 1; round <= kRounds; ++round) {
    std::vector<PendingWeightLoad> moves;
    for (size_t i = 0; i < lags.size(); ++i) {
      lags[i] += i < kPerModel || round % 3 == 1 ? 1 : 0;
      if (lags[i] > 0) {
        moves.push_back({ i, lags[i], moved[i / kPerModel] });
      }
    }
    SortWeightLoads(moves, aPolicy);
    for (size_t i = 0; i < std::min(kAtOnce, moves.size()); ++i) {
      const size_t index = moves[i].mIndex;
      lags[index] = 0;
      moved[index / kPerModel] = TimePoint(std::chrono::seconds(round));
    }
  }
  return *std::max_element(lags.begin() + kPerModel, lags.end());
}

} // namespace

// Guards against a model that is never moved while the other one's trainer
// keeps naming versions: after a change of leader its step waited 6.6 s for a
// replica with its version.
Test(move_order, no_model_falls_behind_for_good)
{
  cr_expect_gt(LargestLag(WeightLoadOrder::Unsorted), 2);
  cr_expect_leq(LargestLag(WeightLoadOrder::FurthestBehind), 2);
}

// Guards against a replica that a step needs at once and that waits behind
// others which are one version behind.
Test(move_order, the_furthest_behind_goes_first)
{
  std::vector<PendingWeightLoad> moves{ { 0, 1, {} },
                                        { 1, 3, {} },
                                        { 2, 2, {} } };
  SortWeightLoads(moves, WeightLoadOrder::FurthestBehind);
  cr_expect_eq(moves[0].mIndex, 1);
  cr_expect_eq(moves[1].mIndex, 2);
}
