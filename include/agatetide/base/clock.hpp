#pragma once

#include <chrono>
#include <functional>

namespace agatetide {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// @brief Monotonic time source. Passed in so that tests control time.
using Clock = std::function<TimePoint()>;

/// @brief Wall-clock milliseconds since the Unix epoch, for records that
/// other processes read.
using WallClock = std::function<int64_t()>;

/// @brief The runtime's monotonic clock. Thread-safe.
Clock SteadyClock();

/// @brief A monotonic clock that also counts the time during which the host
/// was suspended. For the staleness of data that other hosts may change
/// meanwhile.
/// Thread-safe.
Clock BootClock();

/// @brief The system's wall clock. Thread-safe.
WallClock SystemClock();

/// @brief A clock that stands still until a test advances it.
/// Not thread-safe; the Clock it hands out must not outlive it.
class ManualClock
{
public:
  /// @brief A Clock that reads this object.
  Clock AsClock();

  TimePoint Now() const { return mNow; }

  /// @brief Moves time forward. Precondition: aStep is not negative.
  void Advance(Duration aStep) { mNow += aStep; }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

} // namespace agatetide
