#include "agatetide/coordination/trust.hpp"

#include <algorithm>

namespace agatetide::coordination {

namespace {

/// Covers the difference between hosts' clocks over one trust time.
constexpr Milliseconds kDriftMargin{ 250 };

} // namespace

Result<Trust> Trust::Create(std::string aSelf,
                            TrustOptions aOptions,
                            Clock aClock)
{
  if (aOptions.mTrustTime <= Milliseconds(0) ||
      aOptions.mTrustTime > kMaxTrustTime) {
    return Error{ ErrorKind::InvalidArgument,
                  "trust time is " +
                    std::to_string(aOptions.mTrustTime.count()) + " ms",
                  "choose a value from 1 ms to 6000 ms" };
  }
  return Trust(std::move(aSelf), aOptions, std::move(aClock));
}

Trust::Trust(std::string aSelf, TrustOptions aOptions, Clock aClock)
  : mSelf(std::move(aSelf))
  , mOptions(aOptions)
  , mClock(std::move(aClock))
{
}

void Trust::RecordStoreRead(TimePoint aSent, int64_t aVersion)
{
  mStoreRead = std::max(mStoreRead, aSent);
  if (aVersion > mProofVersion ||
      (aVersion == mProofVersion && aSent > mProofTime)) {
    mProofVersion = aVersion;
    mProofTime = aSent;
  }
}

void Trust::RecordProof(const ProbeProof& aProof)
{
  Peer& peer = mPeers[aProof.mAddress];
  if (aProof.mProbeSent > peer.mProbeSent) {
    peer = { aProof.mProbeSent, aProof.mConfigVersion, aProof.mStoreContact };
  }
  if (!aProof.mProofAge) {
    return;
  }
  // The acknowledgement was sent after the probe, so the peer's proof is at
  // most this old; the delay of either datagram only shortens trust.
  const TimePoint proven = aProof.mProbeSent - *aProof.mProofAge;
  const bool newer =
    aProof.mConfigVersion > mProofVersion ||
    (aProof.mConfigVersion == mProofVersion && proven > mProofTime);
  if (newer) {
    mProofVersion = aProof.mConfigVersion;
    mProofTime = proven;
  }
}

void Trust::SetHosts(std::set<std::string> aHosts)
{
  mHosts = std::move(aHosts);
}

bool Trust::Recent(TimePoint aTime) const
{
  return aTime != TimePoint{} && mClock() - aTime <= mOptions.mTrustTime;
}

bool Trust::Trusted(int64_t aVersion) const
{
  return mClock() <= TrustedUntil(aVersion);
}

TimePoint Trust::TrustedUntil(int64_t aVersion) const
{
  if (mProofVersion > aVersion) {
    return TimePoint{}; // A newer version is known to exist.
  }
  const TimePoint proven =
    mProofVersion == aVersion ? mProofTime + mOptions.mTrustTime : TimePoint{};
  return std::max(proven, MajorityWithoutStoreUntil(aVersion));
}

TimePoint Trust::MajorityWithoutStoreUntil(int64_t aVersion) const
{
  if (StoreContact() || aVersion <= 0) {
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
    if (!peer->second.mStoreContact) {
      agreeing.push_back(peer->second.mProbeSent);
    }
  }
  const size_t majority = mHosts.size() / 2 + 1;
  if (mHosts.empty() || agreeing.size() < majority) {
    return TimePoint{};
  }
  std::sort(agreeing.rbegin(), agreeing.rend());
  return agreeing[majority - 1] + mOptions.mTrustTime;
}

std::optional<Milliseconds> Trust::ProofAge(int64_t aVersion) const
{
  if (mProofVersion != aVersion || !Recent(mProofTime)) {
    return std::nullopt;
  }
  return std::chrono::ceil<Milliseconds>(mClock() - mProofTime);
}

bool Trust::StoreContact() const
{
  return Recent(mStoreRead);
}

bool Trust::MajorityReachable() const
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

bool Trust::Accepted(Acceptance& aAcceptance) const
{
  size_t caughtUp = mHosts.contains(mSelf) ? 1 : 0;
  for (const std::string& host : mHosts) {
    const auto peer = mPeers.find(host);
    if (host != mSelf && peer != mPeers.end() &&
        peer->second.mConfigVersion >= aAcceptance.mVersion) {
      ++caughtUp;
    }
  }
  if (caughtUp >= mHosts.size()) {
    return true;
  }
  if (2 * caughtUp <= mHosts.size()) {
    return false;
  }
  if (!aAcceptance.mMajorityCaughtUp) {
    aAcceptance.mMajorityCaughtUp = mClock();
  }
  // A silent host's proof of an older version dates from before the store
  // accepted the change, and its majority without store contact from before
  // a member of both majorities caught up.
  const TimePoint last =
    std::max(aAcceptance.mStored, *aAcceptance.mMajorityCaughtUp);
  return mClock() - last > mOptions.mTrustTime + kDriftMargin;
}

} // namespace agatetide::coordination
