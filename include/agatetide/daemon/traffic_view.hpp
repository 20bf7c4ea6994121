#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/clients/engine_client.hpp"
#include "agatetide/coordination/membership.hpp"
#include "agatetide/daemon/config_snapshot.hpp"
#include "agatetide/daemon/metrics.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace agatetide::daemon {

/// @brief Snapshot of the control thread's state for the traffic thread.
/// Immutable and thread-safe.
struct TrafficView
{
  std::shared_ptr<const ConfigSnapshot> mConfig;
  /// The configuration is known to be fresh until this time. Checked at each
  /// request: routes that need a key are not served afterwards.
  TimePoint mFreshUntil{};
  bool mStoreContact = false;
  bool mDraining = false;
  coordination::MemberUpdate mSelf;
  std::vector<coordination::Member> mMembers;
  /// Load reports by replica address.
  std::map<std::string, clients::ReplicaLoad, std::less<>> mLoads;
  /// Addresses of replicas that take no new work.
  std::set<std::string, std::less<>> mDrainingReplicas;
  /// Fingerprints of requests that crashed upstreams.
  std::set<uint64_t> mQuarantined;
  /// Address of the lease holder by duty.
  std::map<std::string, std::string> mDutyHolders;
  ControlCounters mCounters;
};

using TrafficViewPtr = std::shared_ptr<const TrafficView>;

/// @brief A report of the traffic thread to the control thread.
struct TrafficReport
{
  enum class Kind
  {
    Usage,
    UpstreamCrash,
    /// A request that was suspected of crashing an upstream was completed.
    SuspicionCleared,
  };
  Kind mKind = Kind::Usage;
  std::string mAccount;
  uint64_t mTokens = 0;
  uint64_t mUpstreamMilliseconds = 0;
  uint64_t mFingerprint = 0;
  /// Address of the replica that crashed.
  std::string mReplica;
};

} // namespace agatetide::daemon
