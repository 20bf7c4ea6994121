#include "agatetide/daemon/order_duty.hpp"

#include "agatetide/clients/platform_client.hpp"
#include "agatetide/daemon/upstream_duty.hpp"
#include "agatetide/policy/placement.hpp"

#include <cstdlib>

namespace agatetide::daemon {

using namespace coordination;

namespace {

constexpr std::chrono::milliseconds kOrderTimeout{ 2000 };
/// A zone whose cheaper upstreams were reclaimed gets no new ones for so long.
constexpr std::chrono::minutes kReclaimPause{ 5 };

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
  const auto& policies = mContext.mSettings.mPolicies;
  const auto chosen = policies.find("placement");
  mScales = chosen != policies.end() && chosen->second == "queued_work";
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
    if (mTenure != mLease.FencingToken()) {
      mTenure = mLease.FencingToken();
      mConfirmed.clear();
    }
    const std::vector<v1::Placement> wanted = Wanted();
    for (const v1::Placement& placement : wanted) {
      const std::string name =
        placement.upstream() + "@" + placement.availability_zone();
      if (mConfirmed[name] != IntentText(placement) && MaySend()) {
        co_await Send(placement);
      }
    }
  }
}

std::vector<v1::Placement> OrderDuty::Wanted()
{
  const auto config = mContext.mConfig();
  std::vector<v1::Placement> wanted;
  for (const auto& [name, placement] : config->mPlacements) {
    wanted.push_back(placement);
  }
  for (const auto& [name, upstream] : config->mUpstreams) {
    if (mScales && upstream.kind() == v1::Upstream::KIND_ENGINE) {
      AddScaled(upstream, wanted);
    }
  }
  return wanted;
}

/// Adds the placements that the load of an engine group asks for.
void OrderDuty::AddScaled(const v1::Upstream& aUpstream,
                          std::vector<v1::Placement>& aWanted)
{
  const TimePoint now = mContext.mClock();
  policy::PlacementLoad load;
  std::map<std::string, bool> zones;
  for (const v1::Replica& replica : aUpstream.replicas()) {
    const std::string& zone = replica.availability_zone();
    const auto* fact =
      mContext.mMembership.FindRecord(kLoadTopic, replica.address());
    const clients::UpstreamLoad report =
      fact == nullptr ? clients::UpstreamLoad{} : DecodeLoad(fact->mValue);
    const bool leaving = replica.leaving() || report.mLeaving;
    if (leaving && replica.preemptible()) {
      mReclaimedAt[zone] = now;
    }
    load.mReplicas += leaving ? 0 : 1;
    load.mRunning += report.mRunning;
    load.mQueued += report.mQueued;
    zones.emplace(zone, true);
  }
  std::vector<policy::ZoneState> states;
  for (const auto& [zone, known] : zones) {
    const auto reclaimed = mReclaimedAt.find(zone);
    states.push_back({ zone,
                       reclaimed == mReclaimedAt.end() ||
                         now - reclaimed->second > kReclaimPause });
  }
  const auto [scale, added] =
    mScale.try_emplace(aUpstream.name(), Scale{ load.mReplicas, now });
  load.mReplicas = scale->second.mReplicas;
  load.mSinceChange = now - scale->second.mChangedAt;
  const uint32_t desired = policy::DesiredReplicas(load, {});
  if (desired != scale->second.mReplicas) {
    scale->second = { desired, now };
  }
  const auto& operators = mContext.mConfig()->mPlacements;
  for (const auto& zone : policy::PlaceReplicas(desired, states, {})) {
    if (!operators.contains(aUpstream.name() + "@" + zone.mZone)) {
      v1::Placement placement;
      placement.set_upstream(aUpstream.name());
      placement.set_availability_zone(zone.mZone);
      placement.set_regular(zone.mRegular);
      placement.set_preemptible(zone.mPreemptible);
      aWanted.push_back(placement);
    }
  }
}

Awaitable<void> OrderDuty::Send(const v1::Placement& aPlacement)
{
  const auto sequence = co_await WriteIntent(aPlacement);
  if (sequence.has_error() || !MaySend()) {
    co_return;
  }
  clients::CapacityOrder order;
  order.mUpstream = aPlacement.upstream();
  order.mAvailabilityZone = aPlacement.availability_zone();
  order.mRegular = aPlacement.regular();
  order.mPreemptible = aPlacement.preemptible();
  order.mSequence = *sequence;
  order.mFencingToken = mLease.FencingToken();
  const auto sent =
    co_await clients::SendCapacityOrder(mContext.mClient,
                                        mContext.mSettings.mPlatformEndpoint,
                                        order,
                                        mContext.mClock() + kOrderTimeout);
  Event("order")
    .Field("upstream", order.mUpstream)
    .Field("availability_zone", order.mAvailabilityZone)
    .Field("regular", order.mRegular)
    .Field("preemptible", order.mPreemptible)
    .Field("sequence", order.mSequence)
    .Field("fencing_number", order.mFencingToken)
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
