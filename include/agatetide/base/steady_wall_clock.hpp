#pragma once

#include "agatetide/base/clock.hpp"

#include <optional>

namespace agatetide {

/// @brief Wall-clock time that ignores jumps of the system's clock.
///
/// The system's clock may jump by seconds and jump back later. The offset to a
/// monotonic clock is taken at the start and follows only small corrections; a
/// jump is adopted after 60 s. Not thread-safe.
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
