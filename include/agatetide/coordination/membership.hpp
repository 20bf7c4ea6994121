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
  /// Dead and departed members that are no seeds are forgotten after this
  /// time.
  Milliseconds mRemovalDelay{ 60000 };
  /// How often a random live member is asked for what this daemon lacks. A
  /// daemon that lacks entries altogether asks at each tick.
  Milliseconds mSyncInterval{ 5000 };
  /// Bounds the members and facts that answer one request.
  unsigned mMaxSyncItems = 64;
  /// Bounds the memory of shared facts; further ones are dropped.
  size_t mMaxRecords = 16384;
  /// With zone scope, one probe in this many goes to another availability
  /// zone; 0 probes all members alike.
  unsigned mProbesPerCrossZoneProbe = 0;
  unsigned mIndirectProbeCount = 3;
  unsigned mMaxUpdatesPerMessage = 12;
  unsigned mMaxRecordsPerMessage = 16;
};

/// @brief One member as this daemon sees it.
struct Member
{
  MemberUpdate mInfo;
  TimePoint mStateSince{};
  TimePoint mLastAck{};
  int64_t mConfigVersion = 0;
  /// Incarnation whose datagrams gave mConfigVersion.
  uint64_t mConfigVersionIncarnation = 0;
};

/// @brief What an acknowledged probe proves about a peer.
struct ProbeResult
{
  std::string mAddress;
  TimePoint mProbeSent{};
  int64_t mConfigVersion = 0;
  std::optional<Milliseconds> mStaleness;
  bool mStoreContact = false;
  std::vector<RelayedAck> mRelayedAcks;
  /// Whether the peer has had a proof since its start.
  bool mFreshSinceStart = false;
};

struct MembershipHooks
{
  /// Sends a datagram to a member's address. Must not call back.
  std::function<void(const std::string&, const Datagram&)> mSend;
  /// Called for each change of a member's state. Must not call back.
  std::function<void(const Member&)> mOnChange;
  /// Called for each direct acknowledgement.
  std::function<void(const ProbeResult&)> mOnProbeAck;
  /// Called for each datagram with the sender's configuration version.
  std::function<void(const std::string&, int64_t)> mOnConfigVersion;
  /// Fills the configuration fields of an outgoing datagram.
  std::function<void(Datagram&)> mFillConfigFields;
};

/// @brief Failure detection by randomised probing with indirect probes and
/// suspicion, and gossip of member updates and shared facts.
///
/// A state machine without I/O. Not thread-safe; owned by one duty.
class Membership
{
public:
  /// @brief Precondition: aSelf.mAddress is not empty and all hooks are set.
  /// Errors: InvalidArgument otherwise.
  static Result<Membership> Create(MemberUpdate aSelf,
                                   MembershipOptions aOptions,
                                   MembershipHooks aHooks,
                                   Clock aClock,
                                   Random aRandom);

  /// @brief Replaces the addresses that are probed even while they are dead,
  /// so that both sides of a healed partition find each other again. Known
  /// members are left as they are.
  void SetSeeds(const std::vector<MemberUpdate>& aSeeds);

  /// @brief Sends the next probe and moves time-outs on. Call it each probe
  /// interval; a late call delays detection and does no harm.
  void Tick();

  /// @brief Probes a member out of turn, for example to learn at once
  /// whether it has a new configuration version.
  void ProbeNow(const std::string& aAddress) { SendProbe(aAddress, "", 0); }

  /// @brief Probes all live members out of turn, so that news that must not
  /// wait reaches them at once.
  void ProbeAll();

  /// @brief Handles one decoded datagram.
  void Receive(const Datagram& aDatagram);

  /// @brief Announces that this daemon takes no new callers.
  void SetDraining();

  /// @brief Announces that this daemon leaves, to a few members at once.
  void Leave();

  /// @brief Shares a fact with all members; a higher sequence replaces it.
  void Publish(GossipRecord aFact);

  /// @brief The value of a fact, or nullptr.
  const GossipRecord* FindRecord(const std::string& aTopic,
                                 const std::string& aKey) const;

  /// @brief All facts of one topic.
  std::vector<GossipRecord> Records(const std::string& aTopic) const;

  /// @brief Grows with each fact that is added or replaced, so that readers
  /// can keep what they derived from the facts.
  uint64_t RecordsRevision() const { return mFactRevision; }

  const MemberUpdate& Self() const { return mSelf; }

  /// @brief All known members other than this daemon.
  const std::map<std::string, Member>& Members() const { return mMembers; }

  /// @brief Members that are alive or only suspected, without this daemon.
  std::vector<const Member*> Live() const;

private:
  struct PendingProbe
  {
    std::string mAddress;
    TimePoint mSent{};
    bool mIndirect = false;
    /// Set when this daemon probes for another one.
    std::string mRequester;
    uint64_t mRequesterSequence = 0;
  };

  struct Queued
  {
    std::string mKey;
    unsigned mSends = 0;
  };

  Membership(MemberUpdate aSelf,
             MembershipOptions aOptions,
             MembershipHooks aHooks,
             Clock aClock,
             Random aRandom);

  void ProbeNext();
  bool InScope(const Member& aMember) const;
  void ForgetExpired();
  void SyncNext();
  std::vector<uint64_t> Digest() const;
  void AnswerSync(const Datagram& aDatagram);
  void ExpireProbes();
  void ExpireSuspects();
  void SendProbe(const std::string& aAddress,
                 std::string aRequester,
                 uint64_t aRequesterSequence);
  void RequestIndirect(const std::string& aAddress, uint64_t aSequence);
  void Suspect(const std::string& aAddress);
  void HandleAck(const Datagram& aDatagram);
  bool Merge(const MemberUpdate& aUpdate, bool aAnnounce);
  void MergeSelf(const MemberUpdate& aUpdate);
  bool MergeFact(const GossipRecord& aFact, bool aAnnounce);
  void Announce(const std::string& aAddress);
  void Send(const std::string& aAddress, Datagram aDatagram);
  void Finish(const std::string& aAddress, Datagram aDatagram);
  GossipRecord Outgoing(const std::string& aKey) const;
  unsigned TransmitLimit() const;

  MemberUpdate mSelf;
  MembershipOptions mOptions;
  MembershipHooks mHooks;
  Clock mClock;
  Random mRandom;
  std::map<std::string, Member> mMembers;
  std::vector<std::string> mProbeOrder;
  std::map<uint64_t, PendingProbe> mPending;
  uint64_t mNextSequence = 1;
  std::deque<Queued> mUpdateQueue;
  std::set<std::string> mSeeds;
  uint64_t mTicks = 0;
  TimePoint mLastSync{};
  bool mSyncAgain = true;
  std::map<std::string, GossipRecord> mRecords;
  std::map<std::string, TimePoint> mFactExpiry;
  std::deque<Queued> mFactQueue;
  uint64_t mFactRevision = 0;
};

} // namespace agatetide::coordination
