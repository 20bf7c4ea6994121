#include "agatetide/base/event_log.hpp"

#include "agatetide/base/test_log_value.hpp"

#include <criterion/criterion.h>

#include <string>
#include <string_view>

using namespace agatetide;

// Guards against log injection: a value that adds fields or lines.
Test(event_log, values_cannot_forge_fields_or_lines)
{
  LogEvent event("call");
  event.Field("name", std::string("a\nlevel=error b=\"c\""));
  cr_assert(event.Text() == "event=call name=\"a\\nlevel=error b=\\\"c\\\"\"");
}

namespace {

std::string LoggedValue(std::string_view aValue)
{
  LogEvent event("e");
  event.Field("v", aValue);
  return std::string(
    event.Text().substr(std::string_view("event=e v=").size()));
}

} // namespace

// Guards against two keys that look alike in the log.
Test(event_log, every_value_can_be_read_back)
{
  for (int first = 0; first < 256; ++first) {
    const std::string one(1, static_cast<char>(first));
    cr_assert_eq(ReadLogValue(LoggedValue(one)), one, "byte %d", first);
    for (int second = 0; second < 256; ++second) {
      const std::string two = one + static_cast<char>(second);
      const std::string logged = LoggedValue(two);
      cr_assert_eq(ReadLogValue(logged),
                   two,
                   "bytes %d %d: %s",
                   first,
                   second,
                   logged.c_str());
    }
  }
}

// Guards against values that a reader takes for several lines, or that it can't
// decode.
Test(event_log, lines_are_printable_text)
{
  cr_expect_eq(LoggedValue("a\tb\x7f"), R"("a\x09b\x7f")");
  cr_expect_eq(LoggedValue("\xc2\x85"), R"("\xc2\x85")");
  cr_expect_eq(LoggedValue("\xe2\x80\xa8"), R"("\xe2\x80\xa8")");
  cr_expect_eq(LoggedValue("k\xff"), R"("k\xff")");
  cr_expect_eq(LoggedValue("\xc3"), R"("\xc3")");
  cr_expect_eq(LoggedValue("a04\xc3\xa9"), "\"a04\xc3\xa9\"");
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
