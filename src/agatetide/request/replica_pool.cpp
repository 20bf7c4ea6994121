#include "agatetide/request/replica_pool.hpp"

#include "agatetide/base/event_log.hpp"

#include <algorithm>
#include <utility>

namespace agatetide::request {

namespace {

/// A report says little about the load after this time.
constexpr std::chrono::seconds kReportLifetime{ 2 };

} // namespace

ReplicaPool::ReplicaPool(const fleet::FleetView& aView,
                         Clock aClock,
                         Random aRandom)
  : mView(aView)
  , mClock(std::move(aClock))
  , mRandom(std::move(aRandom))
{
}

ReplicaPool::Use::Use(ReplicaPool& aPool, fleet::Replica aReplica)
  : mPool(&aPool)
  , mReplica(std::move(aReplica))
{
  ++mPool->mLoads[mReplica.mId].mRunning;
}

ReplicaPool::Use::Use(Use&& aOther) noexcept
  : mPool(std::exchange(aOther.mPool, nullptr))
  , mReplica(std::move(aOther.mReplica))
{
}

ReplicaPool::Use::~Use()
{
  if (mPool != nullptr) {
    mPool->Leave(mReplica.mId);
  }
}

void ReplicaPool::Leave(const std::string& aReplicaId)
{
  const auto found = mLoads.find(aReplicaId);
  --found->second.mRunning;
  if (found->second.mRunning == 0 && mView.FindReplica(aReplicaId) == nullptr) {
    mLoads.erase(found);
  }
}

double ReplicaPool::Others(const Load& aLoad) const
{
  return mClock() - aLoad.mReported < kReportLifetime ? aLoad.mOthers : 0.0;
}

uint32_t ReplicaPool::Running(std::string_view aReplicaId) const
{
  const auto found = mLoads.find(aReplicaId);
  return found == mLoads.end() ? 0 : found->second.mRunning;
}

double ReplicaPool::EstimatedRequests(const fleet::Replica& aReplica) const
{
  const auto found = mLoads.find(aReplica.mId);
  return found == mLoads.end() ? 0.0
                               : found->second.mRunning + Others(found->second);
}

bool ReplicaPool::Usable(const fleet::Replica& aReplica) const
{
  if (aReplica.mDraining) {
    return false;
  }
  const auto found = mLoads.find(aReplica.mId);
  return found == mLoads.end() || mClock() >= found->second.mSuspendedUntil;
}

std::string ReplicaPool::EjectionGroup(const fleet::Replica& aReplica) const
{
  return aReplica.mService + "/" + aReplica.mAvailabilityZone;
}

std::optional<ReplicaPool::Use> ReplicaPool::Choose(const ReplicaWish& aWish,
                                                    std::string_view aRequestId)
{
  std::vector<const fleet::Replica*> replicas;
  std::vector<policy::ReplicaCandidate> candidates;
  const TimePoint now = mClock();
  for (const auto& [id, replica] : mView.Replicas()) {
    if (replica.mService != aWish.mService || replica.mDraining ||
        aWish.mAvoid.contains(id) ||
        (aWish.mAllowed && !aWish.mAllowed(replica))) {
      continue;
    }
    policy::ReplicaCandidate candidate;
    candidate.mAddress = replica.mAddress;
    candidate.mSameRegion =
      mView.RegionOf(replica.mAvailabilityZone) == mView.Region();
    const double share =
      mEjection.HasEverEjected()
        ? mEjection.TrafficShare(EjectionGroup(replica), id, now)
        : 1.0;
    candidate.mExcluded =
      !Usable(replica) || (share < 1.0 && UniformUnit(mRandom) >= share);
    if (const auto load = mLoads.find(id); load != mLoads.end()) {
      candidate.mOwnRunning = load->second.mRunning;
      candidate.mReportedRunning = static_cast<uint32_t>(Others(load->second));
    }
    replicas.push_back(&replica);
    candidates.push_back(candidate);
  }
  const policy::ReplicaChoiceOptions options;
  auto chosen = policy::ChooseReplica(candidates, options, mRandom, mTurn);
  if (!chosen) {
    // An ejected replica is better than none.
    for (policy::ReplicaCandidate& candidate : candidates) {
      candidate.mExcluded = false;
    }
    chosen = policy::ChooseReplica(candidates, options, mRandom, mTurn);
  }
  if (!chosen) {
    return std::nullopt;
  }
  const fleet::Replica& replica = *replicas[*chosen];
  Event("route", LogLevel::Debug)
    .Field("request_id", aRequestId)
    .Field("upstream", aWish.mService)
    .Field("replica", replica.mId)
    .Field("candidates", static_cast<uint64_t>(candidates.size()))
    .Field("own_running", candidates[*chosen].mOwnRunning)
    .Field("others", candidates[*chosen].mReportedRunning)
    .Field("reason", aWish.mAvoid.empty() ? "lowest load" : "another attempt")
    .Write();
  return Use(*this, replica);
}

std::optional<ReplicaPool::Use> ReplicaPool::Take(std::string_view aReplicaId)
{
  const fleet::Replica* replica = mView.FindReplica(aReplicaId);
  if (replica == nullptr || !Usable(*replica)) {
    return std::nullopt;
  }
  return Use(*this, *replica);
}

void ReplicaPool::Observe(const fleet::Replica& aReplica,
                          const AttemptEnd& aEnd)
{
  mEjection.Observe(EjectionGroup(aReplica),
                    aReplica.mId,
                    aEnd.mFailed,
                    aEnd.mLatency,
                    mClock());
}

void ReplicaPool::Report(std::string_view aReplicaId, const ReportedLoad& aLoad)
{
  Load& load = mLoads[std::string(aReplicaId)];
  const double total = aLoad.mRunning + aLoad.mWaiting;
  load.mOthers = std::max(0.0, total - load.mRunning);
  load.mReported = mClock();
}

void ReplicaPool::Suspend(std::string_view aReplicaId, Duration aTime)
{
  Load& load = mLoads[std::string(aReplicaId)];
  load.mSuspendedUntil = std::max(load.mSuspendedUntil, mClock() + aTime);
}

} // namespace agatetide::request
