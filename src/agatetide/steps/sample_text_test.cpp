#include "agatetide/steps/sample_text.hpp"

#include <criterion/criterion.h>

#include <chrono>

using namespace agatetide::steps;

namespace {

/// Appends events of the given size until the text is full. Returns the number
/// of events.
size_t Fill(SampleText& aText, size_t aEventBytes)
{
  while (aText.Append(std::string(aEventBytes, 'x'))) {
  }
  return aText.Events().size();
}

} // namespace

// Guards against a size check that sums up all events for each new one: an
// endless stream of small events would then take quadratic time.
Test(sample_text, a_text_of_small_events_ends_in_little_time)
{
  const auto start = std::chrono::steady_clock::now();
  SampleText text;
  cr_expect_eq(Fill(text, 1), SampleText::kMaxBytes / 2);
  cr_expect(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
}

// Guards against an endless stream of events without data that never reaches
// the limit.
Test(sample_text, events_without_data_count)
{
  SampleText text;
  cr_expect_eq(Fill(text, 0), SampleText::kMaxBytes);
}

// Guards against a cleared text that still counts the size of its old events.
Test(sample_text, starts_anew_after_it_was_cleared)
{
  SampleText text;
  Fill(text, SampleText::kMaxBytes / 3);
  text.Clear();
  cr_expect(text.Events().empty());
  cr_expect(text.Append("first"));
  cr_expect(text.Append("second"));
  cr_expect(text.Joined() == "first\nsecond");
}

// Guards against restored events that do not count toward the limit.
Test(sample_text, a_stored_part_counts)
{
  SampleText text({ std::string(SampleText::kMaxBytes - 10, 'x') });
  cr_expect(!text.Append("longer than ten bytes"));
}
