#pragma once

#include "agatetide/base/clock.hpp"

#include <map>
#include <string>
#include <string_view>

namespace agatetide::policy {

/// @brief Tracks how fast replicas generate events, relative to each other.
/// Replicas without recent events are dropped. Not thread-safe.
class ReplicaSpeeds
{
public:
  explicit ReplicaSpeeds(Clock aClock);

  /// @brief Records the time per event of a stream.
  void Observe(const std::string& aReplicaId, double aSecondsPerEvent);

  /// @brief Returns the time per event relative to the median replica; 1 if
  /// the replica has no recent events.
  double Slowness(std::string_view aReplicaId) const;

  /// @brief Returns the median time per event over the replicas; 0 before the
  /// first observation.
  double MedianSecondsPerEvent() const { return mMedianSecondsPerEvent; }

private:
  struct Speed
  {
    /// Exponentially weighted mean.
    double mSecondsPerEvent = 0.0;
    TimePoint mUpdatedAt{};
  };
  bool IsRecent(const Speed& aSpeed) const;

  Clock mClock;
  /// By replica id.
  std::map<std::string, Speed, std::less<>> mSpeeds;
  double mMedianSecondsPerEvent = 0.0;
};

} // namespace agatetide::policy
