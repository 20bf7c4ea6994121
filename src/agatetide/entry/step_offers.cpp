#include "agatetide/entry/step_offers.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/coordination/portable_bytes.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace agatetide::entry {

template<class Archive>
void serialize(Archive& aArchive, StepOffer& aOffer)
{
  aArchive(aOffer.mStep, aOffer.mBytes);
}

namespace {

void RemovePast(std::map<std::string, TimePoint, std::less<>>& aTimes,
                TimePoint aNow)
{
  std::erase_if(aTimes,
                [&](const auto& aItem) { return aItem.second <= aNow; });
}

} // namespace

std::string Encode(const StepOffer& aOffer)
{
  return coordination::EncodePortable(aOffer);
}

Result<StepOffer> DecodeStepOffer(std::string_view aBytes)
{
  return coordination::DecodePortable<StepOffer>(
    aBytes, "the offer of a step", ErrorKind::InvalidArgument);
}

StepOffers::StepOffers(StepOfferOptions aOptions,
                       Clock aClock,
                       std::string aSelf)
  : mOptions(aOptions)
  , mClock(std::move(aClock))
  , mSelf(std::move(aSelf))
{
}

std::vector<std::string> StepOffers::HostsFor(
  const steps::StepRecord& aRecord,
  const std::optional<fleet::RegionSet>& aAllowedRegions,
  const std::map<std::string, fleet::EntryHost, std::less<>>& aHosts)
{
  RemovePast(mBackoffUntil, mClock());
  RemovePast(mAcceptedUntil, mClock());
  if (mAcceptedUntil.contains(aRecord.mId)) {
    return {};
  }
  std::vector<std::tuple<bool, uint64_t, std::string>> ranks;
  for (const auto& [name, host] : aHosts) {
    if (name != mSelf && !host.mDraining && !host.mPeerAddress.empty() &&
        fleet::Includes(aAllowedRegions, host.mRegion) &&
        !mBackoffUntil.contains(name)) {
      ranks.emplace_back(host.mRegion != aRecord.mRegion,
                         Hash64(name, Hash64(aRecord.mId)),
                         name);
    }
  }
  std::sort(ranks.begin(), ranks.end());
  ranks.resize(std::min(ranks.size(), mOptions.mMaxHosts));
  std::vector<std::string> hosts;
  hosts.reserve(ranks.size());
  for (auto& [otherRegion, hash, name] : ranks) {
    hosts.push_back(std::move(name));
  }
  return hosts;
}

void StepOffers::RecordAnswer(const std::string& aStep,
                              const std::string& aHost,
                              bool aAccepted)
{
  if (aAccepted) {
    mAcceptedUntil[aStep] = mClock() + mOptions.mAcceptedTime;
  } else {
    mBackoffUntil[aHost] = mClock() + mOptions.mRefusalBackoff;
  }
}

} // namespace agatetide::entry
