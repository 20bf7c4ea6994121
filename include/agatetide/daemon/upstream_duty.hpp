#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/daemon/duty.hpp"
#include "agatetide/platform/engine.hpp"

#include <map>
#include <set>
#include <string>

namespace agatetide::daemon {

/// @brief As holder of the availability zone's upstream lease, reads the load
/// of the zone's replicas, shares it by gossip, and brings the zone's
/// engines to the published weight version.
class UpstreamDuty
{
public:
  UpstreamDuty(DutyContext& aContext, DutyLease aLease);

  /// @brief Runs until the executor stops.
  Awaitable<void> Run();

  Awaitable<void> Release() { return mLease.Release(); }

  /// @brief Load reports that have been shared, by replica address.
  std::map<std::string, platform::EngineLoad, std::less<>> Loads() const;

private:
  Awaitable<void> PollReplica(std::string aAddress,
                              bool aEngine,
                              std::string aModel);
  Awaitable<void> OrderWeights(std::string aAddress, v1::Weights aWeights);
  void PollZone();

  DutyContext& mContext;
  DutyLease mLease;
  std::set<std::string> mPolling;
  std::set<std::string> mSwapping;
};

/// @brief Topic of the facts that carry load reports.
inline constexpr const char* kLoadTopic = "load";

} // namespace agatetide::daemon
