#include "agatetide/base/event_log.hpp"

#include <criterion/criterion.h>

using namespace agatetide;

// Guards against log injection: a value that adds fields or lines.
Test(event_log, values_cannot_forge_fields_or_lines)
{
  LogEvent event("call");
  event.Field("name", std::string("a\nlevel=error b=\"c\""));
  cr_assert(event.Text() == "event=call name=\"a\\nlevel=error b=\\\"c\\\"\"");
}

// Guards against repeated errors that flood the log, and against a wrong count
// of suppressed lines.
Test(event_log, limiter_counts_suppressed_lines)
{
  LogLimiter limiter(std::chrono::seconds(1));
  const std::chrono::steady_clock::time_point start{ std::chrono::hours(1) };
  cr_assert(limiter.Allow(start));
  cr_assert(!limiter.Allow(start + std::chrono::milliseconds(500)));
  cr_assert(limiter.Allow(start + std::chrono::milliseconds(1000)));
  cr_assert(limiter.ResetSuppressedCount() == 1);
  cr_assert(limiter.ResetSuppressedCount() == 0);
}
