#pragma once

#include "agatetide/base/clock.hpp"

#include <optional>

namespace agatetide {

/// @brief Wall-clock time that does not follow temporary jumps of the system
/// clock.
///
/// The system clock may jump by seconds and jump back later. This
/// clock adds an offset to a monotonic clock. The offset follows corrections of
/// up to 300 ms at once, and a larger jump only after it has lasted for 60 s.
/// Not thread-safe.
class SteadyWallClock
{
public:
  SteadyWallClock(Clock aMonotonic, WallClock aSystem);

  /// @brief Milliseconds since the Unix epoch.
  int64_t Now();

private:
  Clock mMonotonic;
  WallClock mSystem;
  /// Wall-clock time minus monotonic time, in milliseconds.
  int64_t mOffset = 0;
  /// When the current jump was first seen; empty without a jump.
  std::optional<TimePoint> mJumpSeenAt;
};

} // namespace agatetide
