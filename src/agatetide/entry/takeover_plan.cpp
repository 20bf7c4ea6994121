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

std::string TakeoverPlan::ResponsibleHost(std::string_view aKey,
                                          std::string_view aRegion) const
{
  std::string best;
  uint64_t bestHash = 0;
  for (const bool anyRegion : { false, true }) {
    for (const auto& [name, host] : mHosts) {
      if (host.mDraining || (!anyRegion && host.mRegion != aRegion)) {
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
  const std::map<std::string, fleet::EntryHost, std::less<>>& aHosts)
{
  const auto previous = std::move(mHosts);
  mHosts = aHosts;
  bool changed = previous.size() != mHosts.size();
  for (const auto& [name, host] : previous) {
    const auto current = mHosts.find(name);
    if (current != mHosts.end() &&
        current->second.mIncarnation == host.mIncarnation) {
      continue;
    }
    changed = true;
    std::string owner = steps::OwnerName(name, host.mIncarnation);
    if (ResponsibleHost(owner, host.mRegion) == mSelf) {
      mDepartedOwners.insert(std::move(owner));
    }
  }
  const bool inStartup = mClock() - mStartTime < mOptions.mStartupPeriod;
  mScanAll = mScanAll || (changed && inStartup);
}

bool TakeoverPlan::ShouldTakeOver(std::string_view aStep,
                                  std::string_view aOwner,
                                  std::string_view aRegion) const
{
  return mDepartedOwners.contains(aOwner) ||
         (mScanAll && ResponsibleHost(aStep, aRegion) == mSelf);
}

void TakeoverPlan::MarkScanned()
{
  mDepartedOwners.clear();
  mScanAll = false;
}

} // namespace agatetide::entry
