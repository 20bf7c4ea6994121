#pragma once

#include "agatetide/policy/fair_queue.hpp"

#include <cstddef>

namespace agatetide::policy {

struct HeadroomOptions
{
  bool mEnabled = true;
  /// Share of all slots that trainer and background requests may take
  /// together.
  double mTrainerShare = 0.9;
  /// Share of all slots that background requests may take.
  double mBackgroundShare = 0.7;
  /// Share of all slots that one client account may take.
  double mAccountShare = 0.9;
};

/// @brief Slots in use at the time of a request.
struct SlotUsage
{
  /// Number of slots.
  size_t mLimit = 1;
  /// Running requests of all classes.
  size_t mRunning = 0;
  /// Running requests of the trainer and background classes.
  size_t mRunningNonUrgent = 0;
  /// Running requests of the background class.
  size_t mRunningBackground = 0;
  /// Running requests of the request's client account.
  size_t mRunningOfAccount = 0;
};

/// @brief Returns whether a request may take a slot now. Reserves some slots
/// from trainer and background requests and from any single client account, so
/// that an urgent request of another account need not wait. Each share allows
/// at least one request.
bool MayTakeSlot(RequestClass aClass,
                 const SlotUsage& aUsage,
                 const HeadroomOptions& aOptions);

} // namespace agatetide::policy
