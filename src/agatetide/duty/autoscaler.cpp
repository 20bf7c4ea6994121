#include "agatetide/duty/autoscaler.hpp"

#include "agatetide/base/event_log.hpp"
#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <cmath>

namespace agatetide::duty {

namespace asio = boost::asio;

Autoscaler::Autoscaler(AutoscalerOptions aOptions,
                       asio::any_io_executor aExecutor,
                       const fleet::FleetView& aView,
                       const Leadership& aLeadership,
                       CapacityOrderCall aSend,
                       Clock aClock)
  : mOptions(aOptions)
  , mExecutor(std::move(aExecutor))
  , mView(aView)
  , mLeadership(aLeadership)
  , mSend(std::move(aSend))
  , mClock(std::move(aClock))
{
}

void Autoscaler::SetPeakItems(
  std::map<std::string, unsigned, std::less<>> aItems)
{
  mDemand = std::move(aItems);
}

void Autoscaler::CountReplicas()
{
  for (auto& [key, group] : mGroups) {
    group.mPresent = 0;
  }
  for (const auto& [id, replica] : mView.Replicas()) {
    if (!replica.mDraining) {
      const GroupKey key{ replica.mService,
                          replica.mAvailabilityZone,
                          replica.mPreemptible };
      ++mGroups[key].mPresent;
    }
  }
  const TimePoint now = mClock();
  for (auto& [key, group] : mGroups) {
    if (group.mPresent >= group.mRecentMax ||
        now - group.mRecentMaxAt > mOptions.mRestartTimeout) {
      group.mRecentMax = group.mPresent;
      group.mRecentMaxAt = now;
    }
  }
}

/// Discards the state of orders, since this daemon isn't the leader. Keeps the
/// replica counts: an order states the total number of replicas, also the first
/// one after this daemon becomes the leader.
void Autoscaler::ResetOrders()
{
  for (auto& [key, group] : mGroups) {
    group.mOrderedUntil = {};
    group.mNotBefore = {};
  }
  mSurplusSince.clear();
}

/// Number of replicas that run or are starting.
unsigned Autoscaler::Expected(const ReplicaGroup& aGroup) const
{
  const bool starting = mClock() < aGroup.mOrderedUntil;
  return starting ? std::max(aGroup.mPresent, aGroup.mOrdered)
                  : aGroup.mPresent;
}

/// Number of replicas that the platform has allocated, including those that
/// are restarting.
unsigned Autoscaler::Allocated(const ReplicaGroup& aGroup) const
{
  return std::max(Expected(aGroup), aGroup.mRecentMax);
}

unsigned Autoscaler::SlotsOf(const std::string& aService) const
{
  for (const auto& [id, replica] : mView.Replicas()) {
    if (replica.mService == aService) {
      return replica.mSlots;
    }
  }
  return 0;
}

void Autoscaler::Reconcile()
{
  const TimePoint now = mClock();
  if (now - mLastReconciled < mOptions.mReconcileInterval || !mView.Config()) {
    return;
  }
  mLastReconciled = now;
  CountReplicas();
  if (!mLeadership.MayAct()) {
    ResetOrders();
    return;
  }
  for (const auto& [name, service] : mView.Config()->mServices) {
    if (service.mScaling) {
      ReconcileService(service);
    }
  }
}

void Autoscaler::ReconcileService(const fleet::Service& aService)
{
  const fleet::ScalingLimits& limits = *aService.mScaling;
  const unsigned slots = SlotsOf(aService.mName);
  const auto demand = mDemand.find(aService.mName);
  if (slots == 0 || demand == mDemand.end()) {
    return;
  }
  const auto required = static_cast<unsigned>(
    std::ceil(demand->second / (slots * mOptions.mTargetUtilization)));
  const TimePoint now = mClock();
  std::vector<policy::ZoneCapacity> zones;
  for (const auto& [name, price] : limits.mZonePrices) {
    const ReplicaGroup& regular = mGroups[{ aService.mName, name, false }];
    const ReplicaGroup& preemptible = mGroups[{ aService.mName, name, true }];
    policy::ZoneCapacity zone;
    zone.mZone = name;
    zone.mPrice = price;
    zone.mRegular = Expected(regular);
    zone.mPreemptible = Expected(preemptible);
    // Replicas that may be restarting count towards the limit of the zone.
    const unsigned restarting = Allocated(regular) + Allocated(preemptible) -
                                zone.mRegular - zone.mPreemptible;
    zone.mMaxReplicas = limits.mMax > restarting ? limits.mMax - restarting : 0;
    zone.mRegularAvailable = now >= regular.mNotBefore && !regular.mSending;
    zone.mPreemptibleAvailable =
      now >= preemptible.mNotBefore && !preemptible.mSending;
    zones.push_back(std::move(zone));
  }
  auto changes = policy::AddCapacity(required, zones, mOptions.mPolicy);
  auto releases = policy::ReleaseCapacity(
    required, std::max(1U, limits.mMin), zones, mOptions.mPolicy);
  auto& idleSince = mSurplusSince[aService.mName];
  if (releases.empty() || idleSince == TimePoint{}) {
    idleSince = now;
  } else if (now - idleSince >= mOptions.mScaleDownDelay) {
    idleSince += mOptions.mScaleDownInterval;
    changes = std::move(releases);
  }
  for (const policy::CapacityChange& change : changes) {
    SendChange(aService, zones[change.mZone].mZone, change);
  }
}

void Autoscaler::SendChange(const fleet::Service& aService,
                            const std::string& aZone,
                            const policy::CapacityChange& aChange)
{
  GroupKey key{ aService.mName, aZone, aChange.mPreemptible };
  ReplicaGroup& group = mGroups[key];
  const int replicas = static_cast<int>(Allocated(group)) + aChange.mDelta;
  if (aChange.mDelta < 0) {
    group.mRecentMax = 0; // The released replica isn't expected to restart.
  }
  group.mSending = true;
  asio::co_spawn(mExecutor,
                 Send(std::move(key),
                      static_cast<unsigned>(std::max(0, replicas)),
                      aService.mScaling->mBootTime),
                 LogFailure("send_capacity_order"));
}

Awaitable<void> Autoscaler::Send(GroupKey aKey,
                                 unsigned aReplicas,
                                 Duration aBootTime)
{
  const auto& [service, zone, preemptible] = aKey;
  ReplicaCountOrder order{
    service, zone, aReplicas, preemptible, mLeadership.FencingToken()
  };
  const auto sent = co_await mSend(std::move(order));
  LogEvent("capacity_order")
    .Field("upstream", service)
    .Field("availability_zone", zone)
    .Field("preemptible", preemptible)
    .Field("replicas", aReplicas)
    .Field("result",
           sent.has_error()                          ? FormatError(sent.error())
           : *sent == CapacityOutcome::NoneAvailable ? "none_available"
                                                     : "ordered")
    .Write();
  const auto found = mGroups.find(aKey);
  if (found == mGroups.end()) {
    co_return; // The group was removed while the order was sent.
  }
  ReplicaGroup& group = found->second;
  group.mSending = false;
  if (sent.has_error()) {
    group.mNotBefore = mClock() + mOptions.mRetryDelay;
  } else if (*sent == CapacityOutcome::NoneAvailable) {
    group.mNotBefore = mClock() + mOptions.mUnavailableRetryDelay;
  } else {
    group.mOrdered = aReplicas;
    group.mOrderedUntil = mClock() + aBootTime + mOptions.mStartupMargin;
  }
}

} // namespace agatetide::duty
