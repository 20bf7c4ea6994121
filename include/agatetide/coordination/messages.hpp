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
  Suspect,
  Dead,
  Left,
};

/// @brief What one daemon tells of another (or of itself).
struct MemberUpdate
{
  std::string mAddress;
  std::string mAvailabilityZone;
  std::string mRegion;
  std::string mCallerAddress;
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

/// @brief A small fact that daemons share, such as a replica's load or a
/// quarantined request. The newest sequence of a (topic, key) wins. Records
/// expire unless they are published again.
struct GossipRecord
{
  std::string mTopic;
  std::string mKey;
  std::string mValue;
  uint64_t mSequence = 0;
  /// Time until the fact expires, counted anew by each daemon.
  uint64_t mLifetimeMs = 600000;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTopic, mKey, mValue, mSequence, mLifetimeMs);
  }
};

/// @brief Tells that a configured host had the sender's configuration version
/// and no store contact some time ago.
struct RelayedAck
{
  /// Position in the sorted list of hosts of the sender's version.
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
  ProbeRequest,
  /// Asks for what differs from the digest.
  SyncRequest,
  /// Answers a SyncRequest; carries only updates and facts.
  SyncReply,
};

/// @brief The one datagram of the membership protocol.
struct Datagram
{
  DatagramKind mKind = DatagramKind::Probe;
  uint64_t mSequence = 0;
  /// Peer to probe, for ProbeRequest.
  std::string mTarget;
  MemberUpdate mSender;
  int64_t mConfigVersion = 0;
  /// Age of the sender's proof that its version was the store's head;
  /// negative when it has none.
  int64_t mStalenessMs = -1;
  /// Whether the store answered the sender within the trust time.
  bool mStoreContact = false;
  std::vector<RelayedAck> mRelayedAcks;
  /// Whether the sender has had a proof since its start.
  bool mFreshSinceStart = false;
  std::vector<MemberUpdate> mUpdates;
  std::vector<GossipRecord> mRecords;
  /// One hash for each bucket of members and facts, for SyncRequest.
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

/// @brief Errors: InvalidArgument for a wrong size, magic, version or
/// authentication code, and for a body that does not decode.
template<class Message>
Result<Message> DecodeMessage(std::string_view aBytes,
                              std::string_view aSecret);

/// @brief A request between daemons over TCP.
struct PeerRequest
{
  /// "config", "answer", "usage" or "rollout".
  std::string mKind;
  std::string mKey;
  int64_t mVersion = 0;
  std::string mBody;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKind, mKey, mVersion, mBody);
  }
};

struct PeerReply
{
  bool mFound = false;
  int64_t mVersion = 0;
  std::vector<ConfigChange> mChanges;
  std::string mBody;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFound, mVersion, mChanges, mBody);
  }
};

} // namespace agatetide::coordination
