#include "agatetide/steps/sample_text.hpp"

#include <criterion/criterion.h>

#include <chrono>

using namespace agatetide::steps;

namespace {

/// Events of a size until the text takes no more.
size_t Fill(SampleText& aText, size_t aBytes)
{
  while (aText.Append(std::string(aBytes, 'x'))) {
  }
  return aText.Events().size();
}

} // namespace

// Guards against a stream of small events without end, whose limit took time
// that grew with the square of their number.
Test(sample_text, a_text_of_small_events_ends_in_little_time)
{
  const auto start = std::chrono::steady_clock::now();
  SampleText text;
  cr_expect_eq(Fill(text, 1), SampleText::kMaxBytes / 2);
  cr_expect(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
}

// Guards against events without data, which never reached the limit.
Test(sample_text, events_without_data_count)
{
  SampleText text;
  cr_expect_eq(Fill(text, 0), SampleText::kMaxBytes);
}

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

// Guards against a stored part of a sample that does not count.
Test(sample_text, a_stored_part_counts)
{
  SampleText text({ std::string(SampleText::kMaxBytes - 10, 'x') });
  cr_expect(!text.Append("longer than ten bytes"));
}
