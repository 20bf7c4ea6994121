#include "agatetide/policy/staleness.hpp"

#include <algorithm>

namespace agatetide::policy {

namespace {

/// Weight of the newest interval in the mean.
constexpr double kIntervalShare = 0.3;

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

bool MayDeliver(std::span<const uint64_t> aVersions,
                uint64_t aPublished,
                std::optional<uint32_t> aBound)
{
  if (aVersions.empty()) {
    return false;
  }
  const uint64_t oldest = *std::min_element(aVersions.begin(), aVersions.end());
  // An engine that reports no version leaves 0 in the list.
  return oldest > 0 &&
         (!aBound || aPublished <= oldest || aPublished - oldest <= *aBound);
}

void VersionRate::Observe(uint64_t aVersion, TimePoint aNow)
{
  if (aVersion <= mVersion) {
    return;
  }
  if (mVersion != 0) {
    const double interval =
      Seconds(aNow - mSince) / static_cast<double>(aVersion - mVersion);
    mIntervalSeconds =
      mIntervalSeconds <= 0.0
        ? interval
        : (1.0 - kIntervalShare) * mIntervalSeconds + kIntervalShare * interval;
  }
  mVersion = aVersion;
  mSince = aNow;
}

uint64_t VersionRate::ExpectedWithin(Duration aTime, TimePoint aNow) const
{
  if (mIntervalSeconds <= 0.0) {
    return 0;
  }
  // When a version is overdue, the next one is expected an interval from
  // now; otherwise every sample would wait for it.
  const double elapsed = std::min(Seconds(aNow - mSince), mIntervalSeconds);
  const double phase = elapsed < mIntervalSeconds ? elapsed : 0.0;
  return static_cast<uint64_t>((phase + Seconds(aTime)) / mIntervalSeconds);
}

bool ShouldStartSample(const SampleStartCheck& aCheck)
{
  return aCheck.mVersion >= aCheck.mPublishedVersion ||
         aCheck.mPublishedVersion + aCheck.mExpectedVersions -
             aCheck.mVersion <=
           aCheck.mStalenessBound;
}

} // namespace agatetide::policy
