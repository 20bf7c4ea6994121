#include "agatetide/base/steady_wall_clock.hpp"

#include <cstdlib>

namespace agatetide {

namespace {

/// Larger differences are jumps.
constexpr int64_t kLargestCorrectionMs = 300;
constexpr std::chrono::seconds kJumpAdoptionDelay{ 60 };

int64_t MillisecondsOf(TimePoint aTime)
{
  return std::chrono::duration_cast<Milliseconds>(aTime.time_since_epoch())
    .count();
}

} // namespace

SteadyWallClock::SteadyWallClock(Clock aMonotonic, WallClock aSystem)
  : mMonotonic(std::move(aMonotonic))
  , mSystem(std::move(aSystem))
  , mOffset(mSystem() - MillisecondsOf(mMonotonic()))
{
}

int64_t SteadyWallClock::Now()
{
  const TimePoint now = mMonotonic();
  const int64_t offset = mSystem() - MillisecondsOf(now);
  const bool jump = std::llabs(offset - mOffset) > kLargestCorrectionMs;
  if (jump && !mJumpSeen) {
    mJumpSeen = now;
  }
  if (!jump || now - *mJumpSeen > kJumpAdoptionDelay) {
    mOffset = offset;
    mJumpSeen.reset();
  }
  return MillisecondsOf(now) + mOffset;
}

} // namespace agatetide
