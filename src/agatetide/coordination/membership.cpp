#include "agatetide/coordination/membership.hpp"

#include "agatetide/base/encoding.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace agatetide::coordination {

namespace {

constexpr size_t kSyncBuckets = 64;
constexpr uint64_t kMaxFactLifetimeMs = uint64_t{ 7 } * 24 * 3600 * 1000;

size_t Bucket(const std::string& aKey)
{
  return Hash64(aKey) % kSyncBuckets;
}

/// Summed over a bucket, so the order does not matter.
uint64_t MemberHash(const MemberUpdate& aInfo)
{
  const std::string text = aInfo.mAddress + "\n" +
                           std::to_string(aInfo.mIncarnation) +
                           (aInfo.mDraining ? "\nd" : "");
  return Hash64(text);
}

uint64_t FactHash(const std::string& aKey, const GossipRecord& aFact)
{
  return Hash64(aKey + "\n" + std::to_string(aFact.mSequence));
}

std::string FactKey(const std::string& aTopic, const std::string& aKey)
{
  return aTopic + "\n" + aKey;
}

/// Whether aNew replaces aOld: a higher incarnation always does; within one
/// incarnation a state can only get worse (alive, suspect, dead, left).
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
      "membership needs an address and all hooks",
      "set MemberUpdate::mAddress and each member of MembershipHooks"
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
      // Incarnation 0: any word from the member itself replaces this entry.
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
  ForgetExpired();
  ProbeNext();
  SyncNext();
  ++mTicks;
}

/// With zone scope, a daemon watches its own zone closely and learns of the
/// others from the summaries that a few probes between zones carry.
bool Membership::InScope(const Member& aMember) const
{
  if (mOptions.mProbesPerCrossZoneProbe == 0) {
    return true;
  }
  const bool otherZone = mTicks % mOptions.mProbesPerCrossZoneProbe == 0;
  const std::string& zone = aMember.mInfo.mAvailabilityZone;
  // The zone of a seed from the settings is not known yet.
  return zone.empty() || (zone != mSelf.mAvailabilityZone) == otherZone;
}

void Membership::ProbeNext()
{
  const auto usable = [&](const std::string& aAddress) {
    const auto member = mMembers.find(aAddress);
    return member != mMembers.end() && InScope(member->second) &&
           member->second.mInfo.mState != MemberState::Left;
  };
  auto next = std::find_if(mProbeOrder.begin(), mProbeOrder.end(), usable);
  if (next == mProbeOrder.end()) {
    // Each member in scope was probed once; the rest of the round stands.
    std::vector<std::string> added;
    for (const auto& [address, member] : mMembers) {
      if (usable(address)) {
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
  mPending[probe.mSequence] = {
    aAddress, mClock(), false, std::move(aRequester), aRequesterSequence
  };
  Send(aAddress, std::move(probe));
}

void Membership::ExpireProbes()
{
  const TimePoint now = mClock();
  std::vector<std::pair<std::string, uint64_t>> indirect;
  std::vector<std::string> failed;
  for (auto probe = mPending.begin(); probe != mPending.end();) {
    PendingProbe& pending = probe->second;
    const Duration age = now - pending.mSent;
    if (!pending.mIndirect && pending.mRequester.empty() &&
        age >= mOptions.mProbeTimeout) {
      pending.mIndirect = true;
      indirect.emplace_back(pending.mAddress, probe->first);
    }
    if (age >= 2 * mOptions.mProbeTimeout) {
      if (pending.mRequester.empty()) {
        failed.push_back(pending.mAddress);
      }
      probe = mPending.erase(probe);
    } else {
      ++probe;
    }
  }
  for (const auto& [address, sequence] : indirect) {
    RequestIndirect(address, sequence);
  }
  for (const std::string& address : failed) {
    Suspect(address);
  }
}

void Membership::RequestIndirect(const std::string& aAddress,
                                 uint64_t aSequence)
{
  const auto target = mMembers.find(aAddress);
  if (target == mMembers.end() || !IsLive(target->second)) {
    return; // Dead members are probed only to find them again.
  }
  std::vector<std::string> helpers;
  for (const Member* member : Live()) {
    if (member->mInfo.mAddress != aAddress) {
      helpers.push_back(member->mInfo.mAddress);
    }
  }
  for (unsigned i = 0; i < mOptions.mIndirectProbeCount && !helpers.empty();
       ++i) {
    const size_t pick = UniformBelow(mRandom, helpers.size());
    Datagram request;
    request.mKind = DatagramKind::ProbeRequest;
    request.mSequence = aSequence;
    request.mTarget = aAddress;
    Send(helpers[pick], std::move(request));
    helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(pick));
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

void Membership::ForgetExpired()
{
  const TimePoint now = mClock();
  std::erase_if(mMembers, [&](const auto& aItem) {
    return !IsLive(aItem.second) && !mSeeds.contains(aItem.first) &&
           now - aItem.second.mStateSince >= mOptions.mRemovalDelay;
  });
  std::erase_if(mFactExpiry, [&](const auto& aItem) {
    if (aItem.second > now) {
      return false;
    }
    mRecords.erase(aItem.first);
    std::erase_if(mFactQueue, [&](const Queued& aQueued) {
      return aQueued.mKey == aItem.first;
    });
    return true;
  });
}

/// Gossip sends each update a limited number of times, so a member that
/// joined later or missed datagrams pulls what it lacks from a random peer.
void Membership::SyncNext()
{
  if (!mSyncAgain && mClock() - mLastSync < mOptions.mSyncInterval) {
    return;
  }
  const auto live = Live();
  std::vector<const Member*> known;
  std::copy_if(
    live.begin(),
    live.end(),
    std::back_inserter(known),
    [](const Member* aMember) { return aMember->mInfo.mIncarnation != 0; });
  if (known.empty()) {
    return;
  }
  mSyncAgain = false;
  mLastSync = mClock();
  Datagram request;
  request.mKind = DatagramKind::SyncRequest;
  request.mSequence = mNextSequence++;
  request.mDigest = Digest();
  Finish(known[UniformBelow(mRandom, known.size())]->mInfo.mAddress,
         std::move(request));
}

std::vector<uint64_t> Membership::Digest() const
{
  std::vector<uint64_t> digest(kSyncBuckets);
  for (const auto& [address, member] : mMembers) {
    // A suspicion passes or ends in death, and dead members are forgotten at
    // different times; neither is a reason to exchange the bucket.
    if (IsLive(member) && member.mInfo.mIncarnation != 0) {
      digest[Bucket(address)] += MemberHash(member.mInfo);
    }
  }
  digest[Bucket(mSelf.mAddress)] += MemberHash(mSelf);
  for (const auto& [key, fact] : mRecords) {
    digest[Bucket(key)] += FactHash(key, fact);
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
  std::vector<std::string> facts;
  for (const auto& [address, member] : mMembers) {
    const size_t bucket = Bucket(address);
    if (own[bucket] != aDatagram.mDigest[bucket] &&
        member.mInfo.mIncarnation != 0 &&
        address != aDatagram.mSender.mAddress) {
      members.push_back(address);
    }
  }
  for (const auto& [key, fact] : mRecords) {
    const size_t bucket = Bucket(key);
    if (own[bucket] != aDatagram.mDigest[bucket]) {
      facts.push_back(key);
    }
  }
  // A random choice within the bound, so that repeated requests cover all.
  const auto choose = [&](std::vector<std::string>& aKeys, size_t aCount) {
    for (size_t i = 0; i < std::min(aCount, aKeys.size()); ++i) {
      std::swap(aKeys[i], aKeys[i + UniformBelow(mRandom, aKeys.size() - i)]);
    }
    aKeys.resize(std::min(aCount, aKeys.size()));
  };
  choose(members, mOptions.mMaxSyncItems / 2);
  choose(facts, mOptions.mMaxSyncItems - members.size());
  size_t nextMember = 0;
  size_t nextFact = 0;
  while (nextMember < members.size() || nextFact < facts.size()) {
    Datagram reply;
    reply.mKind = DatagramKind::SyncReply;
    reply.mSequence = aDatagram.mSequence;
    while (nextMember < members.size() &&
           reply.mUpdates.size() < mOptions.mMaxUpdatesPerMessage) {
      reply.mUpdates.push_back(mMembers.at(members[nextMember++]).mInfo);
    }
    while (nextFact < facts.size() &&
           reply.mRecords.size() < mOptions.mMaxRecordsPerMessage) {
      reply.mRecords.push_back(Outgoing(facts[nextFact++]));
    }
    Finish(aDatagram.mSender.mAddress, std::move(reply));
  }
}

void Membership::Receive(const Datagram& aDatagram)
{
  Merge(aDatagram.mSender, true);
  const bool gossip = aDatagram.mKind != DatagramKind::SyncReply;
  bool learned = false;
  for (const MemberUpdate& update : aDatagram.mUpdates) {
    learned = Merge(update, gossip) || learned;
  }
  for (const GossipRecord& fact : aDatagram.mRecords) {
    learned = MergeFact(fact, gossip) || learned;
  }
  const auto sender = mMembers.find(aDatagram.mSender.mAddress);
  if (sender != mMembers.end()) {
    // A restarted daemon starts again at a lower version; an incarnation that
    // only refutes a suspicion repeats the version it had.
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
      // A process that restarted with its clock set back learns of the
      // incarnation that it has to exceed.
      if (sender != mMembers.end() &&
          sender->second.mInfo.mIncarnation > aDatagram.mSender.mIncarnation) {
        ack.mUpdates.push_back(sender->second.mInfo);
      }
      Send(aDatagram.mSender.mAddress, std::move(ack));
      return;
    }
    case DatagramKind::ProbeRequest:
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
      mSyncAgain = mSyncAgain || learned;
  }
}

void Membership::HandleAck(const Datagram& aDatagram)
{
  const auto found = mPending.find(aDatagram.mSequence);
  if (found == mPending.end()) {
    return;
  }
  const PendingProbe pending = found->second;
  const bool direct = aDatagram.mSender.mAddress == pending.mAddress;
  if (!direct && aDatagram.mTarget != pending.mAddress) {
    return; // Acknowledges another probe.
  }
  mPending.erase(found);
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
    ProbeResult proof;
    proof.mAddress = pending.mAddress;
    proof.mProbeSent = pending.mSent;
    proof.mConfigVersion = aDatagram.mConfigVersion;
    proof.mStoreContact = aDatagram.mStoreContact;
    proof.mRelayedAcks = aDatagram.mRelayedAcks;
    proof.mFreshSinceStart = aDatagram.mFreshSinceStart;
    if (aDatagram.mStalenessMs >= 0) {
      proof.mStaleness = Milliseconds(aDatagram.mStalenessMs);
    }
    mHooks.mOnProbeAck(proof);
  }
}

/// Returns whether the member was unknown. What a daemon pulls is known to
/// others, so it is not announced again.
bool Membership::Merge(const MemberUpdate& aUpdate, bool aAnnounce)
{
  if (aUpdate.mAddress.empty()) {
    return false;
  }
  if (aUpdate.mAddress == mSelf.mAddress) {
    MergeSelf(aUpdate);
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
      Announce(aUpdate.mAddress);
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
    Announce(aUpdate.mAddress);
  }
  mHooks.mOnChange(found->second);
  return false;
}

/// Refutes a wrong report about this daemon with a higher incarnation. A
/// higher incarnation than the own one is that of an earlier process at this
/// address whose clock was ahead.
void Membership::MergeSelf(const MemberUpdate& aUpdate)
{
  const bool wrong = aUpdate.mIncarnation > mSelf.mIncarnation ||
                     (aUpdate.mState != mSelf.mState &&
                      aUpdate.mIncarnation == mSelf.mIncarnation);
  if (!wrong || mSelf.mState == MemberState::Left) {
    return;
  }
  mSelf.mIncarnation = aUpdate.mIncarnation + 1;
}

void Membership::Announce(const std::string& aAddress)
{
  std::erase_if(mUpdateQueue,
                [&](const Queued& aItem) { return aItem.mKey == aAddress; });
  mUpdateQueue.push_front({ aAddress, 0 });
}

void Membership::Publish(GossipRecord aFact)
{
  MergeFact(aFact, true);
}

bool Membership::MergeFact(const GossipRecord& aFact, bool aAnnounce)
{
  const std::string key = FactKey(aFact.mTopic, aFact.mKey);
  const auto found = mRecords.find(key);
  const bool known = found != mRecords.end();
  if ((known && found->second.mSequence >= aFact.mSequence) ||
      (!known && mRecords.size() >= mOptions.mMaxRecords) ||
      aFact.mLifetimeMs == 0) {
    return false;
  }
  mRecords[key] = aFact;
  ++mFactRevision;
  mFactExpiry[key] =
    mClock() + Milliseconds(std::min(aFact.mLifetimeMs, kMaxFactLifetimeMs));
  std::erase_if(mFactQueue,
                [&](const Queued& aItem) { return aItem.mKey == key; });
  if (aAnnounce) {
    mFactQueue.push_front({ key, 0 });
  }
  return !known;
}

/// A fact as it is sent: with the rest of its lifetime.
GossipRecord Membership::Outgoing(const std::string& aKey) const
{
  GossipRecord fact = mRecords.at(aKey);
  const Duration rest = mFactExpiry.at(aKey) - mClock();
  fact.mLifetimeMs = static_cast<uint64_t>(std::max<int64_t>(
    0, std::chrono::duration_cast<Milliseconds>(rest).count()));
  return fact;
}

const GossipRecord* Membership::FindRecord(const std::string& aTopic,
                                           const std::string& aKey) const
{
  const auto found = mRecords.find(FactKey(aTopic, aKey));
  return found == mRecords.end() ? nullptr : &found->second;
}

std::vector<GossipRecord> Membership::Records(const std::string& aTopic) const
{
  std::vector<GossipRecord> facts;
  for (const auto& [key, fact] : mRecords) {
    if (fact.mTopic == aTopic) {
      facts.push_back(fact);
    }
  }
  return facts;
}

void Membership::ProbeAll()
{
  for (const Member* member : Live()) {
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
  for (const Member* member : Live()) {
    Datagram goodbye;
    goodbye.mKind = DatagramKind::Probe;
    goodbye.mSequence = mNextSequence++;
    Send(member->mInfo.mAddress, std::move(goodbye));
  }
}

std::vector<const Member*> Membership::Live() const
{
  std::vector<const Member*> live;
  for (const auto& [address, member] : mMembers) {
    if (IsLive(member)) {
      live.push_back(&member);
    }
  }
  return live;
}

/// Each member that hears an update sends it on this often, which reaches
/// nearly all members; anti-entropy brings the rest.
unsigned Membership::TransmitLimit() const
{
  return 3 + static_cast<unsigned>(std::bit_width(mMembers.size() + 1));
}

void Membership::Send(const std::string& aAddress, Datagram aDatagram)
{
  // A member that is reported as suspect or dead hears of it in each message,
  // otherwise it could not refute the report once gossip of it has ended.
  const auto target = mMembers.find(aAddress);
  if (target != mMembers.end() &&
      target->second.mInfo.mState != MemberState::Alive &&
      target->second.mInfo.mIncarnation != 0) {
    aDatagram.mUpdates.push_back(target->second.mInfo);
  }
  const unsigned limit = TransmitLimit();
  const auto take =
    [&](std::deque<Queued>& aQueue, unsigned aCount, auto aAppend) {
      for (Queued& item : aQueue) {
        if (aCount == 0) {
          break;
        }
        --aCount;
        ++item.mSends;
        aAppend(item.mKey);
      }
      std::stable_sort(aQueue.begin(),
                       aQueue.end(),
                       [](const Queued& aLeft, const Queued& aRight) {
                         return aLeft.mSends < aRight.mSends;
                       });
      while (!aQueue.empty() && aQueue.back().mSends >= limit) {
        aQueue.pop_back();
      }
    };
  // A member that is wrongly held for suspect or dead can refute this only
  // if it hears of it; after a cut, the queued updates have long expired.
  const auto receiver = mMembers.find(aAddress);
  if (receiver != mMembers.end() &&
      receiver->second.mInfo.mState != MemberState::Alive) {
    aDatagram.mUpdates.push_back(receiver->second.mInfo);
  }
  take(
    mUpdateQueue, mOptions.mMaxUpdatesPerMessage, [&](const std::string& aKey) {
      const auto found = mMembers.find(aKey);
      if (found != mMembers.end()) {
        aDatagram.mUpdates.push_back(found->second.mInfo);
      }
    });
  take(
    mFactQueue, mOptions.mMaxRecordsPerMessage, [&](const std::string& aKey) {
      aDatagram.mRecords.push_back(Outgoing(aKey));
    });
  Finish(aAddress, std::move(aDatagram));
}

void Membership::Finish(const std::string& aAddress, Datagram aDatagram)
{
  aDatagram.mSender = mSelf;
  mHooks.mFillConfigFields(aDatagram);
  mHooks.mSend(aAddress, aDatagram);
}

} // namespace agatetide::coordination
