#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/clients/engine_client.hpp"
#include "agatetide/daemon/duty.hpp"
#include "agatetide/policy/weight_rollout.hpp"

#include <map>
#include <set>
#include <string>

namespace agatetide::daemon {

/// @brief As holder of the availability zone's upstream lease, reads the load
/// of the zone's replicas, publishes it by gossip, and has the zone's engines
/// load the published weight version in waves. Owned by the control thread.
class UpstreamDuty
{
public:
  UpstreamDuty(DutyContext& aContext, DutyLease aLease);

  /// @brief Maintains the lease, polls replicas and orders weight loads until
  /// the executor stops.
  Awaitable<void> Run();

  Awaitable<void> Release() { return mLease.Release(); }

  /// @brief The load reports of all zones known by gossip, by replica address.
  std::map<std::string, clients::ReplicaLoad, std::less<>> Loads() const;

private:
  struct PublishedVersion
  {
    uint64_t mVersion = 0;
    /// When this daemon first saw the version.
    TimePoint mFirstSeen{};
  };

  Awaitable<void> PollReplica(std::string aAddress, bool aEngine);
  Awaitable<void> LoadWeights(std::string aAddress, v1::Weights aWeights);
  void PollZone();
  void RollOutWeights();
  void LoadNextWave(const v1::Upstream& aUpstream, const v1::Weights& aWeights);

  DutyContext& mContext;
  DutyLease mLease;
  std::set<std::string> mPolling;
  std::set<std::string> mLoading;
  policy::WeightRolloutOptions mRolloutOptions;
  /// Weight versions of engines that answered the last poll, by address.
  std::map<std::string, uint64_t> mReplicaVersions;
  std::map<std::string, TimePoint> mFailedAt;
  std::map<std::string, PublishedVersion> mPublishedVersions;
};

/// @brief Decodes the value of a load record.
clients::ReplicaLoad DecodeLoad(const std::string& aText);

/// @brief Topic of the gossip records that carry load reports.
inline constexpr const char* kLoadTopic = "load";

} // namespace agatetide::daemon
