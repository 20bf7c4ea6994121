#include "agatetide/daemon/duty.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace agatetide::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds kRenewInterval{ 2 };
/// The holder's age limit is twice the TTL, so one announcement for each TTL
/// suffices; announcing each renewal filled the datagrams.
constexpr std::chrono::seconds kAnnounceInterval{ kDutyLeaseTtlSeconds };
/// Spreads the attempts to take a free lease.
constexpr uint64_t kTakeoverJitterMs = 400;

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
  if (mLease.Held()) {
    if (now - mLastRenewal < kRenewInterval) {
      co_return;
    }
  } else if (HolderAlive() || mContext->mMembership.Self().mDraining) {
    co_return;
  } else {
    co_await Sleep(
      Milliseconds(UniformBelow(mContext->mRandom, kTakeoverJitterMs)));
  }
  const bool before = mLease.Held();
  const auto renewed = co_await mLease.Renew();
  mLastRenewal = now;
  if (mLease.Held() &&
      (!before || now - mLastAnnouncement >= kAnnounceInterval)) {
    mLastAnnouncement = now;
    Announce();
  }
  if (mLease.Held() != before) {
    Event("lease")
      .Field("duty", mDuty)
      .Field("held", mLease.Held())
      .Field("fencing_number", mLease.FencingToken())
      .Field("reason",
             renewed.has_error() ? FormatError(renewed.error()) : "store")
      .Write();
  }
}

Awaitable<void> DutyLease::Release()
{
  if (mLease.Held()) {
    Event("lease")
      .Field("duty", mDuty)
      .Field("held", false)
      .Field("reason", "released")
      .Write();
    co_await mLease.Release();
  }
}

/// Whether the announced holder is a live member other than this daemon. A
/// holder that loses the lease stops announcing it, which the sequence shows.
bool DutyLease::HolderAlive() const
{
  const auto* fact = mContext->mMembership.FindRecord(kLeaseTopic, mDuty);
  if (fact == nullptr ||
      fact->mValue == mContext->mMembership.Self().mAddress) {
    return false;
  }
  const int64_t age =
    mContext->mWallClock() - static_cast<int64_t>(fact->mSequence);
  if (age > 2 * kDutyLeaseTtlSeconds * 1000) {
    return false;
  }
  const auto& members = mContext->mMembership.Members();
  const auto holder = members.find(fact->mValue);
  return holder != members.end() && !holder->second.mInfo.mDraining &&
         (holder->second.mInfo.mState == coordination::MemberState::Alive ||
          holder->second.mInfo.mState == coordination::MemberState::Suspect);
}

void DutyLease::Announce()
{
  coordination::GossipRecord fact;
  fact.mTopic = kLeaseTopic;
  fact.mKey = mDuty;
  fact.mValue = mContext->mMembership.Self().mAddress;
  fact.mSequence = static_cast<uint64_t>(mContext->mWallClock());
  mContext->mMembership.Publish(fact);
}

} // namespace agatetide::daemon
