#include "agatetide/policy/event_length.hpp"

#include <algorithm>

namespace agatetide::policy {

namespace {

/// Weight of earlier texts at each new one: about the last 100 texts count,
/// since single estimates are often far off.
constexpr double kMemory = 0.99;

} // namespace

void EventLength::Observe(double aExpectedTokens, size_t aEvents)
{
  if (aExpectedTokens <= 0.0 || aEvents == 0) {
    return;
  }
  mTokens = mTokens * kMemory + aExpectedTokens;
  mEvents = mEvents * kMemory + static_cast<double>(aEvents);
}

double EventLength::TokensPerEvent() const
{
  return mEvents > 0.0 ? std::max(1.0, mTokens / mEvents) : 1.0;
}

} // namespace agatetide::policy
