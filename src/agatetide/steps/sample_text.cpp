#include "agatetide/steps/sample_text.hpp"

namespace agatetide::steps {

namespace {

/// Memory of an event in a vector, which has room for up to twice as many.
size_t MemoryOf(const std::string& aEvent)
{
  constexpr size_t kSlots = 2;
  return kSlots * sizeof(std::string) + aEvent.size();
}

} // namespace

SampleText::SampleText(std::shared_ptr<MemoryBudget> aBudget)
  : mMemory(std::move(aBudget))
{
}

SampleText::SampleText(std::vector<std::string> aEvents,
                       std::shared_ptr<MemoryBudget> aBudget)
  : mEvents(std::move(aEvents))
  , mMemory(std::move(aBudget))
{
  size_t memory = 0;
  for (const std::string& event : mEvents) {
    mBytes += event.size() + 1;
    memory += MemoryOf(event);
  }
  if (!mMemory.Grow(memory)) {
    Clear();
  }
}

bool SampleText::Append(std::string aEvent)
{
  const size_t bytes = aEvent.size() + 1;
  if (mBytes + bytes > kMaxBytes || mEvents.size() >= kMaxEvents ||
      !mMemory.Grow(MemoryOf(aEvent))) {
    return false;
  }
  mBytes += bytes;
  mEvents.push_back(std::move(aEvent));
  return true;
}

void SampleText::Clear()
{
  mEvents = std::vector<std::string>(); // Also frees its memory.
  mBytes = 0;
  mMemory.Reset();
}

std::string SampleText::Joined() const
{
  std::string text;
  for (const std::string& event : mEvents) {
    if (&event != &mEvents.front()) {
      text += '\n';
    }
    text += event;
  }
  return text;
}

} // namespace agatetide::steps
