#include "agatetide/base/clock.hpp"

#include <ctime>

namespace agatetide {

Clock SteadyClock()
{
  return [] { return std::chrono::steady_clock::now(); };
}

Clock BootClock()
{
  return [] {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) +
                     std::chrono::nanoseconds(now.tv_nsec));
  };
}

WallClock SystemClock()
{
  return [] {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(now).count();
  };
}

Clock ManualClock::AsClock()
{
  return [this] { return mNow; };
}

} // namespace agatetide
