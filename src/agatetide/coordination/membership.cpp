#include "agatetide/coordination/membership.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace agatetide::coordination {

namespace {

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
      !aHooks.mOnProof || !aHooks.mFill) {
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

void Membership::AddSeeds(const std::vector<MemberUpdate>& aSeeds)
{
  for (const MemberUpdate& seed : aSeeds) {
    if (seed.mAddress != mSelf.mAddress && !mMembers.contains(seed.mAddress)) {
      // Incarnation 0: any word from the member itself replaces this entry.
      Member member{ seed, mClock(), TimePoint{}, 0 };
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
  ProbeNext();
}

void Membership::ProbeNext()
{
  while (!mProbeOrder.empty() && !mMembers.contains(mProbeOrder.back())) {
    mProbeOrder.pop_back();
  }
  if (mProbeOrder.empty()) {
    // Dead members stay in the round so that both sides of a healed
    // partition find each other again.
    for (const auto& [address, member] : mMembers) {
      if (member.mInfo.mState != MemberState::Left) {
        mProbeOrder.push_back(address);
      }
    }
    for (size_t i = mProbeOrder.size(); i > 1; --i) {
      std::swap(mProbeOrder[i - 1], mProbeOrder[UniformBelow(mRandom, i)]);
    }
  }
  if (mProbeOrder.empty()) {
    return;
  }
  const std::string address = mProbeOrder.back();
  mProbeOrder.pop_back();
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
  std::vector<std::string> helpers;
  for (const Member* member : Live()) {
    if (member->mInfo.mAddress != aAddress) {
      helpers.push_back(member->mInfo.mAddress);
    }
  }
  for (unsigned i = 0; i < mOptions.mIndirectProbes && !helpers.empty(); ++i) {
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
  Merge(update);
}

void Membership::ExpireSuspects()
{
  const TimePoint now = mClock();
  std::vector<MemberUpdate> dead;
  for (auto entry = mMembers.begin(); entry != mMembers.end();) {
    const Member& member = entry->second;
    const Duration age = now - member.mStateSince;
    if (member.mInfo.mState == MemberState::Suspect &&
        age >= mOptions.mSuspicionTime) {
      dead.push_back(member.mInfo);
      dead.back().mState = MemberState::Dead;
    }
    const bool gone =
      member.mInfo.mState == MemberState::Left && age >= mOptions.mForgetTime;
    entry = gone ? mMembers.erase(entry) : std::next(entry);
  }
  for (const MemberUpdate& update : dead) {
    Merge(update);
  }
}

void Membership::Receive(const Datagram& aDatagram)
{
  Merge(aDatagram.mSender);
  for (const MemberUpdate& update : aDatagram.mUpdates) {
    Merge(update);
  }
  for (const SharedFact& fact : aDatagram.mFacts) {
    MergeFact(fact);
  }
  const auto sender = mMembers.find(aDatagram.mSender.mAddress);
  if (sender != mMembers.end()) {
    sender->second.mConfigVersion =
      std::max(sender->second.mConfigVersion, aDatagram.mConfigVersion);
  }
  if (mHooks.mOnVersion) {
    mHooks.mOnVersion(aDatagram.mSender.mAddress, aDatagram.mConfigVersion);
  }
  switch (aDatagram.mKind) {
    case DatagramKind::Probe: {
      Datagram ack;
      ack.mKind = DatagramKind::ProbeAck;
      ack.mSequence = aDatagram.mSequence;
      Send(aDatagram.mSender.mAddress, std::move(ack));
      return;
    }
    case DatagramKind::ProbeRequest:
      SendProbe(
        aDatagram.mTarget, aDatagram.mSender.mAddress, aDatagram.mSequence);
      return;
    case DatagramKind::ProbeAck:
      HandleAck(aDatagram);
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
    ProbeProof proof;
    proof.mAddress = pending.mAddress;
    proof.mProbeSent = pending.mSent;
    proof.mConfigVersion = aDatagram.mConfigVersion;
    proof.mStoreContact = aDatagram.mStoreContact;
    if (aDatagram.mProofAgeMs >= 0) {
      proof.mProofAge = Milliseconds(aDatagram.mProofAgeMs);
    }
    mHooks.mOnProof(proof);
  }
}

void Membership::Merge(const MemberUpdate& aUpdate)
{
  if (aUpdate.mAddress == mSelf.mAddress) {
    MergeSelf(aUpdate);
    return;
  }
  const auto found = mMembers.find(aUpdate.mAddress);
  if (found == mMembers.end()) {
    if (aUpdate.mState == MemberState::Left ||
        aUpdate.mState == MemberState::Dead) {
      return;
    }
    Member member{ aUpdate, mClock(), TimePoint{}, 0 };
    const auto added =
      mMembers.emplace(aUpdate.mAddress, std::move(member)).first;
    Announce(aUpdate.mAddress);
    mHooks.mOnChange(added->second);
    return;
  }
  if (!Replaces(aUpdate, found->second.mInfo)) {
    return;
  }
  if (aUpdate.mIncarnation != found->second.mInfo.mIncarnation) {
    found->second.mConfigVersion = 0; // A restarted daemon starts unproven.
  }
  found->second.mInfo = aUpdate;
  found->second.mStateSince = mClock();
  Announce(aUpdate.mAddress);
  mHooks.mOnChange(found->second);
}

/// Refutes a wrong report about this daemon with a higher incarnation.
void Membership::MergeSelf(const MemberUpdate& aUpdate)
{
  const bool wrong = aUpdate.mState != mSelf.mState &&
                     aUpdate.mIncarnation >= mSelf.mIncarnation;
  if (!wrong || mSelf.mState == MemberState::Left) {
    return;
  }
  mSelf.mIncarnation = aUpdate.mIncarnation + 1;
  Announce(mSelf.mAddress);
}

void Membership::Announce(const std::string& aAddress)
{
  std::erase_if(mUpdateQueue,
                [&](const Queued& aItem) { return aItem.mKey == aAddress; });
  mUpdateQueue.push_front({ aAddress, 0 });
}

void Membership::Publish(SharedFact aFact)
{
  MergeFact(aFact);
}

void Membership::MergeFact(const SharedFact& aFact)
{
  const std::string key = FactKey(aFact.mTopic, aFact.mKey);
  const auto found = mFacts.find(key);
  if (found != mFacts.end() && found->second.mSequence >= aFact.mSequence) {
    return;
  }
  mFacts[key] = aFact;
  std::erase_if(mFactQueue,
                [&](const Queued& aItem) { return aItem.mKey == key; });
  mFactQueue.push_front({ key, 0 });
}

const SharedFact* Membership::Fact(const std::string& aTopic,
                                   const std::string& aKey) const
{
  const auto found = mFacts.find(FactKey(aTopic, aKey));
  return found == mFacts.end() ? nullptr : &found->second;
}

std::vector<SharedFact> Membership::Facts(const std::string& aTopic) const
{
  std::vector<SharedFact> facts;
  for (const auto& [key, fact] : mFacts) {
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
  Announce(mSelf.mAddress);
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

/// Each update is sent about three times the logarithm of the group size,
/// which reaches all members with high probability.
unsigned Membership::TransmitLimit() const
{
  return 3 * static_cast<unsigned>(std::bit_width(mMembers.size() + 1));
}

void Membership::Send(const std::string& aAddress, Datagram aDatagram)
{
  aDatagram.mSender = mSelf;
  mHooks.mFill(aDatagram);
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
  take(mFactQueue, mOptions.mMaxFactsPerMessage, [&](const std::string& aKey) {
    aDatagram.mFacts.push_back(mFacts.at(aKey));
  });
  mHooks.mSend(aAddress, aDatagram);
}

} // namespace agatetide::coordination
