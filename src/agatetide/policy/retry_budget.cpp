#include "agatetide/policy/retry_budget.hpp"

#include <algorithm>

namespace agatetide::policy {

namespace {

/// Answers between two calculations of the delay.
constexpr size_t kRecalculation = 16;

} // namespace

void RetryBudget::OnRequest()
{
  mTokens = std::min(mOptions.mSaved, mTokens + mOptions.mShare);
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
  if (mLatencies.size() < mOptions.mWindow) {
    mLatencies.push_back(aLatency);
  } else {
    mLatencies[mNext % mOptions.mWindow] = aLatency;
  }
  ++mNext;
  if (mLatencies.size() < mOptions.mMinAnswers || mNext % kRecalculation != 0) {
    return;
  }
  std::vector<Duration> sorted = mLatencies;
  const auto rank = static_cast<size_t>(static_cast<double>(sorted.size()) *
                                        mOptions.mPercentile);
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
