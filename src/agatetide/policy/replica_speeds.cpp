#include "agatetide/policy/replica_speeds.hpp"

#include <algorithm>
#include <vector>

namespace agatetide::policy {

namespace {

/// Time without new streams after which a replica's speed is dropped.
constexpr std::chrono::seconds kSpeedLifetime{ 4 };
/// Weight of a new stream in the mean time per event.
constexpr double kNewStreamWeight = 0.3;

} // namespace

ReplicaSpeeds::ReplicaSpeeds(Clock aClock)
  : mClock(std::move(aClock))
{
}

bool ReplicaSpeeds::IsRecent(const Speed& aSpeed) const
{
  return mClock() - aSpeed.mUpdatedAt < kSpeedLifetime;
}

void ReplicaSpeeds::Observe(const std::string& aReplicaId,
                            double aSecondsPerEvent)
{
  Speed& speed = mSpeeds[aReplicaId];
  speed.mSecondsPerEvent =
    IsRecent(speed) ? speed.mSecondsPerEvent * (1.0 - kNewStreamWeight) +
                        aSecondsPerEvent * kNewStreamWeight
                    : aSecondsPerEvent;
  speed.mUpdatedAt = mClock();
  std::erase_if(mSpeeds,
                [&](const auto& aItem) { return !IsRecent(aItem.second); });
  std::vector<double> all;
  all.reserve(mSpeeds.size());
  for (const auto& [id, known] : mSpeeds) {
    all.push_back(known.mSecondsPerEvent);
  }
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
  std::nth_element(all.begin(), middle, all.end());
  mMedianSecondsPerEvent = *middle;
}

double ReplicaSpeeds::Slowness(std::string_view aReplicaId) const
{
  const auto found = mSpeeds.find(aReplicaId);
  if (found == mSpeeds.end() || mMedianSecondsPerEvent <= 0.0 ||
      !IsRecent(found->second)) {
    return 1.0;
  }
  return found->second.mSecondsPerEvent / mMedianSecondsPerEvent;
}

} // namespace agatetide::policy
