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
  /// How long a proof counts. At most kMaxReadLeaseDuration, so that a
  /// withdrawn key stops working within 7 s.
  Milliseconds mDuration{ 5000 };
};

inline constexpr Milliseconds kMaxReadLeaseDuration{ 6000 };

/// @brief A stored change that waits to be in force everywhere.
struct PendingChange
{
  int64_t mVersion = 0;
  /// When the answer of the store arrived.
  TimePoint mStoredAt{};
  std::optional<TimePoint> mMajorityCaughtUpAt;
};

/// @brief Decides whether the local configuration copy may be served from.
///
/// The copy is trusted with a proof that the store's head was not newer than
/// it within the trust time, or while a majority of the configured hosts
/// answered probes within that time, all without store contact and none with a
/// higher version. A host that the configuration does not name is never
/// trusted. Proofs from before the start of this process do not count, and
/// a process without a later proof takes no part in a majority: an earlier
/// process at the same address may have acknowledged a newer version.
///
/// Successive host sets may differ by one host, and a change of the set may
/// be stored only when the version before it is accepted; otherwise two
/// majorities need not intersect. Not thread-safe; owned by one duty.
class ReadLease
{
public:
  /// @brief Errors: InvalidArgument when the trust time is not in
  /// (0, kMaxReadLeaseDuration].
  static Result<ReadLease> Create(std::string aSelf,
                                  ReadLeaseOptions aOptions,
                                  Clock aClock);

  /// @brief Records that the store's head was read as aVersion.
  /// aSent is when the read was sent.
  void RecordStoreRead(TimePoint aSent, int64_t aVersion);

  /// @brief Records a peer's acknowledgement.
  void RecordProbeResult(const ProbeResult& aProof);

  /// @brief Recent evidence about at most aLimit random hosts, to hand on
  /// with an acknowledgement while the store gives no proof.
  ///
  /// Direct probes alone reach a majority within the trust time only in a
  /// small deployment: 48 daemons with four probes a second did not.
  std::vector<RelayedAck> AcksToRelay(int64_t aVersion,
                                      size_t aLimit,
                                      const Random& aRandom) const;

  /// @brief Hosts of the present configuration; the majority is counted
  /// among them. A host that is left out still counts for the quick
  /// acceptance until its trust in an older version has lapsed.
  /// aVersion is the version of the configuration that names them.
  void SetHosts(std::set<std::string> aHosts, int64_t aVersion);

  /// @brief Whether a copy at aVersion may be served from now.
  bool Valid(int64_t aVersion) const;

  /// @brief Until when a copy at aVersion may be served from without a new
  /// proof. Readers on other threads compare it with the clock at each use,
  /// so that a frozen process does not serve after it wakes. A time in the
  /// past means not trusted.
  TimePoint ValidUntil(int64_t aVersion) const;

  /// @brief Age of the proof that the head was at most aVersion, to hand on
  /// to peers.
  std::optional<Milliseconds> Staleness(int64_t aVersion) const;

  /// @brief Whether this process has had a proof that dates from after its
  /// start.
  bool FreshSinceStart() const { return mFreshSinceStart; }

  /// @brief Whether the store answered this daemon within the trust time.
  bool StoreContact() const;

  /// @brief Whether a majority of the configured hosts, this one included,
  /// acknowledged a probe within the trust time.
  bool MajorityReachable() const;

  /// @brief Configured hosts that have not acknowledged aVersion.
  std::vector<std::string> HostsBehind(int64_t aVersion) const;

  /// @brief Whether a change can be answered as accepted: each configured
  /// host acknowledged its version, or a majority did and the trust time has
  /// passed since then, so that every other host has stopped trusting an
  /// older version. Call it repeatedly; it notes when the majority caught up.
  /// aLocalVersion is the version of the local copy, whose hosts SetHosts()
  /// named; an older copy than the change accepts nothing, since its hosts may
  /// differ. The caller need not be a configured host.
  bool Accepted(PendingChange& aAcceptance, int64_t aLocalVersion) const;

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
  void RecordEvidence(const ProbeResult& aProof);
  void AddProof(int64_t aVersion, TimePoint aTime);
  TimePoint ProofTime(int64_t aVersion) const;
  TimePoint MajorityWithoutStoreUntil(int64_t aVersion) const;
  bool CaughtUp(const std::string& aHost, int64_t aVersion) const;
  bool RetiredCaughtUp(int64_t aVersion) const;

  std::string mSelf;
  ReadLeaseOptions mOptions;
  Clock mClock;
  TimePoint mStart;
  bool mFreshSinceStart = false;
  /// Latest proof time by version; proofs past the trust time are dropped.
  std::map<int64_t, TimePoint> mProofs;
  TimePoint mStoreRead{};
  std::set<std::string> mHosts;
  /// Version of the configuration that mHosts is from.
  int64_t mHostsVersion = 0;
  /// Hosts that the configuration no longer names, with the time of removal.
  std::map<std::string, TimePoint> mRetired;
  std::map<std::string, Peer> mPeers;
};

} // namespace agatetide::coordination
