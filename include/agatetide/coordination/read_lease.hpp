#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/coordination/membership.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace agatetide::coordination {

struct ReadLeaseOptions
{
  /// How long a copy may be served from after it was known to be fresh. At
  /// most kMaxReadLeaseDuration.
  Milliseconds mDuration{ 5000 };
};

/// @brief Upper limit of ReadLeaseOptions::mDuration. A withdrawn key must stop
/// working within 7 s, so 1 s is left for everything else.
inline constexpr Milliseconds kMaxReadLeaseDuration{ 6000 };

/// @brief A stored change that is not yet known to be in force on all hosts.
struct PendingChange
{
  int64_t mVersion = 0;
  /// When the store's reply arrived.
  TimePoint mStoredAt{};
  std::optional<TimePoint> mMajorityCaughtUpAt;
};

/// @brief The read lease on the local configuration copy: decides whether
/// requests may be served from it.
///
/// The lease is valid if the copy was fresh, that is, the store had no newer
/// version, at some time within the lease duration. It is also valid while a
/// majority of the configured hosts acknowledged probes within that time, all
/// without store contact and none with a higher version. On a host that is not
/// in the configuration it is never valid. Freshness from before the start of
/// this process does not count, and a process that was not known to be fresh
/// since its start is not counted in a majority: an earlier process at the same
/// address may have acknowledged a newer version.
///
/// Successive host sets may differ by one host only, and a change of the set
/// may be stored only after the version before it is accepted; otherwise two
/// majorities might not intersect. Not thread-safe.
class ReadLease
{
public:
  /// @brief Errors: InvalidArgument if the lease duration is not in
  /// (0, kMaxReadLeaseDuration].
  static Result<ReadLease> Create(std::string aSelf,
                                  ReadLeaseOptions aOptions,
                                  Clock aClock);

  /// @brief Records that the store returned aVersion as the current version.
  /// aSent is when the read was sent.
  void RecordStoreRead(TimePoint aSent, int64_t aVersion);

  /// @brief Records a peer's acknowledgement.
  void RecordProbeResult(const ProbeResult& aResult);

  /// @brief Recent acknowledgements by at most aLimit random hosts, to be
  /// relayed in this host's acknowledgements while the store does not reply.
  ///
  /// Direct probes alone reach a majority within the lease duration only in a
  /// small deployment, not with 48 daemons and four probes per second.
  std::vector<RelayedAck> AcksToRelay(int64_t aVersion,
                                      size_t aLimit,
                                      const Random& aRandom) const;

  /// @brief Sets the hosts of the configuration at aVersion. Majorities are
  /// counted among them. A removed host must still catch up for acceptance by
  /// all hosts until its read lease for an older version has expired.
  void SetHosts(std::set<std::string> aHosts, int64_t aVersion);

  /// @brief Whether requests may be served from a copy at aVersion now.
  bool IsValid(int64_t aVersion) const;

  /// @brief When the lease for a copy at aVersion expires unless it is
  /// extended. Compare it with the clock at each use, also on other threads, so
  /// that a process that was suspended does not serve from an old copy when it
  /// resumes. A time in the past means that the lease is not valid.
  TimePoint ValidUntil(int64_t aVersion) const;

  /// @brief Upper bound of the staleness of a copy at aVersion, to be sent to
  /// peers; std::nullopt if it exceeds the lease duration or is not known.
  std::optional<Milliseconds> Staleness(int64_t aVersion) const;

  /// @brief Whether the copy was known to be fresh at some time since the start
  /// of this process.
  bool FreshSinceStart() const { return mFreshSinceStart; }

  /// @brief Whether the store answered this daemon within the lease duration.
  bool HasStoreContact() const;

  /// @brief Whether a majority of the configured hosts, including this one,
  /// acknowledged a probe within the lease duration.
  bool IsMajorityReachable() const;

  /// @brief Configured hosts that have not acknowledged aVersion.
  std::vector<std::string> HostsBehind(int64_t aVersion) const;

  /// @brief Whether a change is accepted: every configured host, and every host
  /// removed within the lease duration, acknowledged its version; or a majority
  /// did and the lease duration has passed since then, so that every other
  /// host's lease for an older version has expired.
  ///
  /// Call it repeatedly; it records in aChange when the majority caught up.
  /// aLocalVersion is the version of the local copy, whose hosts were given to
  /// SetHosts(). Returns false if it is older than the change, since its hosts
  /// may differ. The caller need not be a configured host.
  bool IsAccepted(PendingChange& aChange, int64_t aLocalVersion) const;

  Milliseconds LeaseDuration() const { return mOptions.mDuration; }

private:
  struct Peer
  {
    TimePoint mProbeSent{};
    int64_t mConfigVersion = 0;
    bool mStoreContact = false;
    bool mFreshSinceStart = false;
  };

  ReadLease(std::string aSelf, ReadLeaseOptions aOptions, Clock aClock);

  bool Recent(TimePoint aTime) const;
  void RecordRelayedAcks(const ProbeResult& aResult);
  void RecordFreshness(int64_t aVersion, TimePoint aTime);
  TimePoint FreshAsOf(int64_t aVersion) const;
  TimePoint MajorityValidUntil(int64_t aVersion) const;
  bool CaughtUp(const std::string& aHost, int64_t aVersion) const;
  bool RemovedHostsCaughtUp(int64_t aVersion) const;

  std::string mSelf;
  ReadLeaseOptions mOptions;
  Clock mClock;
  TimePoint mStart;
  bool mFreshSinceStart = false;
  /// By version, the latest time at which the store is known to have had no
  /// newer one; times older than the lease duration are dropped.
  std::map<int64_t, TimePoint> mFreshTimes;
  TimePoint mLastStoreRead{};
  std::set<std::string> mHosts;
  /// Configuration version of mHosts.
  int64_t mHostsVersion = 0;
  /// Recently removed hosts with their time of removal.
  std::map<std::string, TimePoint> mRemovedHosts;
  std::map<std::string, Peer> mPeers;
};

} // namespace agatetide::coordination
