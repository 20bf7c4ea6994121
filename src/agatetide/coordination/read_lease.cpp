#include "agatetide/coordination/read_lease.hpp"

#include <algorithm>

namespace agatetide::coordination {

namespace {

/// Allows for clock drift between hosts over one lease duration.
constexpr Milliseconds kDriftMargin{ 250 };

} // namespace

Result<ReadLease> ReadLease::Create(std::string aSelf,
                                    ReadLeaseOptions aOptions,
                                    Clock aClock)
{
  if (aOptions.mDuration <= Milliseconds(0) ||
      aOptions.mDuration > kMaxReadLeaseDuration) {
    return Error{ ErrorKind::InvalidArgument,
                  "the read lease duration is " +
                    std::to_string(aOptions.mDuration.count()) + " ms",
                  "set trust_time_ms to a value from 1 to 6000" };
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
  mLastStoreRead = std::max(mLastStoreRead, aSent);
  RecordFreshness(aVersion, aSent);
}

void ReadLease::RecordProbeResult(const ProbeResult& aResult)
{
  Peer& peer = mPeers[aResult.mAddress];
  if (aResult.mProbeSent > peer.mProbeSent) {
    peer = { aResult.mProbeSent,
             aResult.mConfigVersion,
             aResult.mStoreContact,
             aResult.mFreshSinceStart };
  }
  RecordRelayedAcks(aResult);
  if (aResult.mStaleness) {
    // The acknowledgement was sent after the probe, so the peer's copy was
    // fresh at this time or later. A delay of either datagram only shortens the
    // lease.
    RecordFreshness(aResult.mConfigVersion,
                    aResult.mProbeSent - *aResult.mStaleness);
  }
}

void ReadLease::RecordFreshness(int64_t aVersion, TimePoint aTime)
{
  if (aTime < mStart) {
    return;
  }
  mFreshSinceStart = true;
  TimePoint& latest = mFreshTimes[aVersion];
  latest = std::max(latest, aTime);
  std::erase_if(mFreshTimes,
                [&](const auto& aItem) { return !Recent(aItem.second); });
}

/// Returns the latest time at which the store is known to have had no version
/// newer than aVersion. A copy at aVersion has all changes accepted before it.
TimePoint ReadLease::FreshAsOf(int64_t aVersion) const
{
  TimePoint latest{};
  for (const auto& [version, time] : mFreshTimes) {
    if (version <= aVersion) {
      latest = std::max(latest, time);
    }
  }
  return latest;
}

/// The age of a relayed acknowledgement is counted from when this daemon sent
/// its probe, so that relaying never makes it look younger than it is.
void ReadLease::RecordRelayedAcks(const ProbeResult& aResult)
{
  if (aResult.mConfigVersion != mHostsVersion) {
    return; // The indices refer to another host list.
  }
  const std::vector<std::string> hosts(mHosts.begin(), mHosts.end());
  for (const RelayedAck& ack : aResult.mRelayedAcks) {
    if (ack.mHostIndex >= hosts.size()) {
      continue;
    }
    const TimePoint time = aResult.mProbeSent - Milliseconds(ack.mAgeMs);
    Peer& peer = mPeers[hosts[ack.mHostIndex]];
    if (time > peer.mProbeSent) {
      peer = { time, aResult.mConfigVersion, false, true };
    }
  }
}

std::vector<RelayedAck> ReadLease::AcksToRelay(int64_t aVersion,
                                               size_t aLimit,
                                               const Random& aRandom) const
{
  std::vector<RelayedAck> acks;
  if (aVersion != mHostsVersion) {
    return acks;
  }
  uint16_t hostIndex = 0;
  for (const std::string& host : mHosts) {
    const auto peer = mPeers.find(host);
    if (peer != mPeers.end() && peer->second.mConfigVersion == aVersion &&
        peer->second.mFreshSinceStart && !peer->second.mStoreContact &&
        Recent(peer->second.mProbeSent)) {
      const auto age =
        std::chrono::ceil<Milliseconds>(mClock() - peer->second.mProbeSent);
      acks.push_back({ hostIndex, static_cast<uint16_t>(age.count()) });
    }
    ++hostIndex;
  }
  for (size_t i = 0; i < std::min(aLimit, acks.size()); ++i) {
    std::swap(acks[i], acks[i + UniformBelow(aRandom, acks.size() - i)]);
  }
  acks.resize(std::min(aLimit, acks.size()));
  return acks;
}

void ReadLease::SetHosts(std::set<std::string> aHosts, int64_t aVersion)
{
  for (const std::string& host : mHosts) {
    if (!aHosts.contains(host)) {
      mRemovedHosts[host] = mClock();
    }
  }
  mHosts = std::move(aHosts);
  mHostsVersion = aVersion;
  std::erase_if(mRemovedHosts, [&](const auto& aItem) {
    return mHosts.contains(aItem.first) ||
           mClock() - aItem.second > mOptions.mDuration + kDriftMargin;
  });
  std::erase_if(mPeers, [&](const auto& aItem) {
    return !mHosts.contains(aItem.first) &&
           !mRemovedHosts.contains(aItem.first) &&
           !Recent(aItem.second.mProbeSent);
  });
}

bool ReadLease::Recent(TimePoint aTime) const
{
  return aTime != TimePoint{} && mClock() - aTime <= mOptions.mDuration;
}

bool ReadLease::IsValid(int64_t aVersion) const
{
  return mClock() <= ValidUntil(aVersion);
}

TimePoint ReadLease::ValidUntil(int64_t aVersion) const
{
  if (!mHosts.contains(mSelf)) {
    return TimePoint{}; // The acceptance of changes does not wait for this
                        // host.
  }
  const TimePoint freshAsOf = FreshAsOf(aVersion);
  const TimePoint until =
    freshAsOf == TimePoint{} ? freshAsOf : freshAsOf + mOptions.mDuration;
  return std::max(until, MajorityValidUntil(aVersion));
}

TimePoint ReadLease::MajorityValidUntil(int64_t aVersion) const
{
  if (HasStoreContact() || aVersion <= 0 || !mFreshSinceStart) {
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
  const TimePoint freshAsOf = FreshAsOf(aVersion);
  if (!Recent(freshAsOf)) {
    return std::nullopt;
  }
  return std::chrono::ceil<Milliseconds>(mClock() - freshAsOf);
}

bool ReadLease::HasStoreContact() const
{
  return Recent(mLastStoreRead);
}

bool ReadLease::IsMajorityReachable() const
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

/// A host removed by the change is in no majority but may still have a valid
/// lease for an older version, so acceptance by all hosts waits for it too.
bool ReadLease::RemovedHostsCaughtUp(int64_t aVersion) const
{
  return std::all_of(
    mRemovedHosts.begin(), mRemovedHosts.end(), [&](const auto& aItem) {
      return CaughtUp(aItem.first, aVersion) ||
             mClock() - aItem.second > mOptions.mDuration + kDriftMargin;
    });
}

bool ReadLease::IsAccepted(PendingChange& aChange, int64_t aLocalVersion) const
{
  if (aLocalVersion < aChange.mVersion) {
    return false;
  }
  const size_t caughtUp = mHosts.size() - HostsBehind(aChange.mVersion).size();
  if (caughtUp == mHosts.size() && RemovedHostsCaughtUp(aChange.mVersion)) {
    return true;
  }
  if (2 * caughtUp <= mHosts.size()) {
    return false;
  }
  if (!aChange.mMajorityCaughtUpAt) {
    aChange.mMajorityCaughtUpAt = mClock();
  }
  // A host that has not acknowledged the change can only have been fresh at an
  // older version before the store had the change, and can only have had a
  // majority without store contact before a member of both majorities caught
  // up.
  const TimePoint lastExtension =
    std::max(aChange.mStoredAt, *aChange.mMajorityCaughtUpAt);
  return mClock() - lastExtension > mOptions.mDuration + kDriftMargin;
}

} // namespace agatetide::coordination
