#include "agatetide/daemon/duty.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace agatetide::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds kRenewInterval{ 2 };
/// Announcements are valid for twice the TTL, so one per TTL suffices.
/// Announcing every renewal would fill the datagrams.
constexpr std::chrono::seconds kAnnounceInterval{ kDutyLeaseTtlSeconds };
/// Spreads the attempts of several daemons to acquire a free lease.
constexpr uint64_t kMaxTakeoverJitterMs = 400;

} // namespace

Awaitable<void> Sleep(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

Result<DutyLease> DutyLease::Create(DutyContext& aContext, std::string aDuty)
{
  coordination::LeaseOptions options;
  options.mKey = "agatetide/lease/" + aDuty;
  options.mHolder = aContext.mMembership.Self().mAddress;
  options.mTtlSeconds = kDutyLeaseTtlSeconds;
  auto lease =
    coordination::Lease::Create(options, aContext.mStore, aContext.mClock);
  if (lease.has_error()) {
    return lease.error();
  }
  return DutyLease(aContext, std::move(aDuty), std::move(*lease));
}

DutyLease::DutyLease(DutyContext& aContext,
                     std::string aDuty,
                     coordination::Lease aLease)
  : mContext(&aContext)
  , mDuty(std::move(aDuty))
  , mLease(std::move(aLease))
{
}

Awaitable<void> DutyLease::Maintain()
{
  const TimePoint now = mContext->mClock();
  if (mLease.IsHeld()) {
    if (now - mLastRenewed < kRenewInterval) {
      co_return;
    }
  } else if (IsHolderAlive() || mContext->mMembership.Self().mDraining) {
    co_return;
  } else {
    co_await Sleep(
      Milliseconds(UniformBelow(mContext->mRandom, kMaxTakeoverJitterMs)));
  }
  const bool before = mLease.IsHeld();
  const auto renewed = co_await mLease.AcquireOrRenew();
  mLastRenewed = now;
  if (mLease.IsHeld() &&
      (!before || now - mLastAnnounced >= kAnnounceInterval)) {
    mLastAnnounced = now;
    AnnounceHolder();
  }
  if (mLease.IsHeld() != before) {
    LogEvent("lease")
      .Field("duty", mDuty)
      .Field("held", mLease.IsHeld())
      .Field("fencing_number", mLease.FencingToken())
      .Field("reason",
             renewed.has_error() ? FormatError(renewed.error()) : "store")
      .Write();
  }
}

Awaitable<void> DutyLease::Release()
{
  if (mLease.IsHeld()) {
    LogEvent("lease")
      .Field("duty", mDuty)
      .Field("held", false)
      .Field("reason", "released")
      .Write();
    co_await mLease.Release();
  }
}

/// Whether the announced holder is a live member other than this daemon. The
/// record's sequence is the time of the announcement; a holder that loses the
/// lease stops announcing, so the record becomes too old.
bool DutyLease::IsHolderAlive() const
{
  const auto* record = mContext->mMembership.FindRecord(kLeaseTopic, mDuty);
  if (record == nullptr ||
      record->mValue == mContext->mMembership.Self().mAddress) {
    return false;
  }
  const int64_t age =
    mContext->mWallClock() - static_cast<int64_t>(record->mSequence);
  if (age > 2 * kDutyLeaseTtlSeconds * 1000) {
    return false;
  }
  const auto& members = mContext->mMembership.Members();
  const auto holder = members.find(record->mValue);
  return holder != members.end() && !holder->second.mInfo.mDraining &&
         (holder->second.mInfo.mState == coordination::MemberState::Alive ||
          holder->second.mInfo.mState == coordination::MemberState::Suspect);
}

void DutyLease::AnnounceHolder()
{
  coordination::GossipRecord record;
  record.mTopic = kLeaseTopic;
  record.mKey = mDuty;
  record.mValue = mContext->mMembership.Self().mAddress;
  record.mSequence = static_cast<uint64_t>(mContext->mWallClock());
  mContext->mMembership.Publish(record);
}

} // namespace agatetide::daemon
