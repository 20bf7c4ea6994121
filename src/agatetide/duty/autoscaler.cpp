#include "agatetide/duty/autoscaler.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cmath>

namespace agatetide::duty {

namespace asio = boost::asio;

Autoscaler::Autoscaler(AutoscalerOptions aOptions,
                       asio::any_io_executor aExecutor,
                       const fleet::FleetView& aView,
                       const Leadership& aLeadership,
                       SendCapacityOrder aSend,
                       Clock aClock)
  : mOptions(aOptions)
  , mExecutor(std::move(aExecutor))
  , mView(aView)
  , mLeadership(aLeadership)
  , mSend(std::move(aSend))
  , mClock(std::move(aClock))
{
}

void Autoscaler::SetDemand(std::map<std::string, unsigned, std::less<>> aItems)
{
  mDemand = std::move(aItems);
}

void Autoscaler::Count()
{
  for (auto& [subject, kind] : mKinds) {
    kind.mPresent = 0;
  }
  for (const auto& [id, replica] : mView.Replicas()) {
    if (!replica.mDraining) {
      const Subject subject{ replica.mService,
                             replica.mAvailabilityZone,
                             replica.mPreemptible };
      ++mKinds[subject].mPresent;
    }
  }
  const TimePoint now = mClock();
  for (auto& [subject, kind] : mKinds) {
    if (kind.mPresent >= kind.mMost ||
        now - kind.mMostAt > mOptions.mReturnTime) {
      kind.mMost = kind.mPresent;
      kind.mMostAt = now;
    }
  }
}

/// Another daemon orders now. What replicas there were stays known: an order
/// names their whole number, also the first one after a change of leader.
void Autoscaler::ForgetOrders()
{
  for (auto& [subject, kind] : mKinds) {
    kind.mOrderedUntil = {};
    kind.mNotBefore = {};
  }
  mIdleSince.clear();
}

/// Replicas that run or are being started.
unsigned Autoscaler::Expected(const Kind& aKind) const
{
  const bool starting = mClock() < aKind.mOrderedUntil;
  return starting ? std::max(aKind.mPresent, aKind.mOrdered) : aKind.mPresent;
}

/// Replicas that the platform has for us, with those that restart.
unsigned Autoscaler::Registered(const Kind& aKind) const
{
  return std::max(Expected(aKind), aKind.mMost);
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

void Autoscaler::Review()
{
  const TimePoint now = mClock();
  if (now - mReviewed < mOptions.mReviewInterval || !mView.Config()) {
    return;
  }
  mReviewed = now;
  Count();
  if (!mLeadership.MayAct()) {
    ForgetOrders();
    return;
  }
  for (const auto& [name, service] : mView.Config()->mServices) {
    if (service.mScaling) {
      ReviewService(service);
    }
  }
}

void Autoscaler::ReviewService(const fleet::Service& aService)
{
  const fleet::ScalingLimits& limits = *aService.mScaling;
  const unsigned slots = SlotsOf(aService.mName);
  const auto demand = mDemand.find(aService.mName);
  if (slots == 0 || demand == mDemand.end()) {
    return;
  }
  const auto wanted = static_cast<unsigned>(
    std::ceil(demand->second / (slots * mOptions.mTargetUse)));
  const TimePoint now = mClock();
  std::vector<policy::ZoneCapacity> zones;
  for (const auto& [name, price] : limits.mZonePrices) {
    const Kind& regular = mKinds[{ aService.mName, name, false }];
    const Kind& preemptible = mKinds[{ aService.mName, name, true }];
    policy::ZoneCapacity zone;
    zone.mZone = name;
    zone.mPrice = price;
    zone.mRegular = Expected(regular);
    zone.mPreemptible = Expected(preemptible);
    // Replicas that may come back keep their places.
    const unsigned away = Registered(regular) + Registered(preemptible) -
                          zone.mRegular - zone.mPreemptible;
    zone.mMaxReplicas = limits.mMax > away ? limits.mMax - away : 0;
    zone.mRegularAvailable = now >= regular.mNotBefore && !regular.mSending;
    zone.mPreemptibleAvailable =
      now >= preemptible.mNotBefore && !preemptible.mSending;
    zones.push_back(std::move(zone));
  }
  auto changes = policy::AddCapacity(wanted, zones, mOptions.mPolicy);
  auto fewer = policy::ReleaseCapacity(
    wanted, std::max(1U, limits.mMin), zones, mOptions.mPolicy);
  auto& idleSince = mIdleSince[aService.mName];
  if (fewer.empty() || idleSince == TimePoint{}) {
    idleSince = now;
  } else if (now - idleSince >= mOptions.mReleaseAfter) {
    idleSince += mOptions.mReleasePause;
    changes = std::move(fewer);
  }
  for (const policy::CapacityChange& change : changes) {
    Change(aService, zones[change.mZone].mZone, change);
  }
}

void Autoscaler::Change(const fleet::Service& aService,
                        const std::string& aZone,
                        const policy::CapacityChange& aChange)
{
  Subject subject{ aService.mName, aZone, aChange.mPreemptible };
  Kind& kind = mKinds[subject];
  const int replicas = static_cast<int>(Registered(kind)) + aChange.mDelta;
  if (aChange.mDelta < 0) {
    kind.mMost = 0; // It is not expected back.
  }
  kind.mSending = true;
  asio::co_spawn(mExecutor,
                 Send(std::move(subject),
                      static_cast<unsigned>(std::max(0, replicas)),
                      aService.mScaling->mBootTime),
                 asio::detached);
}

Awaitable<void> Autoscaler::Send(Subject aSubject,
                                 unsigned aReplicas,
                                 Duration aBoot)
{
  const auto& [service, zone, preemptible] = aSubject;
  CapacityOrder order{
    service, zone, aReplicas, preemptible, mLeadership.FencingToken()
  };
  const auto sent = co_await mSend(std::move(order));
  Event("capacity_order")
    .Field("upstream", service)
    .Field("availability_zone", zone)
    .Field("preemptible", preemptible)
    .Field("replicas", aReplicas)
    .Field("result",
           sent.has_error()                          ? FormatError(sent.error())
           : *sent == CapacityOutcome::NoneAvailable ? "none_available"
                                                     : "ordered")
    .Write();
  const auto found = mKinds.find(aSubject);
  if (found == mKinds.end()) {
    co_return; // The duty was lost meanwhile.
  }
  Kind& kind = found->second;
  kind.mSending = false;
  if (sent.has_error()) {
    kind.mNotBefore = mClock() + mOptions.mRetryPause;
  } else if (*sent == CapacityOutcome::NoneAvailable) {
    kind.mNotBefore = mClock() + mOptions.mUnavailableTime;
  } else {
    kind.mOrdered = aReplicas;
    kind.mOrderedUntil = mClock() + aBoot + mOptions.mStartMargin;
  }
}

} // namespace agatetide::duty
