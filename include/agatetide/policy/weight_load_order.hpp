#pragma once

#include "agatetide/base/clock.hpp"

#include <cstdint>
#include <vector>

namespace agatetide::policy {

enum class WeightLoadPriority
{
  /// Keeps the caller's order.
  Unsorted,
  /// Replicas that are the most versions behind first.
  FurthestBehind,
};

/// @brief A replica that should load the newest weight version of a model.
struct PendingWeightLoad
{
  /// Identifies the load for the caller; not used for sorting.
  size_t mIndex = 0;
  /// Number of versions that the replica is behind.
  int64_t mVersionLag = 0;
  /// Time of the last order to any replica to load this model.
  TimePoint mModelLastOrdered{};
};

/// @brief Sorts weight loads, of which only a few may run at once, by
/// priority. A step accepts samples that are one version old, so a replica
/// that is two versions behind cannot serve the next step. Among replicas with
/// the same lag, the model whose last order is the oldest comes first.
void SortWeightLoads(std::vector<PendingWeightLoad>& aLoads,
                     WeightLoadPriority aPriority);

} // namespace agatetide::policy
