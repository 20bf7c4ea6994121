#include "agatetide/base/steady_wall_clock.hpp"

#include <cstdlib>

namespace agatetide {

namespace {

/// Larger differences count as jumps.
constexpr int64_t kMaxCorrectionMs = 300;
/// A jump that lasts longer is followed.
constexpr std::chrono::seconds kMaxIgnoredJumpTime{ 60 };

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
  const bool jump = std::llabs(offset - mOffset) > kMaxCorrectionMs;
  if (jump && !mJumpSeenAt) {
    mJumpSeenAt = now;
  }
  if (!jump || now - *mJumpSeenAt > kMaxIgnoredJumpTime) {
    mOffset = offset;
    mJumpSeenAt.reset();
  }
  return MillisecondsOf(now) + mOffset;
}

} // namespace agatetide
