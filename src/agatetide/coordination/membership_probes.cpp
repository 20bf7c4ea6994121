#include "agatetide/coordination/member_states.hpp"
#include "agatetide/coordination/membership.hpp"

#include <algorithm>
#include <utility>

/// The part of Membership that probes members, directly and through other
/// members, and handles the acknowledgements.
namespace agatetide::coordination {

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

void Membership::ProbeAll()
{
  for (const Member* member : LiveMembers()) {
    ProbeNow(member->mInfo.mAddress);
  }
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

} // namespace agatetide::coordination
