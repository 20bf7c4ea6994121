#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/fleet/replica.hpp"
#include "agatetide/fleet/service_config.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::fleet {

/// @brief Keys of the store under which daemons and their leader are present,
/// each under a lease. One watch of the prefix tells of both.
constexpr std::string_view kLivePrefix = "agatetide/live/";
constexpr std::string_view kLiveHostPrefix = "agatetide/live/host/";
constexpr std::string_view kLiveLeaderKey = "agatetide/live/leader";

/// @brief A daemon that callers may use.
struct EntryHost
{
  std::string mName;
  /// Address for callers.
  std::string mAddress;
  /// Address for other daemons; empty when it serves none.
  std::string mPeerAddress;
  std::string mAvailabilityZone;
  std::string mRegion;
  /// Tells one start of the process from another.
  std::string mIncarnation;
  /// Takes no new callers and steps, and finishes what it has.
  bool mDraining = false;
};

/// @brief What this daemon knows of the deployment. Written by the watchers,
/// read by requests, steps and duties. Not thread-safe: owned by the
/// executor of the daemon.
class FleetView
{
public:
  FleetView(Clock aClock, std::string aAvailabilityZone, std::string aRegion);

  /// @brief The newest configuration; null until one is known.
  const std::shared_ptr<const ServiceConfig>& Config() const { return mConfig; }

  /// @brief Takes a configuration unless a newer one is known already.
  /// Returns whether it was taken.
  bool UpdateConfig(std::shared_ptr<const ServiceConfig> aConfig);

  /// @brief Records that the copy was the newest at aProof.
  void MarkFresh(TimePoint aProof);

  /// @brief Whether the copy was confirmed recently enough for requests with
  /// keys.
  bool Fresh() const;

  /// @brief Age of the last confirmation.
  Duration Staleness() const { return mClock() - mProof; }

  const std::map<std::string, Replica, std::less<>>& Replicas() const
  {
    return mReplicas;
  }
  void PutReplica(Replica aReplica);
  void RemoveReplica(std::string_view aId);
  /// @brief Replaces all replicas.
  void ResetReplicas(std::map<std::string, Replica, std::less<>> aReplicas);
  const Replica* FindReplica(std::string_view aId) const;

  /// @brief Newest version of each model that was named by its trainer.
  const std::map<std::string, int64_t, std::less<>>& PublishedVersions() const
  {
    return mNamedVersions;
  }
  void RecordPublishedVersion(const std::string& aModel, int64_t aVersion);

  const std::map<std::string, EntryHost, std::less<>>& Hosts() const
  {
    return mHosts;
  }
  void SetHosts(std::map<std::string, EntryHost, std::less<>> aHosts);

  /// @brief The holder of the leader's lease, empty while there is none.
  /// Nothing until the leader's key was read once.
  const std::optional<std::string>& Leader() const { return mLeader; }
  void SetLeader(std::string aHolder) { mLeader = std::move(aHolder); }

  /// @brief The region of an availability zone; empty when it is not known.
  std::string RegionOf(std::string_view aAvailabilityZone) const;
  void SetRegions(std::map<std::string, std::string, std::less<>> aRegions)
  {
    mRegions = std::move(aRegions);
  }

  const std::string& AvailabilityZone() const { return mAvailabilityZone; }
  const std::string& Region() const { return mRegion; }

  /// @brief Longest age of a confirmation that Fresh() accepts.
  void SetMaxStaleness(Duration aTime) { mTrustTime = aTime; }

  /// @brief Called after each change of configuration or replicas.
  std::function<void()> mOnChange;

private:
  void Changed() const;

  Clock mClock;
  std::string mAvailabilityZone;
  std::string mRegion;
  std::shared_ptr<const ServiceConfig> mConfig;
  TimePoint mProof{};
  Duration mTrustTime = std::chrono::milliseconds(4000);
  std::map<std::string, Replica, std::less<>> mReplicas;
  std::map<std::string, int64_t, std::less<>> mNamedVersions;
  std::map<std::string, EntryHost, std::less<>> mHosts;
  std::optional<std::string> mLeader;
  std::map<std::string, std::string, std::less<>> mRegions;
};

} // namespace agatetide::fleet
