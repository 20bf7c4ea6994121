#include "agatetide/policy/replica_speeds.hpp"

#include <algorithm>
#include <vector>

namespace agatetide::policy {

namespace {

/// The speed of a replica is forgotten after this time without events.
constexpr std::chrono::seconds kLifetime{ 4 };
/// Weight of the newest stream.
constexpr double kNewestWeight = 0.3;

} // namespace

ReplicaSpeeds::ReplicaSpeeds(Clock aClock)
  : mClock(std::move(aClock))
{
}

bool ReplicaSpeeds::IsFresh(const Speed& aSpeed) const
{
  return mClock() - aSpeed.mUpdated < kLifetime;
}

void ReplicaSpeeds::Observe(const std::string& aReplicaId,
                            double aSecondsPerEvent)
{
  Speed& speed = mSpeeds[aReplicaId];
  speed.mSecondsPerEvent = IsFresh(speed)
                             ? speed.mSecondsPerEvent * (1.0 - kNewestWeight) +
                                 aSecondsPerEvent * kNewestWeight
                             : aSecondsPerEvent;
  speed.mUpdated = mClock();
  std::erase_if(mSpeeds,
                [&](const auto& aItem) { return !IsFresh(aItem.second); });
  std::vector<double> all;
  all.reserve(mSpeeds.size());
  for (const auto& [id, known] : mSpeeds) {
    all.push_back(known.mSecondsPerEvent);
  }
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
  std::nth_element(all.begin(), middle, all.end());
  mTypical = *middle;
}

double ReplicaSpeeds::Slowness(std::string_view aReplicaId) const
{
  const auto found = mSpeeds.find(aReplicaId);
  if (found == mSpeeds.end() || mTypical <= 0.0 || !IsFresh(found->second)) {
    return 1.0;
  }
  return found->second.mSecondsPerEvent / mTypical;
}

} // namespace agatetide::policy
