#include "agatetide/duty/leadership.hpp"

#include "agatetide/base/event_log.hpp"

namespace agatetide::duty {

Result<Leadership> Leadership::Create(LeadershipOptions aOptions,
                                      coordination::StoreCall aStore,
                                      Clock aClock,
                                      std::string aHost,
                                      const fleet::FleetView& aView)
{
  coordination::LeaseOptions lease;
  lease.mKey = aOptions.mKey;
  lease.mHolder = aHost;
  lease.mTtlSeconds = aOptions.mTtlSeconds;
  auto created = coordination::Lease::Create(lease, std::move(aStore), aClock);
  if (created.has_error()) {
    return created.error();
  }
  return Leadership(std::move(aOptions),
                    std::move(*created),
                    std::move(aClock),
                    std::move(aHost),
                    aView);
}

Leadership::Leadership(LeadershipOptions aOptions,
                       coordination::Lease aLease,
                       Clock aClock,
                       std::string aHost,
                       const fleet::FleetView& aView)
  : mOptions(std::move(aOptions))
  , mLease(std::move(aLease))
  , mClock(std::move(aClock))
  , mHost(std::move(aHost))
  , mView(&aView)
{
}

bool Leadership::MayAct() const
{
  return !mResigned && mLease.Held() &&
         mClock() - mLease.HeldSince() >= mOptions.mSettleTime;
}

/// Whether the holder's host left the registry or is about to.
bool Leadership::HolderGone() const
{
  if (mLease.Holder().empty()) {
    return false;
  }
  const auto host = mView->Hosts().find(mLease.Holder());
  return host == mView->Hosts().end() || host->second.mDraining;
}

Awaitable<void> Leadership::Maintain()
{
  if (mResigned) {
    co_return;
  }
  const TimePoint now = mClock();
  const bool held = mLease.Held();
  const bool holderGone = !held && HolderGone();
  Duration interval = mOptions.mTryInterval;
  if (held || holderGone) {
    interval = mOptions.mRenewInterval;
  }
  if (mLastTry != TimePoint{} && now - mLastTry < interval) {
    co_return;
  }
  mLastTry = now;
  const auto renewed = co_await mLease.Renew();
  if (mLease.Held() != held) {
    Event("leadership")
      .Field("host", mHost)
      .Field("held", mLease.Held())
      .Field("holder", mLease.Holder())
      .Field("fencing_number", mLease.FencingNumber())
      .Field("reason",
             renewed.has_error() ? FormatError(renewed.error()) : "store")
      .Write();
  }
}

Awaitable<void> Leadership::Resign()
{
  mResigned = true;
  co_await mLease.Release();
}

} // namespace agatetide::duty
