#pragma once

#include "agatetide/base/clock.hpp"

#include <map>
#include <string>
#include <string_view>

namespace agatetide::policy {

/// @brief How fast replicas generate events, relative to each other. Not
/// thread-safe.
class ReplicaSpeeds
{
public:
  explicit ReplicaSpeeds(Clock aClock);

  /// @brief Notes the time that a stream took for each event.
  void Observe(const std::string& aReplicaId, double aSecondsPerEvent);

  /// @brief Time for each event relative to the typical replica; 1 while
  /// little is known.
  double Slowness(std::string_view aReplicaId) const;

  /// @brief The median time for each event; 0 until one is known.
  double MedianSecondsPerEvent() const { return mTypical; }

private:
  struct Speed
  {
    double mSecondsPerEvent = 0.0;
    TimePoint mUpdated{};
  };
  bool IsFresh(const Speed& aSpeed) const;

  Clock mClock;
  std::map<std::string, Speed, std::less<>> mSpeeds;
  double mTypical = 0.0;
};

} // namespace agatetide::policy
