#pragma once

#include "agatetide/base/memory_budget.hpp"
#include "agatetide/steps/step.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace agatetide::steps {

/// @brief The text of a sample, collected event by event; each event is one
/// line. Its size is limited, so that a trainer can read the sample and a
/// replica that sends events without end cannot exhaust memory. Not
/// thread-safe.
class SampleText
{
public:
  /// A text fits into an entry of the log with what is stored beside it, and
  /// into a response to a trainer.
  static constexpr size_t kMaxBytes = kMaxEntryBytes - (size_t{ 16 } << 10U);
  /// Each event takes memory besides its text.
  static constexpr size_t kMaxEvents = size_t{ 1 } << 17U;

  SampleText() = default;

  /// @brief An empty text that takes its memory from aBudget, which may be
  /// null.
  explicit SampleText(std::shared_ptr<MemoryBudget> aBudget);

  /// @brief Restores the text from stored events. The text is empty if they do
  /// not fit into the budget.
  SampleText(std::vector<std::string> aEvents,
             std::shared_ptr<MemoryBudget> aBudget);

  /// @brief Adds an event. Returns false, and leaves the text unchanged, if it
  /// would exceed kMaxBytes, kMaxEvents or the budget.
  bool Append(std::string aEvent);

  void Clear();

  const std::vector<std::string>& Events() const { return mEvents; }

  /// @brief Size of the text, including a line feed after each event.
  size_t Bytes() const { return mBytes; }

  /// @brief The events joined by line feeds.
  std::string Joined() const;

private:
  std::vector<std::string> mEvents;
  size_t mBytes = 0;
  MemoryReservation mMemory;
};

} // namespace agatetide::steps
