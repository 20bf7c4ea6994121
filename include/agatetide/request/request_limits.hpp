#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/policy/limit_share.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::request {

/// @brief What a response of a replica says of the requests that it accepts.
struct LimitReport
{
  /// Requests per second that the replica accepts from all hosts together;
  /// std::nullopt if it does not limit them.
  std::optional<double> mRequestsPerSecond;
  /// When the request of the response was sent.
  TimePoint mSentAt{};
};

/// @brief The request limits that replicas under load name in their responses,
/// and this host's share of each. The hosts announce in their registrations
/// which limited replicas they use; see policy::ShareOfLimit(). Not
/// thread-safe.
class RequestLimits
{
public:
  /// Precondition: aView outlives the object. aHost is the name of this host.
  RequestLimits(const fleet::FleetView& aView, std::string aHost, Clock aClock);

  /// @brief The name of this host; may be empty.
  const std::string& Host() const { return mHost; }

  /// @brief Records what a response says. A response without a limit ends the
  /// limit only if its request was sent after the limit was last named, since
  /// responses may overtake each other.
  void Record(std::string_view aReplicaId, const LimitReport& aReport);

  /// @brief Forgets a replica that has left or restarted.
  void Forget(std::string_view aReplicaId);

  /// @brief Time until this host may send a request to the replica; zero if it
  /// may send one now, and Duration::max() if it may not use the replica.
  Duration Delay(std::string_view aReplicaId) const;

  /// @brief Whether the replica limits its requests.
  bool IsLimited(std::string_view aReplicaId) const;

  /// @brief Requests per second that this host may send to the replica; 0 if
  /// the replica is not limited or this host may not use it.
  double Rate(std::string_view aReplicaId) const;

  /// @brief Records that this host has a request that the replica could run.
  /// Only hosts with requests divide the limit.
  void RecordDemand(std::string_view aReplicaId);

  /// @brief Counts a request that is sent to the replica.
  void CountSent(std::string_view aReplicaId);

  /// @brief Updates the shares from the registrations of the hosts; called
  /// regularly. aAnnounced holds the ids of the replicas of which all hosts
  /// know that this host uses them.
  void UpdateShares(std::set<std::string, std::less<>> aAnnounced);

  /// @brief What this host should announce in its registration; see
  /// fleet::EntryHost::mRequestLimits.
  std::map<std::string, double, std::less<>> Announcement() const;

private:
  struct Limit
  {
    explicit Limit(TimePoint aNow)
      : mPacer(aNow)
      , mCountStart(aNow)
    {
    }

    /// The limit that the replica named to this host; std::nullopt if it named
    /// none.
    std::optional<double> mNamed;
    /// When the replica last named it, or said that there is none.
    TimePoint mReportedAt{};
    /// The limit that another host has announced.
    std::optional<double> mAnnouncedByOthers;
    TimePoint mDemandAt{};
    policy::RequestPacer mPacer;
    /// Start of the period of mSentCount.
    TimePoint mCountStart;
    /// Requests that this host sent in the period.
    unsigned mSentCount = 0;
  };
  using Hosts = std::vector<std::string_view>;

  void UpdateShares();
  bool HasRecentReport(const Limit& aLimit) const;
  std::optional<double> CurrentLimit(const Limit& aLimit) const;
  Limit& FindOrCreate(std::string_view aReplicaId);
  void UpdateShare(const std::string& aReplicaId,
                   Limit& aLimit,
                   const Hosts& aHosts,
                   const Hosts& aOtherUsers);
  void LogSentCount(std::string_view aReplicaId, Limit& aLimit);

  const fleet::FleetView& mView;
  std::string mHost;
  Clock mClock;
  std::set<std::string, std::less<>> mAnnounced;
  std::map<std::string, Limit, std::less<>> mLimits;
};

} // namespace agatetide::request
