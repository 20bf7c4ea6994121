#include "agatetide/daemon/order_duty.hpp"

#include "agatetide/platform/platform_api.hpp"

#include <cstdlib>

namespace agatetide::daemon {

using namespace coordination;

namespace {

constexpr std::chrono::milliseconds kOrderTimeout{ 2000 };

std::string IntentKey(const v1::Placement& aPlacement)
{
  return "agatetide/orders/" + aPlacement.upstream() + "@" +
         aPlacement.availability_zone();
}

std::string IntentText(const v1::Placement& aPlacement)
{
  return std::to_string(aPlacement.regular()) + " " +
         std::to_string(aPlacement.preemptible());
}

} // namespace

OrderDuty::OrderDuty(DutyContext& aContext, DutyLease aLease)
  : mContext(aContext)
  , mLease(std::move(aLease))
{
}

/// A predecessor's order can be in flight for the order time-out after its
/// lease lapsed. The platform may not check fencing numbers, so a new holder
/// waits that long before its first order.
bool OrderDuty::MaySend() const
{
  return mLease.Held() &&
         mContext.mClock() - mLease.HeldSince() > kOrderTimeout;
}

Awaitable<void> OrderDuty::Run()
{
  for (;;) {
    co_await Sleep(Milliseconds(1000));
    co_await mLease.Maintain();
    if (!MaySend()) {
      continue;
    }
    if (mTenure != mLease.FencingNumber()) {
      mTenure = mLease.FencingNumber();
      mConfirmed.clear();
    }
    const auto config = mContext.mConfig();
    for (const auto& [name, placement] : config->mPlacements) {
      if (mConfirmed[name] != IntentText(placement) && MaySend()) {
        co_await Send(placement);
      }
    }
  }
}

Awaitable<void> OrderDuty::Send(const v1::Placement& aPlacement)
{
  const auto sequence = co_await WriteIntent(aPlacement);
  if (sequence.has_error() || !MaySend()) {
    co_return;
  }
  platform::UpstreamOrder order;
  order.mUpstream = aPlacement.upstream();
  order.mAvailabilityZone = aPlacement.availability_zone();
  order.mRegular = aPlacement.regular();
  order.mPreemptible = aPlacement.preemptible();
  order.mSequence = *sequence;
  order.mFencingNumber = mLease.FencingNumber();
  const auto sent =
    co_await platform::SendOrder(mContext.mClient,
                                 mContext.mSettings.mPlatform,
                                 order,
                                 mContext.mClock() + kOrderTimeout);
  Event("order")
    .Field("upstream", order.mUpstream)
    .Field("availability_zone", order.mAvailabilityZone)
    .Field("regular", order.mRegular)
    .Field("preemptible", order.mPreemptible)
    .Field("sequence", order.mSequence)
    .Field("fencing_number", order.mFencingNumber)
    .Field("result", sent.has_error() ? FormatError(sent.error()) : "sent")
    .Write();
  if (sent.has_value()) {
    mConfirmed[aPlacement.upstream() + "@" + aPlacement.availability_zone()] =
      IntentText(aPlacement);
  }
}

/// Stores the intent and returns its sequence number, which grows with each
/// different intent. The comparison with the revision that was read makes a
/// second writer's attempt fail.
Awaitable<Result<int64_t>> OrderDuty::WriteIntent(
  const v1::Placement& aPlacement)
{
  const std::string key = IntentKey(aPlacement);
  auto stored = co_await ReadKey(mContext.mStore, key);
  if (stored.has_error()) {
    co_return stored.error();
  }
  int64_t sequence = 0;
  if (stored->has_value()) {
    const std::string& value = (*stored)->mValue;
    sequence = std::strtoll(value.c_str(), nullptr, 10);
    if (value == std::to_string(sequence) + " " + IntentText(aPlacement)) {
      co_return sequence;
    }
  }
  ++sequence;
  TransactionRequest write;
  write.mCompares.push_back(
    { key, stored->has_value() ? (*stored)->mModRevision : 0 });
  write.mPuts.push_back(
    { key, std::to_string(sequence) + " " + IntentText(aPlacement) });
  auto written = co_await mContext.mStore(write);
  if (written.has_error()) {
    co_return written.error();
  }
  if (!written->mSucceeded) {
    co_return Error{ ErrorKind::Conflict,
                     "another daemon wrote the intent",
                     "read it again" };
  }
  co_return sequence;
}

} // namespace agatetide::daemon
