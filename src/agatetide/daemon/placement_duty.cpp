#include "agatetide/daemon/placement_duty.hpp"

#include "agatetide/clients/platform_client.hpp"
#include "agatetide/daemon/upstream_duty.hpp"
#include "agatetide/policy/placement.hpp"

#include <cstdlib>

namespace agatetide::daemon {

using namespace coordination;

namespace {

constexpr std::chrono::milliseconds kOrderTimeout{ 2000 };
/// After preemptible replicas of an availability zone were reclaimed, no new
/// ones are ordered there for this long.
constexpr std::chrono::minutes kReclaimBackoff{ 5 };

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

PlacementDuty::PlacementDuty(DutyContext& aContext, DutyLease aLease)
  : mContext(aContext)
  , mLease(std::move(aLease))
{
  const auto& policies = mContext.mSettings.mPolicies;
  const auto chosen = policies.find("placement");
  mAutoscaling = chosen != policies.end() && chosen->second == "queued_work";
}

/// An order of the previous lease holder can still be in flight for
/// kOrderTimeout after that lease expired. The platform may not check fencing
/// tokens, so a new holder waits that long before its first order.
bool PlacementDuty::MaySend() const
{
  return mLease.IsHeld() &&
         mContext.mClock() - mLease.HeldSince() > kOrderTimeout;
}

Awaitable<void> PlacementDuty::Run()
{
  for (;;) {
    co_await Sleep(Milliseconds(1000));
    co_await mLease.Maintain();
    if (!MaySend()) {
      continue;
    }
    if (mConfirmedFencingToken != mLease.FencingToken()) {
      mConfirmedFencingToken = mLease.FencingToken();
      mConfirmedPlacements.clear();
    }
    const std::vector<v1::Placement> placements = WantedPlacements();
    for (const v1::Placement& placement : placements) {
      const std::string name =
        placement.upstream() + "@" + placement.availability_zone();
      if (mConfirmedPlacements[name] != IntentText(placement) && MaySend()) {
        co_await SendOrder(placement);
      }
    }
  }
}

std::vector<v1::Placement> PlacementDuty::WantedPlacements()
{
  const auto config = mContext.mConfig();
  std::vector<v1::Placement> placements;
  for (const auto& [name, placement] : config->mPlacements) {
    placements.push_back(placement);
  }
  for (const auto& [name, upstream] : config->mUpstreams) {
    if (mAutoscaling && upstream.kind() == v1::Upstream::KIND_ENGINE) {
      AddScaledPlacements(upstream, placements);
    }
  }
  return placements;
}

/// Adds the placements that the load of an engine group requires.
void PlacementDuty::AddScaledPlacements(const v1::Upstream& aUpstream,
                                        std::vector<v1::Placement>& aPlacements)
{
  const TimePoint now = mContext.mClock();
  policy::PlacementLoad load;
  std::map<std::string, bool> zones;
  for (const v1::Replica& replica : aUpstream.replicas()) {
    const std::string& zone = replica.availability_zone();
    const auto* record =
      mContext.mMembership.FindRecord(kLoadTopic, replica.address());
    const clients::ReplicaLoad report =
      record == nullptr ? clients::ReplicaLoad{} : DecodeLoad(record->mValue);
    const bool leaving = replica.leaving() || report.mDraining;
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
                         now - reclaimed->second > kReclaimBackoff });
  }
  const auto [scaling, added] = mScaleStates.try_emplace(
    aUpstream.name(), ScaleState{ load.mReplicas, now });
  load.mReplicas = scaling->second.mReplicas;
  load.mSinceChange = now - scaling->second.mChangedAt;
  const uint32_t desired = policy::DesiredReplicas(load, {});
  if (desired != scaling->second.mReplicas) {
    scaling->second = { desired, now };
  }
  const auto& configured = mContext.mConfig()->mPlacements;
  for (const auto& zone : policy::PlaceReplicas(desired, states, {})) {
    if (!configured.contains(aUpstream.name() + "@" + zone.mZone)) {
      v1::Placement placement;
      placement.set_upstream(aUpstream.name());
      placement.set_availability_zone(zone.mZone);
      placement.set_regular(zone.mRegular);
      placement.set_preemptible(zone.mPreemptible);
      aPlacements.push_back(placement);
    }
  }
}

Awaitable<void> PlacementDuty::SendOrder(const v1::Placement& aPlacement)
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
  LogEvent("order")
    .Field("upstream", order.mUpstream)
    .Field("availability_zone", order.mAvailabilityZone)
    .Field("regular", order.mRegular)
    .Field("preemptible", order.mPreemptible)
    .Field("sequence", order.mSequence)
    .Field("fencing_number", order.mFencingToken)
    .Field("result", sent.has_error() ? FormatError(sent.error()) : "sent")
    .Write();
  if (sent.has_value()) {
    mConfirmedPlacements[aPlacement.upstream() + "@" +
                         aPlacement.availability_zone()] =
      IntentText(aPlacement);
  }
}

/// Stores the intended placement before it is ordered and returns its sequence
/// number, which increases whenever the placement changes. The write compares
/// the revision that was read, so that of two concurrent writers one fails.
Awaitable<Result<int64_t>> PlacementDuty::WriteIntent(
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
    co_return Error{
      ErrorKind::Conflict,
      "another daemon changed the stored placement at the same time",
      "read the placement again and retry"
    };
  }
  co_return sequence;
}

} // namespace agatetide::daemon
