#include "agatetide/fleet/fleet_view.hpp"

#include <algorithm>

namespace agatetide::fleet {

namespace {

/// What a replica said is kept for this long after its registration is gone.
constexpr std::chrono::seconds kDrainReportRetention{ 60 };
constexpr size_t kMaxDrainReports = 4096;

} // namespace

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
  const auto staleness = Staleness();
  return mConfig && staleness && *staleness < mMaxStaleness;
}

std::optional<Duration> FleetView::Staleness() const
{
  return mFreshAsOf == TimePoint{} ? std::nullopt
                                   : std::optional(mClock() - mFreshAsOf);
}

std::string FleetView::StalenessText() const
{
  const auto staleness = Staleness();
  if (!staleness) {
    return "never";
  }
  return std::to_string(
    std::chrono::duration_cast<Milliseconds>(*staleness).count());
}

void FleetView::PutReplica(Replica aReplica)
{
  std::string id = aReplica.mId;
  ApplyDrainReport(aReplica);
  ApplyColdTime(aReplica);
  mReplicas.insert_or_assign(std::move(id), std::move(aReplica));
  NotifyChange();
}

void FleetView::ApplyDrainReport(Replica& aReplica)
{
  const auto found = mDrainReports.find(aReplica.mId);
  if (found == mDrainReports.end()) {
    return;
  }
  DrainReport& report = found->second;
  report.mStartTimeMs = report.mStartTimeMs.value_or(aReplica.mStartTimeMs);
  if (report.mStartTimeMs == aReplica.mStartTimeMs) {
    aReplica.mDraining = true;
  } else {
    mDrainReports.erase(found);
  }
}

const ColdStart* FleetView::FindColdStart(std::string_view aService) const
{
  if (!mConfig) {
    return nullptr;
  }
  const auto service = mConfig->mServices.find(aService);
  return service != mConfig->mServices.end() && service->second.mColdStart
           ? &*service->second.mColdStart
           : nullptr;
}

/// A registration is some time old, so its remaining time is an upper bound.
/// Without one, a new start is cold for the time that its service states.
void FleetView::ApplyColdTime(Replica& aReplica) const
{
  const Replica* known = FindReplica(aReplica.mId);
  const bool isNewStart =
    known == nullptr || known->mStartTimeMs != aReplica.mStartTimeMs;
  const TimePoint before = isNewStart ? TimePoint{} : known->mColdUntil;
  if (aReplica.mColdTimeLeft) {
    aReplica.mColdUntil = std::max(before, mClock() + *aReplica.mColdTimeLeft);
    return;
  }
  const ColdStart* cold = FindColdStart(aReplica.mService);
  aReplica.mColdUntil = isNewStart && cold != nullptr
                          ? mClock() + Duration(cold->mDuration)
                          : before;
}

std::optional<ColdStart> FleetView::ColdStartOf(const Replica& aReplica) const
{
  if (mClock() >= aReplica.mColdUntil) {
    return std::nullopt;
  }
  const ColdStart* cold = FindColdStart(aReplica.mService);
  return cold == nullptr ? std::nullopt : std::optional(*cold);
}

bool FleetView::MarkDraining(std::string_view aId)
{
  const auto replica = mReplicas.find(aId);
  const bool registered = replica != mReplicas.end();
  RemoveOldDrainReports();
  const bool added =
    mDrainReports
      .try_emplace(std::string(aId),
                   DrainReport{ registered
                                  ? std::optional(replica->second.mStartTimeMs)
                                  : std::nullopt,
                                mClock() })
      .second;
  const bool wasDraining = registered && replica->second.mDraining;
  if (registered) {
    replica->second.mDraining = true;
  }
  return added && !wasDraining;
}

void FleetView::RemoveOldDrainReports()
{
  std::erase_if(mDrainReports, [&](const auto& aItem) {
    return !mReplicas.contains(aItem.first) &&
           mClock() - aItem.second.mReportedAt > kDrainReportRetention;
  });
  if (mDrainReports.size() >= kMaxDrainReports) {
    mDrainReports.erase(std::min_element(
      mDrainReports.begin(),
      mDrainReports.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mReportedAt < aRight.second.mReportedAt;
      }));
  }
}

void FleetView::RemoveReplica(std::string_view aId)
{
  const auto found = mReplicas.find(aId);
  if (found != mReplicas.end()) {
    mReplicas.erase(found);
    NotifyChange();
  }
}

const Replica* FleetView::FindReplica(std::string_view aId) const
{
  const auto found = mReplicas.find(aId);
  return found == mReplicas.end() ? nullptr : &found->second;
}

bool FleetView::SetEvacuated(const std::string& aAvailabilityZone,
                             bool aEvacuated)
{
  const bool changed = aEvacuated
                         ? mEvacuatedZones.insert(aAvailabilityZone).second
                         : mEvacuatedZones.erase(aAvailabilityZone) > 0;
  if (changed) {
    NotifyChange();
  }
  return changed;
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

Result<http::Endpoint> FleetView::PeerEndpoint(std::string_view aHost) const
{
  const auto found = mHosts.find(aHost);
  if (found == mHosts.end()) {
    return Error{ ErrorKind::NotFound,
                  "the host " + std::string(aHost) + " is not known",
                  "use another host" };
  }
  return http::ParseEndpoint(found->second.mPeerAddress);
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
