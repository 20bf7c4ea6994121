#pragma once

#include <chrono>
#include <functional>

namespace agatetide {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// @brief Returns a duration as a number of seconds. Thread-safe.
constexpr double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// @brief Source of monotonic time. Injected, so that tests control time.
using Clock = std::function<TimePoint()>;

/// @brief Source of wall-clock time in milliseconds since the Unix epoch, for
/// records that other processes read.
using WallClock = std::function<int64_t()>;

/// @brief Returns std::chrono::steady_clock. Thread-safe.
Clock SteadyClock();

/// @brief Returns a monotonic clock that also counts the time during which the
/// host is suspended (CLOCK_BOOTTIME). For the age of data that other hosts may
/// change during a suspension. Thread-safe.
Clock BootClock();

/// @brief Returns the system's wall clock. Thread-safe.
WallClock SystemClock();

/// @brief Clock for tests that changes only when Advance() is called.
/// Not thread-safe; must outlive the Clock that AsClock() returns.
class ManualClock
{
public:
  /// @brief Returns a Clock that reads this object.
  Clock AsClock();

  TimePoint Now() const { return mNow; }

  /// @brief Advances the time. Precondition: aStep is not negative.
  void Advance(Duration aStep) { mNow += aStep; }

private:
  TimePoint mNow{ std::chrono::hours(1) };
};

} // namespace agatetide
