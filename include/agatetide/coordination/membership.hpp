#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/base/random.hpp"
#include "agatetide/coordination/messages.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace agatetide::coordination {

struct MembershipOptions
{
  Milliseconds mProbeInterval{ 250 };
  Milliseconds mProbeTimeout{ 500 };
  Milliseconds mSuspicionTimeout{ 1500 };
  /// Dead and departed members that are not seeds are removed after this time.
  Milliseconds mRemovalDelay{ 60000 };
  /// How often anti-entropy asks a random live member for missing updates and
  /// records. After a reply with an unknown member or record, the next request
  /// follows at the next tick.
  Milliseconds mSyncInterval{ 5000 };
  /// Limit of members and gossip records in the replies to one sync request.
  unsigned mMaxSyncItems = 64;
  /// Limit of stored gossip records; new ones beyond it are dropped.
  size_t mMaxRecords = 16384;
  /// Every n-th probe goes to another availability zone, the others stay within
  /// this one; 0 probes all members equally often.
  unsigned mCrossZoneProbePeriod = 0;
  unsigned mIndirectProbeCount = 3;
  unsigned mMaxUpdatesPerMessage = 12;
  unsigned mMaxRecordsPerMessage = 16;
};

/// @brief A member as known to this daemon.
struct Member
{
  MemberUpdate mInfo;
  TimePoint mStateSince{};
  /// Last acknowledgement of a probe, direct or indirect.
  TimePoint mLastAck{};
  int64_t mConfigVersion = 0;
  /// Incarnation that reported mConfigVersion.
  uint64_t mConfigVersionIncarnation = 0;
};

/// @brief What a peer reported in its acknowledgement of a probe.
struct ProbeResult
{
  std::string mAddress;
  TimePoint mProbeSent{};
  int64_t mConfigVersion = 0;
  /// Upper bound of the staleness of the peer's configuration copy when it
  /// acknowledged; std::nullopt if it knew none.
  std::optional<Milliseconds> mStaleness;
  /// Whether the store replied to the peer within the read lease duration.
  bool mStoreContact = false;
  std::vector<RelayedAck> mRelayedAcks;
  /// Whether the peer's copy was known to be fresh at some time since its
  /// start.
  bool mFreshSinceStart = false;
};

/// @brief Callbacks of Membership. mOnConfigVersion is optional.
struct MembershipHooks
{
  /// Sends a datagram to a member's address. Must not call Membership.
  std::function<void(const std::string&, const Datagram&)> mSend;
  /// Called for each new or changed member. Must not call Membership.
  std::function<void(const Member&)> mOnChange;
  /// Called for each direct acknowledgement of a probe.
  std::function<void(const ProbeResult&)> mOnProbeAck;
  /// Called for each datagram with the sender's address and configuration
  /// version.
  std::function<void(const std::string&, int64_t)> mOnConfigVersion;
  /// Fills the configuration fields of an outgoing datagram.
  std::function<void(Datagram&)> mFillConfigFields;
};

/// @brief Failure detection and gossip in the manner of SWIM: randomised
/// probes, indirect probes, suspicion, and dissemination of member updates and
/// gossip records.
///
/// A state machine without I/O. Not thread-safe.
class Membership
{
public:
  /// @brief Precondition: aSelf.mAddress is not empty and all hooks except
  /// mOnConfigVersion are set. Errors: InvalidArgument otherwise.
  static Result<Membership> Create(MemberUpdate aSelf,
                                   MembershipOptions aOptions,
                                   MembershipHooks aHooks,
                                   Clock aClock,
                                   Random aRandom);

  /// @brief Replaces the seeds. Seeds are probed even while they are dead, so
  /// that both sides of a partition find each other after it heals. Known
  /// members do not change.
  void SetSeeds(const std::vector<MemberUpdate>& aSeeds);

  /// @brief Sends the next probe and handles expired timeouts. Call it once per
  /// probe interval; a late call only delays detection.
  void Tick();

  /// @brief Probes a member immediately, for example to learn whether it has a
  /// new configuration version.
  void ProbeNow(const std::string& aAddress) { SendProbe(aAddress, "", 0); }

  /// @brief Probes all live members immediately, so that urgent updates and
  /// records reach them without delay.
  void ProbeAll();

  /// @brief Handles one decoded datagram.
  void Receive(const Datagram& aDatagram);

  /// @brief Announces, with the next datagrams, that this daemon accepts no new
  /// callers.
  void SetDraining();

  /// @brief Announces to all live members that this daemon leaves.
  void Leave();

  /// @brief Spreads a record to all members. It replaces a record of the same
  /// topic and key that has a lower sequence.
  void Publish(GossipRecord aRecord);

  /// @brief The record of a topic and key, or nullptr. Valid until the next
  /// call that changes this object.
  const GossipRecord* FindRecord(const std::string& aTopic,
                                 const std::string& aKey) const;

  /// @brief All records of one topic.
  std::vector<GossipRecord> Records(const std::string& aTopic) const;

  /// @brief Increases with each record that is added or replaced, so that
  /// readers can cache what they derive from the records.
  uint64_t RecordsRevision() const { return mRecordsRevision; }

  const MemberUpdate& Self() const { return mSelf; }

  /// @brief All known members other than this daemon.
  const std::map<std::string, Member>& Members() const { return mMembers; }

  /// @brief Members that are alive or suspected, without this daemon. Valid
  /// until the next call that changes this object.
  std::vector<const Member*> LiveMembers() const;

private:
  struct PendingProbe
  {
    std::string mAddress;
    TimePoint mSent{};
    /// Whether indirect probes were requested.
    bool mIndirectRequested = false;
    /// Address of the daemon that requested an indirect probe; empty for this
    /// daemon's own probes.
    std::string mRequester;
    uint64_t mRequesterSequence = 0;
  };

  /// An update or record to send, with the number of sends so far.
  struct QueuedItem
  {
    std::string mKey;
    unsigned mSendCount = 0;
  };

  Membership(MemberUpdate aSelf,
             MembershipOptions aOptions,
             MembershipHooks aHooks,
             Clock aClock,
             Random aRandom);

  void ProbeNext();
  bool InScope(const Member& aMember) const;
  void RemoveExpired();
  void RequestSync();
  std::vector<uint64_t> Digest() const;
  void AnswerSync(const Datagram& aDatagram);
  void ExpireProbes();
  void ExpireSuspects();
  void SendProbe(const std::string& aAddress,
                 std::string aRequester,
                 uint64_t aRequesterSequence);
  void RequestIndirectProbes(const std::string& aAddress, uint64_t aSequence);
  void Suspect(const std::string& aAddress);
  void HandleAck(const Datagram& aDatagram);
  bool Merge(const MemberUpdate& aUpdate, bool aAnnounce);
  void RefuteReport(const MemberUpdate& aUpdate);
  bool MergeRecord(const GossipRecord& aRecord, bool aAnnounce);
  void QueueUpdate(const std::string& aAddress);
  /// Removes the items of a key from a queue.
  static void EraseQueued(std::deque<QueuedItem>& aQueue,
                          const std::string& aKey);
  void Send(const std::string& aAddress, Datagram aDatagram);
  void SendWithoutGossip(const std::string& aAddress, Datagram aDatagram);
  GossipRecord RecordToSend(const std::string& aKey) const;
  unsigned TransmitLimit() const;

  MemberUpdate mSelf;
  MembershipOptions mOptions;
  MembershipHooks mHooks;
  Clock mClock;
  Random mRandom;
  std::map<std::string, Member> mMembers;
  /// Addresses that the current round still has to probe.
  std::vector<std::string> mProbeOrder;
  /// Probes that await an acknowledgement, by sequence.
  std::map<uint64_t, PendingProbe> mPendingProbes;
  uint64_t mNextSequence = 1;
  std::deque<QueuedItem> mUpdateQueue;
  std::set<std::string> mSeeds;
  uint64_t mTickCount = 0;
  TimePoint mLastSync{};
  /// Whether the next tick requests a sync regardless of the interval.
  bool mSyncAtNextTick = true;
  /// Records by topic and key, joined by a newline.
  std::map<std::string, GossipRecord> mRecords;
  std::map<std::string, TimePoint> mRecordExpiry;
  std::deque<QueuedItem> mRecordQueue;
  uint64_t mRecordsRevision = 0;
};

} // namespace agatetide::coordination
