#include "agatetide/request/cold_replicas.hpp"

#include "agatetide/base/event_log.hpp"
#include "agatetide/policy/cold_start.hpp"

#include <vector>

namespace agatetide::request {

namespace {

/// The share is computed again after this time, since the hosts change.
constexpr std::chrono::milliseconds kShareLifetime{ 200 };
/// A restarted replica is registered again within two heartbeats of 1.2 s and
/// the lag of the store.
constexpr std::chrono::milliseconds kRegistrationDelay{ 3500 };

} // namespace

ColdReplicas::ColdReplicas(const fleet::FleetView& aView,
                           std::string aHost,
                           Clock aClock)
  : mView(aView)
  , mHost(std::move(aHost))
  , mClock(std::move(aClock))
{
}

double ColdReplicas::ShareOf(const fleet::Replica& aReplica, double aRate) const
{
  const std::string region = mView.RegionOf(aReplica.mAvailabilityZone);
  std::vector<policy::ColdShareHost> hosts;
  for (const auto& [name, host] : mView.Hosts()) {
    hosts.push_back({ name, host.mRegion == region });
  }
  return policy::ShareOfColdReplica({ aRate, aReplica.mId, mHost, hosts });
}

std::optional<double> ColdReplicas::ColdRate(
  const fleet::Replica& aReplica) const
{
  if (const auto cold = mView.ColdStartOf(aReplica)) {
    return cold->mRequestsPerSecond;
  }
  if (mPaces.empty()) {
    return std::nullopt;
  }
  const auto found = mPaces.find(aReplica.mId);
  const fleet::ColdStart* start = mView.FindColdStart(aReplica.mService);
  const bool suspected = found != mPaces.end() && start != nullptr &&
                         mClock() < found->second.mSuspectedUntil;
  return suspected ? std::optional(start->mRequestsPerSecond) : std::nullopt;
}

/// The pace of this start of the replica.
ColdReplicas::Pace& ColdReplicas::FindOrCreate(const fleet::Replica& aReplica)
{
  const auto [found, isNew] = mPaces.try_emplace(aReplica.mId, mClock());
  if (isNew || found->second.mStartTimeMs != aReplica.mStartTimeMs) {
    found->second = Pace(mClock());
    found->second.mStartTimeMs = aReplica.mStartTimeMs;
  }
  return found->second;
}

ColdReplicas::Pace* ColdReplicas::FindPace(const fleet::Replica& aReplica)
{
  const auto rate = ColdRate(aReplica);
  if (!rate) {
    if (!mPaces.empty()) {
      RemoveWarm();
    }
    return nullptr;
  }
  const TimePoint now = mClock();
  Pace& pace = FindOrCreate(aReplica);
  const bool isNew = pace.mShareUpdatedAt == TimePoint{};
  if (isNew || now - pace.mShareUpdatedAt >= kShareLifetime) {
    pace.mShareUpdatedAt = now;
    pace.mPacer.SetRate(ShareOf(aReplica, *rate), now);
  }
  if (isNew) {
    LogEvent("replica_cold")
      .Field("replica", aReplica.mId)
      .Field("requests_per_second", *rate)
      .Field("share", pace.mPacer.Rate())
      .Field("suspected", !mView.ColdStartOf(aReplica))
      .Write();
  }
  return &pace;
}

void ColdReplicas::RecordUnreachable(const fleet::Replica& aReplica)
{
  if (mView.FindColdStart(aReplica.mService) != nullptr) {
    FindOrCreate(aReplica).mSuspectedUntil = mClock() + kRegistrationDelay;
  }
}

void ColdReplicas::RemoveWarm()
{
  std::erase_if(mPaces, [&](const auto& aItem) {
    const fleet::Replica* replica = mView.FindReplica(aItem.first);
    return replica == nullptr || !ColdRate(*replica);
  });
}

Duration ColdReplicas::Delay(const fleet::Replica& aReplica)
{
  const Pace* pace = FindPace(aReplica);
  return pace == nullptr ? Duration::zero() : pace->mPacer.Delay(mClock());
}

void ColdReplicas::CountSent(const fleet::Replica& aReplica)
{
  if (Pace* pace = FindPace(aReplica)) {
    pace->mPacer.Take(mClock());
  }
}

} // namespace agatetide::request
