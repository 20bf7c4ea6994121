#pragma once

#include <span>
#include <string_view>

namespace agatetide::policy {

struct ColdShareOptions
{
  /// Hosts that may use a cold replica, per request per second that it can
  /// take. A host sends at most one request more than its rate within a second,
  /// so that all of them together stay below 1.5 times the replica's rate.
  double mHostsPerRequestRate = 0.5;
};

/// @brief A running host, as far as the division of a cold replica goes.
struct ColdShareHost
{
  std::string_view mName;
  /// Whether the host is in the region of the replica.
  bool mSameRegion = false;
};

struct ColdShareInput
{
  /// Requests that the replica can take from all hosts together.
  double mRequestsPerSecond = 0.0;
  std::string_view mReplicaId;
  /// The host whose share is wanted.
  std::string_view mHost;
  /// All running hosts that are known.
  std::span<const ColdShareHost> mHosts;
};

/// @brief Returns the requests per second that a host may send to a cold
/// replica; 0 if it may send none.
///
/// A new replica looks idle to all hosts at the same moment, and a restart of
/// many replicas brings many of them. There is no time to announce who uses
/// which, since they are cold for a few seconds only, so a few hosts chosen by
/// rendezvous hashing divide the rate, those of the replica's region first. A
/// host that is not in its own list of hosts may be unknown to the others and
/// sends nothing. Thread-safe.
double ShareOfColdReplica(const ColdShareInput& aInput,
                          const ColdShareOptions& aOptions = {});

} // namespace agatetide::policy
