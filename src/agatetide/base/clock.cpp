#include "agatetide/base/clock.hpp"

namespace agatetide {

Clock SteadyClock()
{
  return [] { return std::chrono::steady_clock::now(); };
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
