#include "agatetide/policy/retry_budget.hpp"

#include <algorithm>

namespace agatetide::policy {

namespace {

/// Responses between two updates of the delay.
constexpr size_t kResponsesPerUpdate = 16;

} // namespace

void RetryBudget::OnRequest()
{
  mTokens = std::min(mOptions.mMaxTokens, mTokens + mOptions.mTokensPerRequest);
}

bool RetryBudget::TryTake()
{
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

void HedgeDelay::Observe(Duration aLatency)
{
  if (!mOptions.mEnabled) {
    return;
  }
  if (mLatencies.size() < mOptions.mWindowSize) {
    mLatencies.push_back(aLatency);
  } else {
    mLatencies[mRecordedCount % mOptions.mWindowSize] = aLatency;
  }
  ++mRecordedCount;
  if (mLatencies.size() < mOptions.mMinResponses ||
      mRecordedCount % kResponsesPerUpdate != 0) {
    return;
  }
  std::vector<Duration> sorted = mLatencies;
  const auto quantileIndex = static_cast<size_t>(
    static_cast<double>(sorted.size()) * mOptions.mQuantile);
  const auto quantile =
    sorted.begin() +
    static_cast<std::ptrdiff_t>(std::min(quantileIndex, sorted.size() - 1));
  std::nth_element(sorted.begin(), quantile, sorted.end());
  if (*quantile < mOptions.mMinDelay) {
    mDelay.reset();
  } else {
    mDelay = *quantile;
  }
}

} // namespace agatetide::policy
