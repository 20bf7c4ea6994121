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
  return !mResigned && mLease.Held() &&
         mClock() - mLease.HeldSince() >= mOptions.mSettleTime;
}

/// How long this host leaves a free lease to the hosts before it.
Duration Leadership::Turn() const
{
  Duration turn{};
  for (const auto& [name, host] : mView->Hosts()) {
    if (name == mHost) {
      break;
    }
    turn += host.mDraining ? Duration{} : Duration(mOptions.mTurn);
  }
  return std::min<Duration>(turn, mOptions.mLongestTurn);
}

/// Whether to call the store now.
bool Leadership::Due(TimePoint aNow)
{
  const auto passed = [&](Duration aTime) {
    return !mLastTry || aNow - *mLastTry >= aTime;
  };
  if (mLease.MayExistInStore()) {
    return passed(mOptions.mRenewInterval);
  }
  const auto& leader = mView->Leader();
  if (!leader || !leader->empty()) {
    mFreeSince.reset();
    mLastTry = mLastTry.value_or(aNow);
    return leader && passed(mOptions.mLookInterval);
  }
  mFreeSince = mFreeSince.value_or(aNow);
  return aNow - *mFreeSince >= Turn() && passed(mOptions.mRenewInterval);
}

Awaitable<void> Leadership::Maintain()
{
  const TimePoint now = mClock();
  if (mLed && !mLease.Held()) {
    mLed = false;
    Event("leadership").Field("held", false).Field("reason", "expired").Write();
  }
  if (mResigned) {
    if (mLease.MayExistInStore() &&
        now - *mLastTry >= mOptions.mResignInterval) {
      co_await Resign();
    }
    co_return;
  }
  if (!Due(now)) {
    co_return;
  }
  mLastTry = now;
  const bool held = mLease.Held();
  const auto renewed = co_await mLease.Renew();
  mLed = mLease.Held();
  if (mLed != held) {
    Event("leadership")
      .Field("held", mLease.Held())
      .Field("holder", mLease.Holder())
      .Field("fencing_number", mLease.FencingToken())
      .Field("reason",
             renewed.has_error() ? FormatError(renewed.error()) : "store")
      .Write();
  }
}

Awaitable<void> Leadership::Resign()
{
  mResigned = true;
  mLed = false;
  mLastTry = mClock();
  const auto released = co_await mLease.Release();
  if (released.has_error()) {
    Event("leadership_not_resigned", LogLevel::Warning)
      .Field("error", FormatError(released.error()))
      .Write();
  }
}

} // namespace agatetide::duty
