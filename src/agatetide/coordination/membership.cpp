#include "agatetide/coordination/membership.hpp"

#include "agatetide/base/encoding.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace agatetide::coordination {

namespace {

/// Number of hash buckets that a sync compares.
constexpr size_t kSyncBuckets = 64;
constexpr uint64_t kMaxRecordLifetimeMs = uint64_t{ 7 } * 24 * 3600 * 1000;

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

std::string RecordKey(const std::string& aTopic, const std::string& aKey)
{
  return aTopic + "\n" + aKey;
}

/// Whether aNew replaces aOld: a higher incarnation always does; within an
/// incarnation, only a later state does (alive, suspect, dead, left).
bool Replaces(const MemberUpdate& aNew, const MemberUpdate& aOld)
{
  if (aNew.mIncarnation != aOld.mIncarnation) {
    return aNew.mIncarnation > aOld.mIncarnation;
  }
  if (aNew.mState != aOld.mState) {
    return aNew.mState > aOld.mState;
  }
  return aNew.mDraining && !aOld.mDraining;
}

bool IsLive(const Member& aMember)
{
  return aMember.mInfo.mState == MemberState::Alive ||
         aMember.mInfo.mState == MemberState::Suspect;
}

} // namespace

Result<Membership> Membership::Create(MemberUpdate aSelf,
                                      MembershipOptions aOptions,
                                      MembershipHooks aHooks,
                                      Clock aClock,
                                      Random aRandom)
{
  if (aSelf.mAddress.empty() || !aHooks.mSend || !aHooks.mOnChange ||
      !aHooks.mOnProbeAck || !aHooks.mFillConfigFields) {
    return Error{
      ErrorKind::InvalidArgument,
      "membership requires an address and all hooks",
      "set MemberUpdate::mAddress and the members of MembershipHooks"
    };
  }
  return Membership(std::move(aSelf),
                    aOptions,
                    std::move(aHooks),
                    std::move(aClock),
                    std::move(aRandom));
}

Membership::Membership(MemberUpdate aSelf,
                       MembershipOptions aOptions,
                       MembershipHooks aHooks,
                       Clock aClock,
                       Random aRandom)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
  , mHooks(std::move(aHooks))
  , mClock(std::move(aClock))
  , mRandom(std::move(aRandom))
{
}

void Membership::SetSeeds(const std::vector<MemberUpdate>& aSeeds)
{
  mSeeds.clear();
  for (const MemberUpdate& seed : aSeeds) {
    mSeeds.insert(seed.mAddress);
    if (seed.mAddress != mSelf.mAddress && !mMembers.contains(seed.mAddress)) {
      // Incarnation 0, so that any update of the member replaces this entry.
      Member member{ seed, mClock(), TimePoint{}, 0, 0 };
      member.mInfo.mIncarnation = 0;
      member.mInfo.mState = MemberState::Suspect;
      mMembers.emplace(seed.mAddress, std::move(member));
    }
  }
}

void Membership::Tick()
{
  ExpireProbes();
  ExpireSuspects();
  RemoveExpired();
  ProbeNext();
  RequestSync();
  ++mTickCount;
}

/// Whether the probe of this tick may go to a member. With probes per zone, a
/// daemon mostly probes its own zone and learns about the other zones from the
/// updates that the few cross-zone probes carry.
bool Membership::InScope(const Member& aMember) const
{
  if (mOptions.mCrossZoneProbePeriod == 0) {
    return true;
  }
  const bool otherZone = mTickCount % mOptions.mCrossZoneProbePeriod == 0;
  const std::string& zone = aMember.mInfo.mAvailabilityZone;
  // A seed from the settings has no zone until an update about it arrives.
  return zone.empty() || (zone != mSelf.mAvailabilityZone) == otherZone;
}

void Membership::ProbeNext()
{
  const auto canProbe = [&](const std::string& aAddress) {
    const auto member = mMembers.find(aAddress);
    return member != mMembers.end() && InScope(member->second) &&
           member->second.mInfo.mState != MemberState::Left;
  };
  auto next = std::find_if(mProbeOrder.begin(), mProbeOrder.end(), canProbe);
  if (next == mProbeOrder.end()) {
    // Every member in scope was probed once: start a new round for them, ahead
    // of the members out of scope that are still to be probed.
    std::vector<std::string> added;
    for (const auto& [address, member] : mMembers) {
      if (canProbe(address)) {
        added.push_back(address);
      }
    }
    for (size_t i = added.size(); i > 1; --i) {
      std::swap(added[i - 1], added[UniformBelow(mRandom, i)]);
    }
    std::erase_if(mProbeOrder, [&](const std::string& aAddress) {
      return !mMembers.contains(aAddress);
    });
    mProbeOrder.insert(mProbeOrder.begin(), added.begin(), added.end());
    next = mProbeOrder.begin();
    if (added.empty()) {
      return;
    }
  }
  const std::string address = *next;
  mProbeOrder.erase(next);
  SendProbe(address, "", 0);
}

void Membership::SendProbe(const std::string& aAddress,
                           std::string aRequester,
                           uint64_t aRequesterSequence)
{
  Datagram probe;
  probe.mKind = DatagramKind::Probe;
  probe.mSequence = mNextSequence++;
  mPendingProbes[probe.mSequence] = {
    aAddress, mClock(), false, std::move(aRequester), aRequesterSequence
  };
  Send(aAddress, std::move(probe));
}

void Membership::ExpireProbes()
{
  const TimePoint now = mClock();
  std::vector<std::pair<std::string, uint64_t>> indirect;
  std::vector<std::string> failed;
  for (auto probe = mPendingProbes.begin(); probe != mPendingProbes.end();) {
    PendingProbe& pending = probe->second;
    const Duration age = now - pending.mSent;
    if (!pending.mIndirectRequested && pending.mRequester.empty() &&
        age >= mOptions.mProbeTimeout) {
      pending.mIndirectRequested = true;
      indirect.emplace_back(pending.mAddress, probe->first);
    }
    if (age >= 2 * mOptions.mProbeTimeout) {
      if (pending.mRequester.empty()) {
        failed.push_back(pending.mAddress);
      }
      probe = mPendingProbes.erase(probe);
    } else {
      ++probe;
    }
  }
  for (const auto& [address, sequence] : indirect) {
    RequestIndirectProbes(address, sequence);
  }
  for (const std::string& address : failed) {
    Suspect(address);
  }
}

void Membership::RequestIndirectProbes(const std::string& aAddress,
                                       uint64_t aSequence)
{
  const auto target = mMembers.find(aAddress);
  if (target == mMembers.end() || !IsLive(target->second)) {
    return; // Dead members are probed only to detect their return.
  }
  std::vector<std::string> relays;
  for (const Member* member : LiveMembers()) {
    if (member->mInfo.mAddress != aAddress) {
      relays.push_back(member->mInfo.mAddress);
    }
  }
  for (unsigned i = 0; i < mOptions.mIndirectProbeCount && !relays.empty();
       ++i) {
    const size_t index = UniformBelow(mRandom, relays.size());
    Datagram request;
    request.mKind = DatagramKind::IndirectProbeRequest;
    request.mSequence = aSequence;
    request.mTarget = aAddress;
    Send(relays[index], std::move(request));
    relays.erase(relays.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void Membership::Suspect(const std::string& aAddress)
{
  const auto found = mMembers.find(aAddress);
  if (found == mMembers.end() ||
      found->second.mInfo.mState != MemberState::Alive) {
    return;
  }
  MemberUpdate update = found->second.mInfo;
  update.mState = MemberState::Suspect;
  Merge(update, true);
}

void Membership::ExpireSuspects()
{
  const TimePoint now = mClock();
  std::vector<MemberUpdate> dead;
  for (auto entry = mMembers.begin(); entry != mMembers.end();) {
    const Member& member = entry->second;
    const Duration age = now - member.mStateSince;
    if (member.mInfo.mState == MemberState::Suspect &&
        age >= mOptions.mSuspicionTimeout) {
      dead.push_back(member.mInfo);
      dead.back().mState = MemberState::Dead;
    }
    ++entry;
  }
  for (const MemberUpdate& update : dead) {
    Merge(update, true);
  }
}

void Membership::RemoveExpired()
{
  const TimePoint now = mClock();
  std::erase_if(mMembers, [&](const auto& aItem) {
    return !IsLive(aItem.second) && !mSeeds.contains(aItem.first) &&
           now - aItem.second.mStateSince >= mOptions.mRemovalDelay;
  });
  std::erase_if(mRecordExpiry, [&](const auto& aItem) {
    if (aItem.second > now) {
      return false;
    }
    mRecords.erase(aItem.first);
    std::erase_if(mRecordQueue, [&](const QueuedItem& aQueued) {
      return aQueued.mKey == aItem.first;
    });
    return true;
  });
}

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

void Membership::Receive(const Datagram& aDatagram)
{
  Merge(aDatagram.mSender, true);
  const bool announce = aDatagram.mKind != DatagramKind::SyncReply;
  bool learned = false;
  for (const MemberUpdate& update : aDatagram.mUpdates) {
    learned = Merge(update, announce) || learned;
  }
  for (const GossipRecord& record : aDatagram.mRecords) {
    learned = MergeRecord(record, announce) || learned;
  }
  const auto sender = mMembers.find(aDatagram.mSender.mAddress);
  if (sender != mMembers.end()) {
    // A new incarnation may have a lower version, after a restart, or the same
    // one, after it refuted a suspicion.
    const uint64_t incarnation = aDatagram.mSender.mIncarnation;
    Member& member = sender->second;
    if (incarnation > member.mConfigVersionIncarnation) {
      member.mConfigVersionIncarnation = incarnation;
      member.mConfigVersion = aDatagram.mConfigVersion;
    } else if (incarnation == member.mConfigVersionIncarnation) {
      member.mConfigVersion =
        std::max(member.mConfigVersion, aDatagram.mConfigVersion);
    }
  }
  if (mHooks.mOnConfigVersion) {
    mHooks.mOnConfigVersion(aDatagram.mSender.mAddress,
                            aDatagram.mConfigVersion);
  }
  switch (aDatagram.mKind) {
    case DatagramKind::Probe: {
      Datagram ack;
      ack.mKind = DatagramKind::ProbeAck;
      ack.mSequence = aDatagram.mSequence;
      // Tells a process that restarted with its clock set back which
      // incarnation it has to exceed.
      if (sender != mMembers.end() &&
          sender->second.mInfo.mIncarnation > aDatagram.mSender.mIncarnation) {
        ack.mUpdates.push_back(sender->second.mInfo);
      }
      Send(aDatagram.mSender.mAddress, std::move(ack));
      return;
    }
    case DatagramKind::IndirectProbeRequest:
      SendProbe(
        aDatagram.mTarget, aDatagram.mSender.mAddress, aDatagram.mSequence);
      return;
    case DatagramKind::ProbeAck:
      HandleAck(aDatagram);
      return;
    case DatagramKind::SyncRequest:
      AnswerSync(aDatagram);
      return;
    case DatagramKind::SyncReply:
      mSyncAtNextTick = mSyncAtNextTick || learned;
  }
}

void Membership::HandleAck(const Datagram& aDatagram)
{
  const auto found = mPendingProbes.find(aDatagram.mSequence);
  if (found == mPendingProbes.end()) {
    return;
  }
  const PendingProbe pending = found->second;
  const bool direct = aDatagram.mSender.mAddress == pending.mAddress;
  if (!direct && aDatagram.mTarget != pending.mAddress) {
    return; // The acknowledgement is for another probe.
  }
  mPendingProbes.erase(found);
  const auto member = mMembers.find(pending.mAddress);
  if (member != mMembers.end()) {
    member->second.mLastAck = mClock();
  }
  if (!pending.mRequester.empty()) {
    Datagram relayed;
    relayed.mKind = DatagramKind::ProbeAck;
    relayed.mSequence = pending.mRequesterSequence;
    relayed.mTarget = pending.mAddress;
    Send(pending.mRequester, std::move(relayed));
  }
  if (direct) {
    ProbeResult result;
    result.mAddress = pending.mAddress;
    result.mProbeSent = pending.mSent;
    result.mConfigVersion = aDatagram.mConfigVersion;
    result.mStoreContact = aDatagram.mStoreContact;
    result.mRelayedAcks = aDatagram.mRelayedAcks;
    result.mFreshSinceStart = aDatagram.mFreshSinceStart;
    if (aDatagram.mStalenessMs >= 0) {
      result.mStaleness = Milliseconds(aDatagram.mStalenessMs);
    }
    mHooks.mOnProbeAck(result);
  }
}

/// Returns whether the member was unknown. aAnnounce is false for updates from
/// a sync, which other members already know.
bool Membership::Merge(const MemberUpdate& aUpdate, bool aAnnounce)
{
  if (aUpdate.mAddress.empty()) {
    return false;
  }
  if (aUpdate.mAddress == mSelf.mAddress) {
    RefuteReport(aUpdate);
    return false;
  }
  const auto found = mMembers.find(aUpdate.mAddress);
  if (found == mMembers.end()) {
    if (aUpdate.mState == MemberState::Left ||
        aUpdate.mState == MemberState::Dead) {
      return false;
    }
    Member member{ aUpdate, mClock(), TimePoint{}, 0, 0 };
    const auto added =
      mMembers.emplace(aUpdate.mAddress, std::move(member)).first;
    if (aAnnounce) {
      QueueUpdate(aUpdate.mAddress);
    }
    mHooks.mOnChange(added->second);
    return true;
  }
  if (!Replaces(aUpdate, found->second.mInfo)) {
    return false;
  }
  found->second.mInfo = aUpdate;
  found->second.mStateSince = mClock();
  if (aAnnounce) {
    QueueUpdate(aUpdate.mAddress);
  }
  mHooks.mOnChange(found->second);
  return false;
}

/// Refutes a wrong report about this daemon with a higher incarnation. A report
/// with a higher incarnation than mSelf has is about an earlier process at this
/// address whose clock was ahead.
void Membership::RefuteReport(const MemberUpdate& aUpdate)
{
  const bool wrong = aUpdate.mIncarnation > mSelf.mIncarnation ||
                     (aUpdate.mState != mSelf.mState &&
                      aUpdate.mIncarnation == mSelf.mIncarnation);
  if (!wrong || mSelf.mState == MemberState::Left) {
    return;
  }
  mSelf.mIncarnation = aUpdate.mIncarnation + 1;
}

void Membership::QueueUpdate(const std::string& aAddress)
{
  std::erase_if(mUpdateQueue, [&](const QueuedItem& aItem) {
    return aItem.mKey == aAddress;
  });
  mUpdateQueue.push_front({ aAddress, 0 });
}

void Membership::Publish(GossipRecord aRecord)
{
  MergeRecord(aRecord, true);
}

bool Membership::MergeRecord(const GossipRecord& aRecord, bool aAnnounce)
{
  const std::string key = RecordKey(aRecord.mTopic, aRecord.mKey);
  const auto found = mRecords.find(key);
  const bool known = found != mRecords.end();
  if ((known && found->second.mSequence >= aRecord.mSequence) ||
      (!known && mRecords.size() >= mOptions.mMaxRecords) ||
      aRecord.mLifetimeMs == 0) {
    return false;
  }
  mRecords[key] = aRecord;
  ++mRecordsRevision;
  mRecordExpiry[key] = mClock() + Milliseconds(std::min(aRecord.mLifetimeMs,
                                                        kMaxRecordLifetimeMs));
  std::erase_if(mRecordQueue,
                [&](const QueuedItem& aItem) { return aItem.mKey == key; });
  if (aAnnounce) {
    mRecordQueue.push_front({ key, 0 });
  }
  return !known;
}

/// Returns a record with its remaining lifetime.
GossipRecord Membership::RecordToSend(const std::string& aKey) const
{
  GossipRecord record = mRecords.at(aKey);
  const Duration remaining = mRecordExpiry.at(aKey) - mClock();
  record.mLifetimeMs = static_cast<uint64_t>(std::max<int64_t>(
    0, std::chrono::duration_cast<Milliseconds>(remaining).count()));
  return record;
}

const GossipRecord* Membership::FindRecord(const std::string& aTopic,
                                           const std::string& aKey) const
{
  const auto found = mRecords.find(RecordKey(aTopic, aKey));
  return found == mRecords.end() ? nullptr : &found->second;
}

std::vector<GossipRecord> Membership::Records(const std::string& aTopic) const
{
  std::vector<GossipRecord> records;
  for (const auto& [key, record] : mRecords) {
    if (record.mTopic == aTopic) {
      records.push_back(record);
    }
  }
  return records;
}

void Membership::ProbeAll()
{
  for (const Member* member : LiveMembers()) {
    ProbeNow(member->mInfo.mAddress);
  }
}

void Membership::SetDraining()
{
  mSelf.mDraining = true;
}

void Membership::Leave()
{
  mSelf.mState = MemberState::Left;
  for (const Member* member : LiveMembers()) {
    Datagram probe;
    probe.mKind = DatagramKind::Probe;
    probe.mSequence = mNextSequence++;
    Send(member->mInfo.mAddress, std::move(probe));
  }
}

std::vector<const Member*> Membership::LiveMembers() const
{
  std::vector<const Member*> live;
  for (const auto& [address, member] : mMembers) {
    if (IsLive(member)) {
      live.push_back(&member);
    }
  }
  return live;
}

/// How often each member sends an update on. This reaches nearly all members;
/// anti-entropy covers the rest.
unsigned Membership::TransmitLimit() const
{
  return 3 + static_cast<unsigned>(std::bit_width(mMembers.size() + 1));
}

void Membership::Send(const std::string& aAddress, Datagram aDatagram)
{
  // Tell a suspect or dead member about the report in each datagram; otherwise
  // it could not refute the report once its gossip has ended.
  const auto target = mMembers.find(aAddress);
  if (target != mMembers.end() &&
      target->second.mInfo.mState != MemberState::Alive &&
      target->second.mInfo.mIncarnation != 0) {
    aDatagram.mUpdates.push_back(target->second.mInfo);
  }
  const unsigned limit = TransmitLimit();
  const auto appendQueued =
    [&](std::deque<QueuedItem>& aQueue, unsigned aMaxItems, auto aAppend) {
      for (QueuedItem& item : aQueue) {
        if (aMaxItems == 0) {
          break;
        }
        --aMaxItems;
        ++item.mSendCount;
        aAppend(item.mKey);
      }
      std::stable_sort(aQueue.begin(),
                       aQueue.end(),
                       [](const QueuedItem& aLeft, const QueuedItem& aRight) {
                         return aLeft.mSendCount < aRight.mSendCount;
                       });
      while (!aQueue.empty() && aQueue.back().mSendCount >= limit) {
        aQueue.pop_back();
      }
    };
  // A member that is wrongly reported as suspect or dead can refute this only
  // if it is told; after a partition, the queued updates have been dropped.
  const auto receiver = mMembers.find(aAddress);
  if (receiver != mMembers.end() &&
      receiver->second.mInfo.mState != MemberState::Alive) {
    aDatagram.mUpdates.push_back(receiver->second.mInfo);
  }
  appendQueued(
    mUpdateQueue, mOptions.mMaxUpdatesPerMessage, [&](const std::string& aKey) {
      const auto found = mMembers.find(aKey);
      if (found != mMembers.end()) {
        aDatagram.mUpdates.push_back(found->second.mInfo);
      }
    });
  appendQueued(
    mRecordQueue, mOptions.mMaxRecordsPerMessage, [&](const std::string& aKey) {
      aDatagram.mRecords.push_back(RecordToSend(aKey));
    });
  SendWithoutGossip(aAddress, std::move(aDatagram));
}

void Membership::SendWithoutGossip(const std::string& aAddress,
                                   Datagram aDatagram)
{
  aDatagram.mSender = mSelf;
  mHooks.mFillConfigFields(aDatagram);
  mHooks.mSend(aAddress, aDatagram);
}

} // namespace agatetide::coordination
