#include "agatetide/policy/staleness.hpp"

#include <algorithm>

namespace agatetide::policy {

namespace {

/// Weight of a new interval in the mean.
constexpr double kNewIntervalWeight = 0.3;

} // namespace

bool MayDeliver(std::span<const uint64_t> aVersions,
                uint64_t aPublishedVersion,
                std::optional<uint32_t> aStalenessBound)
{
  if (aVersions.empty()) {
    return false;
  }
  const uint64_t oldest = *std::min_element(aVersions.begin(), aVersions.end());
  // An engine that reports no version leaves 0 in the list.
  return oldest > 0 && (!aStalenessBound || aPublishedVersion <= oldest ||
                        aPublishedVersion - oldest <= *aStalenessBound);
}

void VersionRate::Observe(uint64_t aVersion, TimePoint aNow)
{
  if (aVersion <= mLatestVersion) {
    return;
  }
  if (mLatestVersion != 0) {
    const double interval = Seconds(aNow - mLatestVersionTime) /
                            static_cast<double>(aVersion - mLatestVersion);
    mIntervalSeconds = mIntervalSeconds <= 0.0
                         ? interval
                         : (1.0 - kNewIntervalWeight) * mIntervalSeconds +
                             kNewIntervalWeight * interval;
  }
  mLatestVersion = aVersion;
  mLatestVersionTime = aNow;
}

uint64_t VersionRate::ExpectedVersions(Duration aTime, TimePoint aNow) const
{
  if (mIntervalSeconds <= 0.0) {
    return 0;
  }
  // If a version is overdue, the next one is expected a whole interval from
  // now; otherwise every sample would wait for it.
  const double elapsed =
    std::min(Seconds(aNow - mLatestVersionTime), mIntervalSeconds);
  const double elapsedInInterval = elapsed < mIntervalSeconds ? elapsed : 0.0;
  return static_cast<uint64_t>((elapsedInInterval + Seconds(aTime)) /
                               mIntervalSeconds);
}

bool ShouldStartSample(const SampleStartCheck& aCheck)
{
  return aCheck.mVersion >= aCheck.mPublishedVersion ||
         aCheck.mPublishedVersion + aCheck.mExpectedVersions -
             aCheck.mVersion <=
           aCheck.mStalenessBound;
}

} // namespace agatetide::policy
