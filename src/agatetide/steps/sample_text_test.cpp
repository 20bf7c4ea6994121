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
  cr_expect_eq(Fill(text, 1), SampleText::kMaxEvents);
  cr_expect(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
}

// Guards against an endless stream of events without data that never reaches
// the limit, or takes many times as much memory as the text may have.
Test(sample_text, events_without_data_count)
{
  SampleText text;
  cr_expect_eq(Fill(text, 0), SampleText::kMaxEvents);
  const size_t memory = text.Events().capacity() * sizeof(std::string);
  cr_expect_leq(memory, 8 * SampleText::kMaxBytes, "%zu bytes", memory);
}

// Guards against a text of long events that ends before or after the limit.
Test(sample_text, long_events_reach_the_limit_of_bytes)
{
  SampleText text;
  cr_expect_eq(Fill(text, 99), SampleText::kMaxBytes / 100);
}

// Guards against a cleared text that still counts the size of its old events.
Test(sample_text, starts_anew_after_it_was_cleared)
{
  SampleText text;
  Fill(text, SampleText::kMaxBytes / 3);
  text.Clear();
  cr_expect(text.Events().empty());
  cr_expect_eq(text.Events().capacity(), 0, "the memory is returned");
  cr_expect(text.Append("first"));
  cr_expect(text.Append("second"));
  cr_expect(text.Joined() == "first\nsecond");
}

// Guards against restored events that do not count toward the limit.
Test(sample_text, a_stored_part_counts)
{
  SampleText text({ std::string(SampleText::kMaxBytes - 10, 'x') }, nullptr);
  cr_expect(!text.Append("longer than ten bytes"));
}

// Guards against many texts that are each within the limit, but exhaust the
// memory together, and against memory that a dropped text keeps.
Test(sample_text, texts_share_a_budget)
{
  constexpr size_t kBudgetBytes = size_t{ 100 } << 10U;
  const auto budget = std::make_shared<agatetide::MemoryBudget>(kBudgetBytes);
  SampleText first(budget);
  SampleText second(budget);
  const size_t count = Fill(first, 0);
  cr_expect(count > 100 && count < kBudgetBytes / sizeof(std::string));
  cr_expect(!second.Append("event"));
  const SampleText restored({ "event" }, budget);
  cr_expect(restored.Events().empty());
  first.Clear();
  cr_expect(second.Append("event"));
  second = {};
  cr_expect_eq(budget->Used(), 0);
}
