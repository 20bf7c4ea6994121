#include "agatetide/coordination/read_lease.hpp"

#include <algorithm>

namespace agatetide::coordination {

namespace {

/// Covers the difference between hosts' clocks over one trust time.
constexpr Milliseconds kDriftMargin{ 250 };

} // namespace

Result<ReadLease> ReadLease::Create(std::string aSelf,
                                    ReadLeaseOptions aOptions,
                                    Clock aClock)
{
  if (aOptions.mDuration <= Milliseconds(0) ||
      aOptions.mDuration > kMaxReadLeaseDuration) {
    return Error{ ErrorKind::InvalidArgument,
                  "trust time is " +
                    std::to_string(aOptions.mDuration.count()) + " ms",
                  "choose a value from 1 ms to 6000 ms" };
  }
  return ReadLease(std::move(aSelf), aOptions, std::move(aClock));
}

ReadLease::ReadLease(std::string aSelf, ReadLeaseOptions aOptions, Clock aClock)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
  , mClock(std::move(aClock))
  , mStart(mClock())
{
}

void ReadLease::RecordStoreRead(TimePoint aSent, int64_t aVersion)
{
  mStoreRead = std::max(mStoreRead, aSent);
  AddProof(aVersion, aSent);
}

void ReadLease::RecordProbeResult(const ProbeResult& aProof)
{
  Peer& peer = mPeers[aProof.mAddress];
  if (aProof.mProbeSent > peer.mProbeSent) {
    peer = { aProof.mProbeSent,
             aProof.mConfigVersion,
             aProof.mStoreContact,
             aProof.mFreshSinceStart };
  }
  RecordEvidence(aProof);
  if (aProof.mStaleness) {
    // The acknowledgement was sent after the probe, so the peer's proof is at
    // most this old; the delay of either datagram only shortens trust.
    AddProof(aProof.mConfigVersion, aProof.mProbeSent - *aProof.mStaleness);
  }
}

void ReadLease::AddProof(int64_t aVersion, TimePoint aTime)
{
  if (aTime < mStart) {
    return;
  }
  mFreshSinceStart = true;
  TimePoint& latest = mProofs[aVersion];
  latest = std::max(latest, aTime);
  std::erase_if(mProofs,
                [&](const auto& aItem) { return !Recent(aItem.second); });
}

/// The latest time at which the store's head is known to have been at most
/// aVersion. All changes accepted before then are in a copy at aVersion.
TimePoint ReadLease::ProofTime(int64_t aVersion) const
{
  TimePoint latest{};
  for (const auto& [version, time] : mProofs) {
    if (version <= aVersion) {
      latest = std::max(latest, time);
    }
  }
  return latest;
}

/// A relayed evidence is at least as old as the acknowledgement that brought
/// it says, counted from when the probe was sent, so relaying never makes it
/// younger.
void ReadLease::RecordEvidence(const ProbeResult& aProof)
{
  if (aProof.mConfigVersion != mHostsVersion) {
    return; // The positions refer to another list of hosts.
  }
  const std::vector<std::string> hosts(mHosts.begin(), mHosts.end());
  for (const RelayedAck& evidence : aProof.mRelayedAcks) {
    if (evidence.mHostIndex >= hosts.size()) {
      continue;
    }
    const TimePoint time = aProof.mProbeSent - Milliseconds(evidence.mAgeMs);
    Peer& peer = mPeers[hosts[evidence.mHostIndex]];
    if (time > peer.mProbeSent) {
      peer = { time, aProof.mConfigVersion, false, true };
    }
  }
}

std::vector<RelayedAck> ReadLease::AcksToRelay(int64_t aVersion,
                                               size_t aLimit,
                                               const Random& aRandom) const
{
  std::vector<RelayedAck> all;
  if (aVersion != mHostsVersion) {
    return all;
  }
  uint16_t position = 0;
  for (const std::string& host : mHosts) {
    const auto peer = mPeers.find(host);
    if (peer != mPeers.end() && peer->second.mConfigVersion == aVersion &&
        peer->second.mFreshSinceStart && !peer->second.mStoreContact &&
        Recent(peer->second.mProbeSent)) {
      const auto age =
        std::chrono::ceil<Milliseconds>(mClock() - peer->second.mProbeSent);
      all.push_back({ position, static_cast<uint16_t>(age.count()) });
    }
    ++position;
  }
  for (size_t i = 0; i < std::min(aLimit, all.size()); ++i) {
    std::swap(all[i], all[i + UniformBelow(aRandom, all.size() - i)]);
  }
  all.resize(std::min(aLimit, all.size()));
  return all;
}

void ReadLease::SetHosts(std::set<std::string> aHosts, int64_t aVersion)
{
  for (const std::string& host : mHosts) {
    if (!aHosts.contains(host)) {
      mRetired[host] = mClock();
    }
  }
  mHosts = std::move(aHosts);
  mHostsVersion = aVersion;
  std::erase_if(mRetired, [&](const auto& aItem) {
    return mHosts.contains(aItem.first) ||
           mClock() - aItem.second > mOptions.mDuration + kDriftMargin;
  });
  std::erase_if(mPeers, [&](const auto& aItem) {
    return !mHosts.contains(aItem.first) && !mRetired.contains(aItem.first) &&
           !Recent(aItem.second.mProbeSent);
  });
}

bool ReadLease::Recent(TimePoint aTime) const
{
  return aTime != TimePoint{} && mClock() - aTime <= mOptions.mDuration;
}

bool ReadLease::Valid(int64_t aVersion) const
{
  return mClock() <= ValidUntil(aVersion);
}

TimePoint ReadLease::ValidUntil(int64_t aVersion) const
{
  if (!mHosts.contains(mSelf)) {
    return TimePoint{}; // Acceptance of a change does not wait for this host.
  }
  const TimePoint proven = ProofTime(aVersion);
  const TimePoint until =
    proven == TimePoint{} ? proven : proven + mOptions.mDuration;
  return std::max(until, MajorityWithoutStoreUntil(aVersion));
}

TimePoint ReadLease::MajorityWithoutStoreUntil(int64_t aVersion) const
{
  if (StoreContact() || aVersion <= 0 || !mFreshSinceStart) {
    return TimePoint{};
  }
  std::vector<TimePoint> agreeing;
  if (mHosts.contains(mSelf)) {
    agreeing.push_back(mClock());
  }
  for (const std::string& host : mHosts) {
    const auto peer = mPeers.find(host);
    if (host == mSelf || peer == mPeers.end() ||
        !Recent(peer->second.mProbeSent)) {
      continue;
    }
    if (peer->second.mConfigVersion > aVersion) {
      return TimePoint{};
    }
    if (!peer->second.mStoreContact && peer->second.mFreshSinceStart) {
      agreeing.push_back(peer->second.mProbeSent);
    }
  }
  const size_t majority = mHosts.size() / 2 + 1;
  if (mHosts.empty() || agreeing.size() < majority) {
    return TimePoint{};
  }
  std::sort(agreeing.rbegin(), agreeing.rend());
  return agreeing[majority - 1] + mOptions.mDuration;
}

std::optional<Milliseconds> ReadLease::Staleness(int64_t aVersion) const
{
  const TimePoint proven = ProofTime(aVersion);
  if (!Recent(proven)) {
    return std::nullopt;
  }
  return std::chrono::ceil<Milliseconds>(mClock() - proven);
}

bool ReadLease::StoreContact() const
{
  return Recent(mStoreRead);
}

bool ReadLease::MajorityReachable() const
{
  size_t reachable = mHosts.contains(mSelf) ? 1 : 0;
  for (const std::string& host : mHosts) {
    const auto peer = mPeers.find(host);
    if (host != mSelf && peer != mPeers.end() &&
        Recent(peer->second.mProbeSent)) {
      ++reachable;
    }
  }
  return 2 * reachable > mHosts.size();
}

std::vector<std::string> ReadLease::HostsBehind(int64_t aVersion) const
{
  std::vector<std::string> behind;
  for (const std::string& host : mHosts) {
    if (!CaughtUp(host, aVersion)) {
      behind.push_back(host);
    }
  }
  return behind;
}

bool ReadLease::CaughtUp(const std::string& aHost, int64_t aVersion) const
{
  const auto peer = mPeers.find(aHost);
  return aHost == mSelf ||
         (peer != mPeers.end() && peer->second.mConfigVersion >= aVersion);
}

/// A host that the change removed may trust an older version by its last
/// proof, and acceptance by majority does not wait for it.
bool ReadLease::RetiredCaughtUp(int64_t aVersion) const
{
  return std::all_of(mRetired.begin(), mRetired.end(), [&](const auto& aItem) {
    return CaughtUp(aItem.first, aVersion) ||
           mClock() - aItem.second > mOptions.mDuration + kDriftMargin;
  });
}

bool ReadLease::Accepted(PendingChange& aAcceptance,
                         int64_t aLocalVersion) const
{
  if (aLocalVersion < aAcceptance.mVersion) {
    return false;
  }
  const size_t caughtUp =
    mHosts.size() - HostsBehind(aAcceptance.mVersion).size();
  if (caughtUp == mHosts.size() && RetiredCaughtUp(aAcceptance.mVersion)) {
    return true;
  }
  if (2 * caughtUp <= mHosts.size()) {
    return false;
  }
  if (!aAcceptance.mMajorityCaughtUpAt) {
    aAcceptance.mMajorityCaughtUpAt = mClock();
  }
  // A silent host's proof of an older version dates from before the store
  // accepted the change, and its majority without store contact from before
  // a member of both majorities caught up.
  const TimePoint last =
    std::max(aAcceptance.mStoredAt, *aAcceptance.mMajorityCaughtUpAt);
  return mClock() - last > mOptions.mDuration + kDriftMargin;
}

} // namespace agatetide::coordination
