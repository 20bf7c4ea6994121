#pragma once

#include "agatetide/base/clock.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace agatetide::policy {

struct RetryBudgetOptions
{
  /// Tokens that each request adds: the extra attempts as a share of requests.
  double mTokensPerRequest = 0.1;
  /// Size of the token bucket, which starts full. An extra attempt costs one
  /// token.
  double mMaxTokens = 10.0;
};

/// @brief Token bucket that limits retries or hedged requests to a share of
/// the traffic, so that they do not multiply the load of a failing upstream.
/// Not thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions)
    : mOptions(aOptions)
    , mTokens(aOptions.mMaxTokens)
  {
  }

  /// @brief Records a request that is not an extra attempt.
  void OnRequest();

  /// @brief Takes a token for an extra attempt. Returns false, and takes
  /// nothing, if the budget is used up.
  bool TryTake();

private:
  RetryBudgetOptions mOptions;
  double mTokens;
};

struct HedgeOptions
{
  bool mEnabled = true;
  /// Quantile of the recent latencies that is used as the delay.
  double mQuantile = 0.95;
  /// Number of recent responses that the delay is computed from.
  size_t mWindowSize = 256;
  /// Responses needed before requests are hedged.
  size_t mMinResponses = 64;
  /// Requests are not hedged if the delay would be shorter: a hedged request
  /// then costs the daemon more than the caller gains.
  Duration mMinDelay = std::chrono::milliseconds(5);
};

/// @brief Computes the delay after which a hedged request is sent: a high
/// quantile of the recent latencies. Not thread-safe.
class HedgeDelay
{
public:
  explicit HedgeDelay(HedgeOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Records the latency of a response.
  void Observe(Duration aLatency);

  /// @brief Returns the delay; std::nullopt if requests should not be hedged.
  std::optional<Duration> Delay() const { return mDelay; }

private:
  HedgeOptions mOptions;
  /// Ring buffer of mWindowSize latencies.
  std::vector<Duration> mLatencies;
  /// Number of latencies recorded so far.
  size_t mRecordedCount = 0;
  std::optional<Duration> mDelay;
};

} // namespace agatetide::policy
