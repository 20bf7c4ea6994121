#pragma once

#include <cstddef>

namespace agatetide::policy {

/// @brief How many tokens an event of a stream holds, learned from complete
/// texts. Engines send several tokens in one event, while the expected length
/// of an item is stated in tokens. Not thread-safe.
class EventLength
{
public:
  /// @brief Records a complete text and its expected length.
  void Observe(double aExpectedTokens, size_t aEvents);

  /// @brief Tokens per event; 1 before the first complete text.
  double TokensPerEvent() const;

  /// @brief Expected events of a text with this expected length in tokens.
  double ExpectedEvents(double aExpectedTokens) const
  {
    return aExpectedTokens / TokensPerEvent();
  }

private:
  /// Sums with exponentially falling weights.
  double mTokens = 0.0;
  double mEvents = 0.0;
};

} // namespace agatetide::policy
