#include "agatetide/duty/leadership.hpp"

#include "agatetide/base/event_log.hpp"

#include <algorithm>

namespace agatetide::duty {

namespace {

/// Value of the lease key: host and incarnation.
std::string HolderName(std::string_view aHost, std::string_view aIncarnation)
{
  return std::string(aHost) + "#" + std::string(aIncarnation);
}

} // namespace

Result<Leadership> Leadership::Create(LeadershipOptions aOptions,
                                      coordination::StoreCall aStore,
                                      Clock aClock,
                                      const std::string& aHost,
                                      const std::string& aIncarnation,
                                      const fleet::FleetView& aView)
{
  coordination::LeaseOptions lease;
  lease.mKey = aOptions.mKey;
  lease.mHolder = HolderName(aHost, aIncarnation);
  lease.mTtlSeconds = aOptions.mTtlSeconds;
  auto created = coordination::Lease::Create(lease, std::move(aStore), aClock);
  if (created.has_error()) {
    return created.error();
  }
  return Leadership(
    std::move(aOptions), std::move(*created), std::move(aClock), aHost, aView);
}

Leadership::Leadership(LeadershipOptions aOptions,
                       coordination::Lease aLease,
                       Clock aClock,
                       std::string aHost,
                       const fleet::FleetView& aView)
  : mOptions(std::move(aOptions))
  , mLease(std::move(aLease))
  , mClock(std::move(aClock))
  , mView(&aView)
  , mHost(std::move(aHost))
{
}

bool Leadership::MayAct() const
{
  return !mResigned && mLease.IsHeld() &&
         mClock() - mLease.HeldSince() >= mOptions.mActivationDelay;
}

/// Time for which this host leaves a free lease to the hosts that precede it
/// by name.
Duration Leadership::AcquireDelay() const
{
  Duration delay{};
  for (const auto& [name, host] : mView->Hosts()) {
    if (name == mHost) {
      break;
    }
    const bool precedes = !host.mDraining && !host.mCutOff;
    delay += precedes ? Duration(mOptions.mAcquireDelay) : Duration{};
  }
  return std::min<Duration>(delay, mOptions.mMaxAcquireDelay);
}

/// Whether this host reaches no replica, so that its orders reach none, and
/// another host does.
bool Leadership::ShouldLeaveToOthers() const
{
  const auto self = mView->Hosts().find(mHost);
  if (self == mView->Hosts().end() || !self->second.mCutOff) {
    return false;
  }
  return std::any_of(
    mView->Hosts().begin(), mView->Hosts().end(), [](const auto& aItem) {
      return !aItem.second.mCutOff && !aItem.second.mDraining;
    });
}

Awaitable<void> Leadership::StepDown()
{
  const TimePoint now = mClock();
  const bool tooEarly =
    mLease.IsHeld() && now - mLease.HeldSince() < mOptions.mMinTenure;
  const bool calledLately =
    mLastStoreCall && now - *mLastStoreCall < mOptions.mResignRetryDelay;
  if (!mLease.MayExistInStore() || tooEarly || calledLately) {
    co_return;
  }
  mLastStoreCall = now;
  mWasHeld = false;
  const auto released = co_await mLease.Release();
  LogEvent("leadership")
    .Field("held", false)
    .Field("reason",
           released.has_error() ? FormatError(released.error())
                                : std::string("reaches no replica"))
    .Write();
}

/// Whether to renew, acquire or check the lease now.
bool Leadership::ShouldCallStore(TimePoint aNow)
{
  const auto elapsed = [&](Duration aInterval) {
    return !mLastStoreCall || aNow - *mLastStoreCall >= aInterval;
  };
  if (mLease.MayExistInStore()) {
    return elapsed(mOptions.mRenewInterval);
  }
  const auto& leader = mView->Leader();
  if (!leader || !leader->empty()) {
    mFreeSince.reset();
    mLastStoreCall = mLastStoreCall.value_or(aNow);
    return leader && elapsed(mOptions.mCheckInterval);
  }
  mFreeSince = mFreeSince.value_or(aNow);
  return aNow - *mFreeSince >= AcquireDelay() &&
         elapsed(mOptions.mRenewInterval);
}

Awaitable<void> Leadership::Maintain()
{
  const TimePoint now = mClock();
  if (mWasHeld && !mLease.IsHeld()) {
    mWasHeld = false;
    LogEvent("leadership")
      .Field("held", false)
      .Field("reason", "expired")
      .Write();
  }
  if (mResigned) {
    if (mLease.MayExistInStore() &&
        now - *mLastStoreCall >= mOptions.mResignRetryDelay) {
      co_await Resign();
    }
    co_return;
  }
  if (ShouldLeaveToOthers()) {
    co_await StepDown();
    if (!mLease.IsHeld()) {
      co_return;
    }
  }
  if (!ShouldCallStore(now)) {
    co_return;
  }
  mLastStoreCall = now;
  const bool held = mLease.IsHeld();
  const auto renewed = co_await mLease.AcquireOrRenew();
  mWasHeld = mLease.IsHeld();
  if (mWasHeld != held) {
    LogEvent("leadership")
      .Field("held", mLease.IsHeld())
      .Field("holder", mLease.LastKnownHolder())
      .Field("fencing_number", mLease.FencingToken())
      .Field("reason",
             renewed.has_error() ? FormatError(renewed.error()) : "store")
      .Write();
  }
}

Awaitable<void> Leadership::Resign()
{
  mResigned = true;
  mWasHeld = false;
  mLastStoreCall = mClock();
  const auto released = co_await mLease.Release();
  if (released.has_error()) {
    LogEvent("leadership_not_resigned", LogLevel::Warning)
      .Field("error", FormatError(released.error()))
      .Write();
  }
}

} // namespace agatetide::duty
