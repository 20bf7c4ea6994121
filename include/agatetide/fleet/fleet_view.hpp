#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/fleet/replica.hpp"
#include "agatetide/fleet/service_config.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::fleet {

/// @brief Store keys of the running daemons and of their leader, each written
/// under a lease. Both share a prefix, so that one watch covers them.
constexpr std::string_view kLivePrefix = "agatetide/live/";
constexpr std::string_view kLiveHostPrefix = "agatetide/live/host/";
constexpr std::string_view kLiveLeaderKey = "agatetide/live/leader";

/// @brief An entry host as its daemon registered it in the store.
struct EntryHost
{
  std::string mName;
  /// Address for callers.
  std::string mAddress;
  /// Address for other daemons; empty if it doesn't listen for them.
  std::string mPeerAddress;
  std::string mAvailabilityZone;
  std::string mRegion;
  /// Distinguishes starts of the daemon on the same host.
  std::string mIncarnation;
  /// Accepts no new callers or steps, but finishes those it has.
  bool mDraining = false;
  /// Reaches no replica; other hosts send its requests.
  bool mCutOff = false;
  /// The limited replicas that the host uses, with the limit that each named to
  /// it lately, in requests per second; 0 if it named none lately.
  std::map<std::string, double, std::less<>> mRequestLimits;
};

/// @brief This daemon's copy of the configuration, replicas, weight versions
/// and hosts of the deployment. Updated by the watches of the store, read by
/// requests, steps and duties. Not thread-safe: use it only on the executor of
/// the daemon.
class FleetView
{
public:
  FleetView(Clock aClock, std::string aAvailabilityZone, std::string aRegion);

  /// @brief The newest known configuration; null before the first one.
  const std::shared_ptr<const ServiceConfig>& Config() const { return mConfig; }

  /// @brief Replaces the configuration if aConfig has a higher version.
  /// Returns whether it was replaced.
  bool UpdateConfig(std::shared_ptr<const ServiceConfig> aConfig);

  /// @brief Records that the configuration was up to date at aAsOf. Earlier
  /// times than the recorded one are ignored.
  void MarkFresh(TimePoint aAsOf);

  /// @brief Whether there is a configuration that is fresh enough to check
  /// the keys of requests.
  bool IsFresh() const;

  /// @brief Time since the configuration was last known to be up to date;
  /// std::nullopt if it never was.
  std::optional<Duration> Staleness() const;

  /// @brief Staleness() in milliseconds, or "never", as log lines have it.
  std::string StalenessText() const;

  const std::map<std::string, Replica, std::less<>>& Replicas() const
  {
    return mReplicas;
  }
  /// @brief Adds or replaces a replica. It stays draining if MarkDraining() was
  /// called for the same start of it.
  void PutReplica(Replica aReplica);
  void RemoveReplica(std::string_view aId);
  /// @brief Records that a replica said itself that it is draining, whatever
  /// its registration says before its next start. Returns false if it was known
  /// to be draining.
  bool MarkDraining(std::string_view aId);
  /// @brief The limits of a replica that is cold; std::nullopt if it is warm,
  /// or if its service has no cold start. Requests of any host count.
  std::optional<ColdStart> ColdStartOf(const Replica& aReplica) const;
  /// @brief The limits of cold replicas of the service; null if it has no cold
  /// start. Valid until the configuration is replaced.
  const ColdStart* FindColdStart(std::string_view aService) const;
  /// @brief Null if no replica has this id.
  const Replica* FindReplica(std::string_view aId) const;

  /// @brief Whether the operator has evacuated the availability zone, so that
  /// its replicas get no new requests. Known evacuations are kept while the
  /// store is unreachable.
  bool IsEvacuated(std::string_view aAvailabilityZone) const
  {
    return mEvacuatedZones.contains(aAvailabilityZone);
  }
  /// @brief Starts or ends the evacuation of one zone. Returns whether that
  /// changed it.
  bool SetEvacuated(const std::string& aAvailabilityZone, bool aEvacuated);
  const std::set<std::string, std::less<>>& EvacuatedZones() const
  {
    return mEvacuatedZones;
  }

  /// @brief Whether new requests with these allowed regions may be sent to the
  /// replica, as far as its location decides. The location of a zone whose
  /// region is unknown is allowed only without a restriction.
  bool MayUse(const Replica& aReplica,
              const std::optional<RegionSet>& aAllowedRegions) const
  {
    return !IsEvacuated(aReplica.mAvailabilityZone) &&
           (!aAllowedRegions ||
            aAllowedRegions->contains(RegionOf(aReplica.mAvailabilityZone)));
  }

  /// @brief The newest weight version that a trainer has published, by model.
  const std::map<std::string, int64_t, std::less<>>& PublishedVersions() const
  {
    return mPublishedVersions;
  }
  /// @brief Ignores versions below the recorded one.
  void RecordPublishedVersion(const std::string& aModel, int64_t aVersion);

  const std::map<std::string, EntryHost, std::less<>>& Hosts() const
  {
    return mHosts;
  }
  void SetHosts(std::map<std::string, EntryHost, std::less<>> aHosts);
  /// @brief Where the daemon of a host listens for other daemons. Errors:
  /// NotFound if the host is not known; InvalidArgument if its daemon does not
  /// listen for others.
  Result<http::Endpoint> PeerEndpoint(std::string_view aHost) const;

  /// @brief The holder of the leader lease; empty if the lease is free,
  /// std::nullopt before the leader key is first read.
  const std::optional<std::string>& Leader() const { return mLeader; }
  void SetLeader(std::string aHolder) { mLeader = std::move(aHolder); }

  /// @brief The region of an availability zone; empty if it is unknown.
  std::string RegionOf(std::string_view aAvailabilityZone) const;
  void SetRegions(std::map<std::string, std::string, std::less<>> aRegions)
  {
    mRegions = std::move(aRegions);
  }

  const std::string& AvailabilityZone() const { return mAvailabilityZone; }
  const std::string& Region() const { return mRegion; }

  /// @brief Sets the staleness from which on IsFresh() returns false.
  void SetMaxStaleness(Duration aMaxStaleness)
  {
    mMaxStaleness = aMaxStaleness;
  }

  /// @brief Called after each change of the configuration, the replicas, the
  /// evacuated zones or the published versions. May be empty.
  std::function<void()> mOnChange;

private:
  /// A replica that said that it is draining.
  struct DrainReport
  {
    /// As Replica::mStartTimeMs when it said so; std::nullopt if it was not
    /// registered.
    std::optional<int64_t> mStartTimeMs;
    TimePoint mReportedAt{};
  };

  void NotifyChange() const;
  void ApplyDrainReport(Replica& aReplica);
  void ApplyColdTime(Replica& aReplica) const;
  void RemoveOldDrainReports();

  Clock mClock;
  std::string mAvailabilityZone;
  std::string mRegion;
  std::shared_ptr<const ServiceConfig> mConfig;
  TimePoint mFreshAsOf{};
  Duration mMaxStaleness = std::chrono::milliseconds(4000);
  std::map<std::string, Replica, std::less<>> mReplicas;
  /// By replica. Reports outlast an expired registration for a while, since it
  /// may return when the store is back.
  std::map<std::string, DrainReport, std::less<>> mDrainReports;
  std::set<std::string, std::less<>> mEvacuatedZones;
  std::map<std::string, int64_t, std::less<>> mPublishedVersions;
  std::map<std::string, EntryHost, std::less<>> mHosts;
  std::optional<std::string> mLeader;
  std::map<std::string, std::string, std::less<>> mRegions;
};

} // namespace agatetide::fleet
