#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/policy/limit_share.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace agatetide::request {

/// @brief Paces this host's requests to replicas that are cold; see
/// policy::ShareOfColdReplica(). Needs no messages, so it holds at hosts that
/// reach neither the store nor other hosts. Not thread-safe.
class ColdReplicas
{
public:
  /// Precondition: aView outlives the object. aHost is the name of this host.
  ColdReplicas(const fleet::FleetView& aView, std::string aHost, Clock aClock);

  /// @brief Time until this host may send a request to the replica; zero if it
  /// is warm, and Duration::max() if this host may not use it while it is cold.
  Duration Delay(const fleet::Replica& aReplica);

  /// @brief Takes the replica for cold until its registration must have shown
  /// a restart, if its service has a cold start.
  void RecordUnreachable(const fleet::Replica& aReplica);

  /// @brief Counts a request that is sent to the replica.
  void CountSent(const fleet::Replica& aReplica);

private:
  struct Pace
  {
    explicit Pace(TimePoint aNow)
      : mPacer(aNow)
    {
    }
    policy::RequestPacer mPacer;
    /// Start of the process that it was computed for.
    int64_t mStartTimeMs = 0;
    TimePoint mShareUpdatedAt{};
    /// The replica may have restarted unseen, and is taken for cold until then.
    TimePoint mSuspectedUntil{};
  };

  /// Null if the replica is warm.
  Pace* FindPace(const fleet::Replica& aReplica);
  Pace& FindOrCreate(const fleet::Replica& aReplica);
  /// Requests per second that the replica can take from all hosts; std::nullopt
  /// if it is warm.
  std::optional<double> ColdRate(const fleet::Replica& aReplica) const;
  double ShareOf(const fleet::Replica& aReplica, double aRate) const;
  void RemoveWarm();

  const fleet::FleetView& mView;
  std::string mHost;
  Clock mClock;
  /// By replica id.
  std::map<std::string, Pace, std::less<>> mPaces;
};

} // namespace agatetide::request
