#pragma once

#include "agatetide/base/clock.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace agatetide::policy {

struct OutlierEjectionOptions
{
  bool mEnabled = true;
  /// Consecutive failures after which a replica is ejected.
  unsigned mConsecutiveFailures = 3;
  /// Ratio of a replica's mean latency to the median of the other replicas in
  /// its ejection group above which it is ejected.
  double mMaxLatencyRatio = 3.0;
  /// Responses of a replica before its mean latency is considered.
  unsigned mMinResponses = 20;
  /// Duration of the first ejection; doubles with each further one, up to
  /// mMaxEjectionTime.
  Duration mBaseEjectionTime = std::chrono::seconds(2);
  Duration mMaxEjectionTime = std::chrono::seconds(30);
  /// Time over which the traffic share of a returning replica grows to 1.
  Duration mRampUpTime = std::chrono::seconds(5);
  /// Largest share of an ejection group that may be ejected at once.
  double mMaxEjectedShare = 0.34;
};

/// @brief Ejects replicas for some time that fail or are much slower than the
/// others of their ejection group. The caller groups the replicas of an
/// upstream by location, so that network latency is not taken for slowness. Not
/// thread-safe.
class OutlierEjection
{
public:
  explicit OutlierEjection(OutlierEjectionOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Records a response or a failure. aLatency is ignored for failures.
  void Observe(std::string_view aGroup,
               std::string_view aReplica,
               bool aFailed,
               Duration aLatency,
               TimePoint aNow);

  /// @brief Returns whether any replica was ever ejected; if not, all traffic
  /// shares are 1.
  bool HasEverEjected() const { return mHasEverEjected; }

  /// @brief Returns the share of its usual requests that a replica should get:
  /// 0 while it is ejected, then growing to 1.
  double TrafficShare(std::string_view aGroup,
                      std::string_view aReplica,
                      TimePoint aNow) const;

private:
  struct Replica
  {
    unsigned mConsecutiveFailures = 0;
    unsigned mResponses = 0;
    unsigned mEjections = 0;
    /// Exponentially weighted, in ticks of Duration.
    double mMeanLatency = 0.0;
    TimePoint mEjectedUntil{};
  };
  using Group = std::map<std::string, Replica, std::less<>>;

  bool IsSlow(const Group& aGroup, const Replica& aReplica) const;
  void Eject(Group& aGroup, Replica& aReplica, TimePoint aNow);

  OutlierEjectionOptions mOptions;
  std::map<std::string, Group, std::less<>> mGroups;
  bool mHasEverEjected = false;
};

} // namespace agatetide::policy
