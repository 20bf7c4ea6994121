#include "agatetide/duty/leadership.hpp"

#include "agatetide/base/event_log.hpp"

namespace agatetide::duty {

namespace {

/// The lease's value: host and incarnation.
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
    std::move(aOptions), std::move(*created), std::move(aClock), aView);
}

Leadership::Leadership(LeadershipOptions aOptions,
                       coordination::Lease aLease,
                       Clock aClock,
                       const fleet::FleetView& aView)
  : mOptions(std::move(aOptions))
  , mLease(std::move(aLease))
  , mClock(std::move(aClock))
  , mView(&aView)
{
}

bool Leadership::MayAct() const
{
  return !mResigned && mLease.Held() &&
         mClock() - mLease.HeldSince() >= mOptions.mSettleTime;
}

/// Whether the holder's process has ended or is about to.
bool Leadership::HolderGone() const
{
  const std::string& holder = mLease.Holder();
  if (holder.empty()) {
    return false;
  }
  const auto host = mView->Hosts().find(holder.substr(0, holder.find('#')));
  return host == mView->Hosts().end() || host->second.mDraining ||
         HolderName(host->first, host->second.mIncarnation) != holder;
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
