#include "agatetide/entry/takeover_plan.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/steps/step.hpp"

namespace agatetide::entry {

TakeoverPlan::TakeoverPlan(TakeoverOptions aOptions,
                           Clock aClock,
                           std::string aSelf)
  : mOptions(aOptions)
  , mClock(std::move(aClock))
  , mSelf(std::move(aSelf))
  , mStartTime(mClock())
{
}

std::string TakeoverPlan::ResponsibleHost(
  std::string_view aKey,
  std::string_view aRegion,
  const std::optional<fleet::RegionSet>& aAllowedRegions) const
{
  std::string best;
  uint64_t bestHash = 0;
  for (const bool anyRegion : { false, true }) {
    for (const auto& [name, host] : mHosts) {
      if (host.mDraining || (!anyRegion && host.mRegion != aRegion) ||
          !fleet::Includes(aAllowedRegions, host.mRegion)) {
        continue;
      }
      const uint64_t hash = Hash64(name, Hash64(aKey));
      if (best.empty() || hash > bestHash) {
        best = name;
        bestHash = hash;
      }
    }
    if (!best.empty()) {
      break;
    }
  }
  return best;
}

void TakeoverPlan::Update(
  const std::map<std::string, fleet::EntryHost, std::less<>>& aHosts,
  bool aRestricted)
{
  const auto previous = std::move(mHosts);
  mHosts = aHosts;
  const std::string ownRegion = OwnRegion();
  bool changed = previous.size() != mHosts.size();
  for (const auto& [name, host] : previous) {
    const auto current = mHosts.find(name);
    if (current != mHosts.end() &&
        current->second.mIncarnation == host.mIncarnation) {
      continue;
    }
    changed = true;
    std::string owner = steps::OwnerName(name, host.mIncarnation);
    // Only the host that is responsible in its own region can be responsible
    // for a step of the owner that may run in some regions only.
    const bool takeAll = ResponsibleHost(owner, host.mRegion) == mSelf;
    if (takeAll ||
        (aRestricted && ResponsibleHost(owner, ownRegion) == mSelf)) {
      mDepartedOwners.insert_or_assign(std::move(owner),
                                       DepartedOwner{ host.mRegion, takeAll });
    }
  }
  const bool inStartup = mClock() - mStartTime < mOptions.mStartupPeriod;
  mScanAll = mScanAll || (changed && inStartup);
}

bool TakeoverPlan::ShouldTakeOver(
  std::string_view aStep,
  std::string_view aOwner,
  std::string_view aRegion,
  const std::optional<fleet::RegionSet>& aAllowedRegions) const
{
  if (!fleet::Includes(aAllowedRegions, OwnRegion())) {
    return false;
  }
  const auto departed = mDepartedOwners.find(aOwner);
  if (departed != mDepartedOwners.end() &&
      (departed->second.mTakeAll ||
       ResponsibleHost(aOwner, departed->second.mRegion, aAllowedRegions) ==
         mSelf)) {
    return true;
  }
  return mScanAll && ResponsibleHost(aStep, aRegion, aAllowedRegions) == mSelf;
}

std::string TakeoverPlan::OwnRegion() const
{
  const auto self = mHosts.find(mSelf);
  return self == mHosts.end() ? std::string() : self->second.mRegion;
}

void TakeoverPlan::MarkScanned()
{
  mDepartedOwners.clear();
  mScanAll = false;
}

} // namespace agatetide::entry
