#pragma once

#include "agatetide/base/clock.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace agatetide::policy {

struct RetryBudgetOptions
{
  /// Extra attempts as a share of requests.
  double mTokensPerRequest = 0.1;
  /// Attempts that may be saved up; also the budget at the start.
  double mMaxTokens = 10.0;
};

/// @brief Bounds retries or hedges to a share of the traffic, so that an
/// upstream in trouble does not get a multiple of it. Not thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions)
    : mOptions(aOptions)
    , mTokens(aOptions.mMaxTokens)
  {
  }

  /// @brief One request that is not an extra attempt.
  void OnRequest();

  /// @brief Whether an extra attempt may be made; it then counts.
  bool TryTake();

private:
  RetryBudgetOptions mOptions;
  double mTokens;
};

struct HedgeOptions
{
  bool mEnabled = true;
  double mQuantile = 0.95;
  /// Latest answers that the delay is taken from.
  size_t mWindowSize = 256;
  size_t mMinResponses = 64;
  /// Earlier copies cost the daemon more than the caller gains.
  Duration mMinDelay = std::chrono::milliseconds(5);
};

/// @brief When to send a second copy of a request: after the time in which
/// most of the latest answers came. Not thread-safe.
class HedgeDelay
{
public:
  explicit HedgeDelay(HedgeOptions aOptions)
    : mOptions(aOptions)
  {
  }

  void Observe(Duration aLatency);

  /// @brief Nothing while there are too few answers, or hedging is off.
  std::optional<Duration> Delay() const { return mDelay; }

private:
  HedgeOptions mOptions;
  std::vector<Duration> mLatencies;
  size_t mNext = 0;
  std::optional<Duration> mDelay;
};

} // namespace agatetide::policy
