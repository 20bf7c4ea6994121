#pragma once

#include "agatetide/policy/fair_queue.hpp"

#include <cstddef>

namespace agatetide::policy {

struct HeadroomOptions
{
  bool mEnabled = true;
  /// Shares of all slots that requests of a class, together with the classes
  /// below it, may take.
  double mTrainerShare = 0.9;
  double mBackgroundShare = 0.7;
  /// Share of all slots that one client account may take.
  double mAccountShare = 0.9;
};

/// @brief Slots in use when a request asks for one.
struct SlotUsage
{
  size_t mLimit = 1;
  /// Running requests of all classes.
  size_t mRunning = 0;
  /// Running requests of the trainer and background classes.
  size_t mRunningDeferrable = 0;
  size_t mRunningBackground = 0;
  /// Running requests of the request's client account.
  size_t mRunningOfAccount = 0;
};

/// @brief Whether a request may take a slot now. Keeps some slots free of
/// trainer and background work and of any single client account, so that an
/// urgent request of another account finds one without waiting. Each share
/// allows at least one request.
bool MayTakeSlot(RequestClass aClass,
                 const SlotUsage& aUse,
                 const HeadroomOptions& aOptions);

} // namespace agatetide::policy
