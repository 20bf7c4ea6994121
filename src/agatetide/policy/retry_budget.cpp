#include "agatetide/policy/retry_budget.hpp"

#include <algorithm>

namespace agatetide::policy {

namespace {

/// Answers between two calculations of the delay.
constexpr size_t kRecalculation = 16;

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
    mLatencies[mNext % mOptions.mWindowSize] = aLatency;
  }
  ++mNext;
  if (mLatencies.size() < mOptions.mMinResponses ||
      mNext % kRecalculation != 0) {
    return;
  }
  std::vector<Duration> sorted = mLatencies;
  const auto rank = static_cast<size_t>(static_cast<double>(sorted.size()) *
                                        mOptions.mQuantile);
  const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(rank, sorted.size() - 1));
  std::nth_element(sorted.begin(), place, sorted.end());
  if (*place < mOptions.mMinDelay) {
    mDelay.reset();
  } else {
    mDelay = *place;
  }
}

} // namespace agatetide::policy
