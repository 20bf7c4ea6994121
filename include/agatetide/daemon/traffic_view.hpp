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

/// @brief What the control thread tells the traffic thread. Immutable.
struct TrafficView
{
  std::shared_ptr<const ConfigSnapshot> mConfig;
  /// Keyed routes are served until then; checked at each request.
  TimePoint mFreshUntil{};
  bool mStoreContact = false;
  bool mDraining = false;
  coordination::MemberUpdate mSelf;
  std::vector<coordination::Member> mMembers;
  /// Load reports by replica address.
  std::map<std::string, clients::UpstreamLoad, std::less<>> mLoads;
  /// Replicas that take no new work.
  std::set<std::string, std::less<>> mLeaving;
  /// Fingerprints of requests that crashed upstreams.
  std::set<uint64_t> mQuarantined;
  /// Holder by duty.
  std::map<std::string, std::string> mDutyHolders;
  ControlCounters mCounters;
};

using TrafficViewPtr = std::shared_ptr<const TrafficView>;

/// @brief What the traffic thread reports to the control thread.
struct TrafficReport
{
  enum class Kind
  {
    Usage,
    UpstreamCrash,
    /// A suspected request was completed after all.
    SuspicionCleared,
  };
  Kind mKind = Kind::Usage;
  std::string mAccount;
  uint64_t mTokens = 0;
  uint64_t mUpstreamMilliseconds = 0;
  uint64_t mFingerprint = 0;
  /// The upstream that crashed.
  std::string mReplica;
};

} // namespace agatetide::daemon
