#include "agatetide/coordination/membership.hpp"

#include "agatetide/coordination/member_states.hpp"

#include <algorithm>
#include <utility>

namespace agatetide::coordination {

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
    EraseQueued(mRecordQueue, aItem.first);
    return true;
  });
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

} // namespace agatetide::coordination
