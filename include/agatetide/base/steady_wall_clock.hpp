#pragma once

#include "agatetide/base/clock.hpp"

#include <optional>

namespace agatetide {

/// @brief Wall-clock time that ignores steps of the system's clock.
///
/// The system's clock may be stepped by seconds and stepped back later. The
/// offset to a monotonic clock is taken at the start and follows only small
/// corrections; a step is followed when it has lasted long. Not thread-safe.
class SteadyWallClock
{
public:
  SteadyWallClock(Clock aMonotonic, WallClock aSystem);

  /// @brief Unix milliseconds.
  int64_t Now();

private:
  Clock mMonotonic;
  WallClock mSystem;
  int64_t mOffset = 0;
  std::optional<TimePoint> mJumpSeen;
};

} // namespace agatetide
