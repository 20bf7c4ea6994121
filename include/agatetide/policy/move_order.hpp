#pragma once

#include "agatetide/base/clock.hpp"

#include <cstdint>
#include <vector>

namespace agatetide::policy {

enum class MoveOrderPolicy
{
  /// In the order in which the moves were found.
  AsFound,
  /// Replicas that are furthest behind first.
  FurthestBehind,
};

/// @brief A replica that should load the newest version of a model.
struct PendingMove
{
  /// Names the move for the caller.
  size_t mIndex = 0;
  /// Versions that the replica is behind.
  int64_t mLag = 0;
  /// When a replica was last ordered to load this model.
  TimePoint mModelMoved{};
};

/// @brief Orders moves for the few replicas that may load at once. A step
/// allows samples that are one version old, so a replica that is two versions
/// behind is of no use to the next step; among equals the model goes first
/// that has waited longest.
void OrderMoves(std::vector<PendingMove>& aMoves, MoveOrderPolicy aPolicy);

} // namespace agatetide::policy
