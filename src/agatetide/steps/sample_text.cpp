#include "agatetide/steps/sample_text.hpp"

namespace agatetide::steps {

SampleText::SampleText(std::vector<std::string> aEvents)
  : mEvents(std::move(aEvents))
{
  for (const std::string& event : mEvents) {
    mBytes += event.size() + 1;
  }
}

bool SampleText::Append(std::string aEvent)
{
  const size_t bytes = aEvent.size() + 1;
  if (mBytes + bytes > kMaxBytes) {
    return false;
  }
  mBytes += bytes;
  mEvents.push_back(std::move(aEvent));
  return true;
}

void SampleText::Clear()
{
  mEvents.clear();
  mBytes = 0;
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
