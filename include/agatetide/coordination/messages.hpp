#pragma once

#include "agatetide/coordination/config_log.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace agatetide::coordination {

enum class MemberState : uint8_t
{
  Alive,
  /// Did not acknowledge a probe; becomes Dead unless it refutes that in time.
  Suspect,
  Dead,
  /// Announced that it leaves.
  Left,
};

/// @brief State of a daemon as reported by itself or by another daemon.
struct MemberUpdate
{
  std::string mAddress;
  std::string mAvailabilityZone;
  std::string mRegion;
  /// Address on which the daemon serves callers.
  std::string mCallerAddress;
  /// Identifies one start of the daemon; later starts have a higher one.
  uint64_t mIncarnation = 0;
  MemberState mState = MemberState::Alive;
  bool mDraining = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAddress,
             mAvailabilityZone,
             mRegion,
             mCallerAddress,
             mIncarnation,
             mState,
             mDraining);
  }
};

/// @brief A small key-value record that gossip spreads to all daemons, such as
/// a replica's load or a quarantined request. The highest sequence of a topic
/// and key wins. Records expire unless they are published again.
struct GossipRecord
{
  std::string mTopic;
  std::string mKey;
  std::string mValue;
  uint64_t mSequence = 0;
  /// Remaining time until the record expires. Each daemon counts it from when
  /// it received the record.
  uint64_t mLifetimeMs = 600000;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTopic, mKey, mValue, mSequence, mLifetimeMs);
  }
};

/// @brief A probe acknowledgement of another host that the sender passes on:
/// mAgeMs ago, the host had the sender's configuration version and no store
/// contact.
struct RelayedAck
{
  /// Position in the sorted host list of the sender's configuration version.
  uint16_t mHostIndex = 0;
  uint16_t mAgeMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHostIndex, mAgeMs);
  }
};

enum class DatagramKind : uint8_t
{
  Probe,
  ProbeAck,
  IndirectProbeRequest,
  /// Requests the members and records of the buckets that differ from mDigest.
  SyncRequest,
  /// Replies to a SyncRequest; carries only updates and records.
  SyncReply,
};

/// @brief A datagram of the membership protocol.
struct Datagram
{
  DatagramKind mKind = DatagramKind::Probe;
  uint64_t mSequence = 0;
  /// Peer to probe in an IndirectProbeRequest; in a ProbeAck that replies to an
  /// indirect probe, the peer that acknowledged.
  std::string mTarget;
  MemberUpdate mSender;
  int64_t mConfigVersion = 0;
  /// Upper bound of the staleness of the sender's configuration copy; negative
  /// if it knows none.
  int64_t mStalenessMs = -1;
  /// Whether the store answered the sender within the read lease duration.
  bool mStoreContact = false;
  std::vector<RelayedAck> mRelayedAcks;
  /// Whether the sender's copy was known to be fresh at some time since its
  /// start.
  bool mFreshSinceStart = false;
  std::vector<MemberUpdate> mUpdates;
  std::vector<GossipRecord> mRecords;
  /// One hash per bucket of members and records, for SyncRequest.
  std::vector<uint64_t> mDigest;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKind,
             mSequence,
             mTarget,
             mSender,
             mConfigVersion,
             mStalenessMs,
             mStoreContact,
             mRelayedAcks,
             mFreshSinceStart,
             mUpdates,
             mRecords,
             mDigest);
  }
};

/// @brief Serialises and authenticates a message with the cluster secret.
template<class Message>
std::string EncodeMessage(const Message& aMessage, std::string_view aSecret);

/// @brief Authenticates and deserialises a message.
/// Errors: InvalidArgument for a wrong size, magic, version or authentication
/// code, and for a body that does not decode.
template<class Message>
Result<Message> DecodeMessage(std::string_view aBytes,
                              std::string_view aSecret);

/// @brief A request between daemons over TCP.
struct PeerRequest
{
  /// "config", "usage", "answer", "collect" or "cancel_step".
  std::string mKind;
  /// The client account, for "collect" and "cancel_step"; otherwise empty.
  std::string mKey;
  /// The sender's configuration version, for "config"; otherwise 0.
  int64_t mVersion = 0;
  /// The encoded usage table, call or request, or the step id for
  /// "cancel_step"; empty for "config".
  std::string mBody;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKind, mKey, mVersion, mBody);
  }
};

/// @brief The reply to a PeerRequest; fields that do not apply keep their
/// defaults.
struct PeerReply
{
  /// False if the daemon cannot reply, for example because it does not have the
  /// changes or the step. Always false for "cancel_step".
  bool mFound = false;
  /// The replying daemon's configuration version, for "config".
  int64_t mVersion = 0;
  /// The changes after the requested version, for "config".
  std::vector<ConfigChange> mChanges;
  /// The encoded response, for "answer" and "collect".
  std::string mBody;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFound, mVersion, mChanges, mBody);
  }
};

} // namespace agatetide::coordination
