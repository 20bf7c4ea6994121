#include "agatetide/policy/outlier_ejection.hpp"

#include <algorithm>
#include <vector>

namespace agatetide::policy {

namespace {

/// Weight of a new response in the mean latency.
constexpr double kLatencyWeight = 0.1;

/// Responses of a replica between two comparisons with its group.
constexpr unsigned kResponsesPerCheck = 8;

} // namespace

void OutlierEjection::Observe(std::string_view aGroup,
                              std::string_view aReplica,
                              bool aFailed,
                              Duration aLatency,
                              TimePoint aNow)
{
  if (!mOptions.mEnabled) {
    return;
  }
  Group& group = mGroups[std::string(aGroup)];
  Replica& replica = group[std::string(aReplica)];
  if (aNow < replica.mEjectedUntil) {
    return; // The request was sent before the ejection.
  }
  if (aFailed) {
    if (++replica.mConsecutiveFailures >= mOptions.mConsecutiveFailures) {
      Eject(group, replica, aNow);
    }
    return;
  }
  replica.mConsecutiveFailures = 0;
  const auto latency = static_cast<double>(aLatency.count());
  replica.mMeanLatency =
    replica.mResponses++ == 0
      ? latency
      : replica.mMeanLatency +
          (latency - replica.mMeanLatency) * kLatencyWeight;
  if (replica.mResponses < mOptions.mMinResponses ||
      replica.mResponses % kResponsesPerCheck != 0) {
    return;
  }
  if (IsSlow(group, replica)) {
    Eject(group, replica, aNow);
  } else if (aNow > replica.mEjectedUntil + mOptions.mMaxEjectionTime) {
    replica.mEjections = 0;
  }
}

bool OutlierEjection::IsSlow(const Group& aGroup, const Replica& aReplica) const
{
  std::vector<double> others;
  for (const auto& [address, replica] : aGroup) {
    if (&replica != &aReplica && replica.mResponses >= mOptions.mMinResponses) {
      others.push_back(replica.mMeanLatency);
    }
  }
  if (others.empty()) {
    return false;
  }
  const auto middle =
    others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
  std::nth_element(others.begin(), middle, others.end());
  return aReplica.mMeanLatency > mOptions.mMaxLatencyRatio * *middle;
}

void OutlierEjection::Eject(Group& aGroup, Replica& aReplica, TimePoint aNow)
{
  const auto ejected =
    std::count_if(aGroup.begin(), aGroup.end(), [&](const auto& aItem) {
      return aNow < aItem.second.mEjectedUntil;
    });
  // A fault that all replicas share must not leave the upstream without
  // replicas.
  const double allowed =
    mOptions.mMaxEjectedShare * static_cast<double>(aGroup.size());
  if (static_cast<double>(ejected + 1) > allowed) {
    return;
  }
  const unsigned doublings = std::min(aReplica.mEjections, 16U);
  const Duration time = std::min(
    mOptions.mMaxEjectionTime, mOptions.mBaseEjectionTime * (1U << doublings));
  aReplica = { 0, 0, aReplica.mEjections + 1, 0.0, aNow + time };
  mHasEverEjected = true;
}

double OutlierEjection::TrafficShare(std::string_view aGroup,
                                     std::string_view aReplica,
                                     TimePoint aNow) const
{
  const auto group = mGroups.find(aGroup);
  if (group == mGroups.end()) {
    return 1.0;
  }
  const auto replica = group->second.find(aReplica);
  if (replica == group->second.end() || replica->second.mEjections == 0) {
    return 1.0;
  }
  const Duration sinceReturn = aNow - replica->second.mEjectedUntil;
  if (sinceReturn < Duration::zero()) {
    return 0.0;
  }
  // A returning replica needs some requests to be observed, so its share starts
  // above 0.
  constexpr double kInitialShare = 0.1;
  const double share = std::chrono::duration<double>(sinceReturn) /
                       std::chrono::duration<double>(mOptions.mRampUpTime);
  return std::clamp(share, kInitialShare, 1.0);
}

} // namespace agatetide::policy
