#include "agatetide/policy/load_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace agatetide::policy {

namespace {

/// The history covers the lifetime of a report.
constexpr std::chrono::seconds kHistory{ 2 };
/// Bounds the memory of the history; a host rarely starts more requests on one
/// replica within kHistory.
constexpr size_t kMaxChanges = 256;

double Decay(Duration aAge, double aTimeConstant)
{
  return std::exp(-std::max(0.0, Seconds(aAge)) / aTimeConstant);
}

} // namespace

void OwnRequests::Add(int aChange, TimePoint aNow)
{
  while (!mChanges.empty() && (mChanges.size() >= kMaxChanges ||
                               aNow - mChanges.front().first > kHistory)) {
    mChanges.pop_front();
  }
  mChanges.emplace_back(aNow, mRunning);
  mRunning = static_cast<uint32_t>(static_cast<int64_t>(mRunning) + aChange);
}

uint32_t OwnRequests::RunningAt(TimePoint aTime) const
{
  const auto next = std::upper_bound(
    mChanges.begin(),
    mChanges.end(),
    aTime,
    [](TimePoint aLeft, const auto& aRight) { return aLeft < aRight.first; });
  return next == mChanges.end() ? mRunning : next->second;
}

double OtherRequests(const LoadReport& aReport, const OwnRequests& aOwn)
{
  const double own = aOwn.RunningAt(aReport.mMeasuredAt);
  return std::max(0.0, aReport.Requests() - own);
}

EstimatedLoad EstimateLoad(const LoadReport* aReport,
                           const OwnRequests& aOwn,
                           double aMeanOthers,
                           TimePoint aNow,
                           const LoadEstimateOptions& aOptions)
{
  EstimatedLoad estimate;
  estimate.mRequests = aOwn.Running() + aMeanOthers;
  if (aReport == nullptr || aNow - aReport->mMeasuredAt >= aOptions.mLifetime) {
    return estimate;
  }
  const Duration age = aNow - aReport->mMeasuredAt;
  const double excess = OtherRequests(*aReport, aOwn) - aMeanOthers;
  estimate.mCertainty = Decay(age, aOptions.mLoadDecaySeconds);
  estimate.mRequests += excess * estimate.mCertainty;
  estimate.mPace = 1.0 + (aReport->mPace.value_or(1.0) - 1.0) *
                           Decay(age, aOptions.mPaceDecaySeconds);
  estimate.mAge = age;
  return estimate;
}

} // namespace agatetide::policy
