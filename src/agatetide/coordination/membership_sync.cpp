#include "agatetide/base/encoding.hpp"
#include "agatetide/coordination/member_states.hpp"
#include "agatetide/coordination/membership.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

/// The part of Membership that compares hashes of members and records with a
/// peer and exchanges what differs (anti-entropy).
namespace agatetide::coordination {

namespace {

/// Number of hash buckets that a sync compares.
constexpr size_t kSyncBuckets = 64;

size_t BucketOf(const std::string& aKey)
{
  return Hash64(aKey) % kSyncBuckets;
}

/// The hashes of a bucket are added up, so their order does not matter.
uint64_t MemberHash(const MemberUpdate& aInfo)
{
  const std::string text = aInfo.mAddress + "\n" +
                           std::to_string(aInfo.mIncarnation) +
                           (aInfo.mDraining ? "\nd" : "");
  return Hash64(text);
}

uint64_t RecordHash(const std::string& aKey, const GossipRecord& aRecord)
{
  return Hash64(aKey + "\n" + std::to_string(aRecord.mSequence));
}

} // namespace

/// Anti-entropy: gossip sends each update a limited number of times, so a
/// member that joined later or missed datagrams requests what it lacks from a
/// random peer.
void Membership::RequestSync()
{
  if (!mSyncAtNextTick && mClock() - mLastSync < mOptions.mSyncInterval) {
    return;
  }
  const auto live = LiveMembers();
  std::vector<const Member*> peers;
  std::copy_if(
    live.begin(),
    live.end(),
    std::back_inserter(peers),
    [](const Member* aMember) { return aMember->mInfo.mIncarnation != 0; });
  if (peers.empty()) {
    return;
  }
  mSyncAtNextTick = false;
  mLastSync = mClock();
  Datagram request;
  request.mKind = DatagramKind::SyncRequest;
  request.mSequence = mNextSequence++;
  request.mDigest = Digest();
  SendWithoutGossip(peers[UniformBelow(mRandom, peers.size())]->mInfo.mAddress,
                    std::move(request));
}

std::vector<uint64_t> Membership::Digest() const
{
  std::vector<uint64_t> digest(kSyncBuckets);
  for (const auto& [address, member] : mMembers) {
    // Dead members are left out because daemons remove them at different times,
    // and the hash leaves out the state because a suspicion is soon refuted or
    // ends in death. Neither should cause the bucket to be exchanged.
    if (IsLive(member) && member.mInfo.mIncarnation != 0) {
      digest[BucketOf(address)] += MemberHash(member.mInfo);
    }
  }
  digest[BucketOf(mSelf.mAddress)] += MemberHash(mSelf);
  for (const auto& [key, record] : mRecords) {
    digest[BucketOf(key)] += RecordHash(key, record);
  }
  return digest;
}

void Membership::AnswerSync(const Datagram& aDatagram)
{
  const std::vector<uint64_t> own = Digest();
  if (aDatagram.mDigest.size() != own.size()) {
    return;
  }
  std::vector<std::string> members;
  std::vector<std::string> records;
  for (const auto& [address, member] : mMembers) {
    const size_t bucket = BucketOf(address);
    if (own[bucket] != aDatagram.mDigest[bucket] &&
        member.mInfo.mIncarnation != 0 &&
        address != aDatagram.mSender.mAddress) {
      members.push_back(address);
    }
  }
  for (const auto& [key, record] : mRecords) {
    const size_t bucket = BucketOf(key);
    if (own[bucket] != aDatagram.mDigest[bucket]) {
      records.push_back(key);
    }
  }
  // Random, so that repeated requests cover everything despite the limit.
  const auto keepRandom = [&](std::vector<std::string>& aKeys, size_t aCount) {
    for (size_t i = 0; i < std::min(aCount, aKeys.size()); ++i) {
      std::swap(aKeys[i], aKeys[i + UniformBelow(mRandom, aKeys.size() - i)]);
    }
    aKeys.resize(std::min(aCount, aKeys.size()));
  };
  keepRandom(members, mOptions.mMaxSyncItems / 2);
  keepRandom(records, mOptions.mMaxSyncItems - members.size());
  size_t nextMember = 0;
  size_t nextRecord = 0;
  while (nextMember < members.size() || nextRecord < records.size()) {
    Datagram reply;
    reply.mKind = DatagramKind::SyncReply;
    reply.mSequence = aDatagram.mSequence;
    while (nextMember < members.size() &&
           reply.mUpdates.size() < mOptions.mMaxUpdatesPerMessage) {
      reply.mUpdates.push_back(mMembers.at(members[nextMember++]).mInfo);
    }
    while (nextRecord < records.size() &&
           reply.mRecords.size() < mOptions.mMaxRecordsPerMessage) {
      reply.mRecords.push_back(RecordToSend(records[nextRecord++]));
    }
    SendWithoutGossip(aDatagram.mSender.mAddress, std::move(reply));
  }
}

} // namespace agatetide::coordination
