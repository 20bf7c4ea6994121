#include "agatetide/fleet/fleet_view.hpp"

#include <algorithm>

namespace agatetide::fleet {

FleetView::FleetView(Clock aClock,
                     std::string aAvailabilityZone,
                     std::string aRegion)
  : mClock(std::move(aClock))
  , mAvailabilityZone(std::move(aAvailabilityZone))
  , mRegion(std::move(aRegion))
{
}

bool FleetView::UpdateConfig(std::shared_ptr<const ServiceConfig> aConfig)
{
  if (mConfig && aConfig->mVersion <= mConfig->mVersion) {
    return false;
  }
  mConfig = std::move(aConfig);
  NotifyChange();
  return true;
}

void FleetView::MarkFresh(TimePoint aAsOf)
{
  mFreshAsOf = std::max(mFreshAsOf, aAsOf);
}

bool FleetView::IsFresh() const
{
  return mConfig && mFreshAsOf != TimePoint{} && Staleness() < mMaxStaleness;
}

void FleetView::PutReplica(Replica aReplica)
{
  std::string id = aReplica.mId;
  mReplicas.insert_or_assign(std::move(id), std::move(aReplica));
  NotifyChange();
}

void FleetView::RemoveReplica(std::string_view aId)
{
  const auto found = mReplicas.find(aId);
  if (found != mReplicas.end()) {
    mReplicas.erase(found);
    NotifyChange();
  }
}

void FleetView::SetReplicas(
  std::map<std::string, Replica, std::less<>> aReplicas)
{
  mReplicas = std::move(aReplicas);
  NotifyChange();
}

const Replica* FleetView::FindReplica(std::string_view aId) const
{
  const auto found = mReplicas.find(aId);
  return found == mReplicas.end() ? nullptr : &found->second;
}

void FleetView::RecordPublishedVersion(const std::string& aModel,
                                       int64_t aVersion)
{
  int64_t& known = mPublishedVersions[aModel];
  known = std::max(known, aVersion);
  NotifyChange();
}

void FleetView::SetHosts(std::map<std::string, EntryHost, std::less<>> aHosts)
{
  mHosts = std::move(aHosts);
}

std::string FleetView::RegionOf(std::string_view aAvailabilityZone) const
{
  const auto found = mRegions.find(aAvailabilityZone);
  return found == mRegions.end() ? std::string() : found->second;
}

void FleetView::NotifyChange() const
{
  if (mOnChange) {
    mOnChange();
  }
}

} // namespace agatetide::fleet
