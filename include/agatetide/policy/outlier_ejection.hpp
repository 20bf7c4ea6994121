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
  /// Failures in a row that eject a replica.
  unsigned mConsecutiveFailures = 3;
  /// Mean latency against the group's median above which a replica is
  /// ejected.
  double mMaxLatencyRatio = 3.0;
  /// Answers before the mean latency counts.
  unsigned mMinResponses = 20;
  /// First ejection; each further one takes twice as long, up to
  /// mMaxEjectionTime.
  Duration mBaseEjectionTime = std::chrono::seconds(2);
  Duration mMaxEjectionTime = std::chrono::seconds(30);
  /// Time over which a returning replica's share of requests grows to full.
  Duration mRampUpTime = std::chrono::seconds(5);
  /// Share of a group that may be ejected at once.
  double mMaxEjectedShare = 0.34;
};

/// @brief Takes replicas that fail or are much slower than their group out of
/// use for a time. A group is the replicas of an upstream in one region, so
/// that the latency between regions is not taken for slowness.
/// Not thread-safe.
class OutlierEjection
{
public:
  explicit OutlierEjection(OutlierEjectionOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief One answer, or a failure of the replica.
  void Observe(std::string_view aGroup,
               std::string_view aReplica,
               bool aFailed,
               Duration aLatency,
               TimePoint aNow);

  /// @brief Whether any replica was ever ejected; if not, all shares are 1.
  bool HasEverEjected() const { return mAny; }

  /// @brief Share of its usual requests that a replica gets: 0 while
  /// ejected, then growing to 1.
  double TrafficShare(std::string_view aGroup,
                      std::string_view aReplica,
                      TimePoint aNow) const;

private:
  struct Replica
  {
    unsigned mFailures = 0;
    unsigned mAnswers = 0;
    unsigned mEjections = 0;
    double mMeanLatency = 0.0;
    TimePoint mEjectedUntil{};
  };
  using Group = std::map<std::string, Replica, std::less<>>;

  bool MuchSlower(const Group& aGroup, const Replica& aReplica) const;
  void Eject(Group& aGroup, Replica& aReplica, TimePoint aNow);

  OutlierEjectionOptions mOptions;
  std::map<std::string, Group, std::less<>> mGroups;
  bool mAny = false;
};

} // namespace agatetide::policy
