#pragma once

#include "agatetide/base/clock.hpp"

#include <cstdint>
#include <vector>

namespace agatetide::policy {

enum class WeightLoadOrder
{
  /// In the order in which the moves were found.
  Unsorted,
  /// Replicas that are furthest behind first.
  FurthestBehind,
};

/// @brief A replica that should load the newest version of a model.
struct PendingWeightLoad
{
  /// Names the move for the caller.
  size_t mIndex = 0;
  /// Versions that the replica is behind.
  int64_t mVersionLag = 0;
  /// When a replica was last ordered to load this model.
  TimePoint mModelLastOrdered{};
};

/// @brief Orders moves for the few replicas that may load at once. A step
/// allows samples that are one version old, so a replica that is two versions
/// behind is of no use to the next step; among equals the model goes first
/// that has waited longest.
void SortWeightLoads(std::vector<PendingWeightLoad>& aMoves,
                     WeightLoadOrder aPolicy);

} // namespace agatetide::policy
