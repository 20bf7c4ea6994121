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
/// of the zone's replicas, shares it by gossip, and brings the zone's
/// engines to the published weight version in waves.
class UpstreamDuty
{
public:
  UpstreamDuty(DutyContext& aContext, DutyLease aLease);

  /// @brief Runs until the executor stops.
  Awaitable<void> Run();

  Awaitable<void> Release() { return mLease.Release(); }

  /// @brief Load reports that have been shared, by replica address.
  std::map<std::string, clients::UpstreamLoad, std::less<>> Loads() const;

private:
  struct Published
  {
    uint64_t mVersion = 0;
    /// When this holder first saw the version.
    TimePoint mAt{};
  };

  Awaitable<void> PollReplica(std::string aAddress, bool aEngine);
  Awaitable<void> OrderWeights(std::string aAddress, v1::Weights aWeights);
  void PollZone();
  void RollOutWeights();
  void OrderWave(const v1::Upstream& aUpstream, const v1::Weights& aWeights);

  DutyContext& mContext;
  DutyLease mLease;
  std::set<std::string> mPolling;
  std::set<std::string> mSwapping;
  policy::WeightRolloutOptions mOptions;
  /// Weight version by address, of replicas that answered the last poll.
  std::map<std::string, uint64_t> mVersions;
  std::map<std::string, TimePoint> mFailedAt;
  std::map<std::string, Published> mPublished;
};

/// @brief Reads the value of a load fact.
clients::UpstreamLoad DecodeLoad(const std::string& aText);

/// @brief Topic of the facts that carry load reports.
inline constexpr const char* kLoadTopic = "load";

} // namespace agatetide::daemon
