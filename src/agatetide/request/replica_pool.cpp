#include "agatetide/request/replica_pool.hpp"

#include "agatetide/base/event_log.hpp"

#include <algorithm>
#include <utility>

namespace agatetide::request {

namespace {

/// Older load reports are ignored, since the load has changed by then.
constexpr std::chrono::seconds kReportLifetime{ 2 };
/// Until another replica serves where the operator replaces them.
constexpr std::chrono::milliseconds kUsualReplacementTime{ 1000 };
/// Bounds the memory of the names of hosts whose reports cannot be read.
constexpr size_t kMaxUnreadableSenders = 1000;

} // namespace

ReplicaPool::ReplicaPool(const fleet::FleetView& aView,
                         Clock aClock,
                         Random aRandom,
                         std::string aHost)
  : mView(aView)
  , mClock(std::move(aClock))
  , mRandom(std::move(aRandom))
  , mLimits(aView, aHost, mClock)
  , mCold(aView, std::move(aHost), mClock)
  , mTable(aView, mClock)
{
}

ReplicaPool::Reservation::Reservation(ReplicaPool& aPool,
                                      fleet::Replica aReplica,
                                      SuspectKind aSuspect)
  : mPool(&aPool)
  , mReplica(std::move(aReplica))
  , mSuspect(aSuspect)
  , mStartedAt(aPool.mClock())
{
  Load& load = mPool->mLoads[mReplica.mId];
  ++load.mRunning;
  if (mSuspect != SuspectKind::None) {
    ++load.mSuspects[mSuspect];
  }
  mPool->mLimits.CountSent(mReplica.mId);
  mPool->mCold.CountSent(mReplica);
  mPool->mTable.CountStart(mReplica.mId);
}

ReplicaPool::Reservation::Reservation(Reservation&& aOther) noexcept
  : mPool(std::exchange(aOther.mPool, nullptr))
  , mReplica(std::move(aOther.mReplica))
  , mSuspect(aOther.mSuspect)
  , mStartedAt(aOther.mStartedAt)
{
}

ReplicaPool::Reservation::~Reservation()
{
  if (mPool != nullptr) {
    mPool->mTable.CountEnd(mReplica, mPool->mClock() - mStartedAt);
    mPool->Release(mReplica.mId, mSuspect);
  }
}

void ReplicaPool::Release(const std::string& aReplicaId, SuspectKind aSuspect)
{
  const auto found = mLoads.find(aReplicaId);
  --found->second.mRunning;
  if (aSuspect != SuspectKind::None &&
      --found->second.mSuspects[aSuspect] == 0) {
    found->second.mSuspects.erase(aSuspect);
  }
  if (found->second.mRunning == 0 && mView.FindReplica(aReplicaId) == nullptr) {
    mLoads.erase(found);
  }
}

double ReplicaPool::OtherRequests(const Load& aLoad) const
{
  return mClock() - aLoad.mReportedAt < kReportLifetime ? aLoad.mOtherRequests
                                                        : 0.0;
}

uint32_t ReplicaPool::RunningRequests(std::string_view aReplicaId) const
{
  const auto found = mLoads.find(aReplicaId);
  return found == mLoads.end() ? 0 : found->second.mRunning;
}

double ReplicaPool::EstimatedRequests(const fleet::Replica& aReplica) const
{
  if (UsesEstimates(aReplica.mService)) {
    return Estimate(aReplica).mRequests;
  }
  const auto found = mLoads.find(aReplica.mId);
  return found == mLoads.end()
           ? 0.0
           : found->second.mRunning + OtherRequests(found->second);
}

bool ReplicaPool::UsesEstimates(std::string_view aService) const
{
  return mChoicePolicy == policy::ReplicaChoicePolicy::ExpectedTime &&
         mTable.IsActive(aService);
}

policy::LoadCandidate ReplicaPool::MakeLoadCandidate(
  const fleet::Replica& aReplica) const
{
  const policy::EstimatedLoad estimate = Estimate(aReplica);
  policy::LoadCandidate candidate;
  candidate.mRequests = estimate.mRequests;
  candidate.mPace = estimate.mPace;
  candidate.mCertainty = estimate.mCertainty;
  candidate.mSlots = aReplica.mSlots;
  candidate.mSameRegion =
    mView.RegionOf(aReplica.mAvailabilityZone) == mView.Region();
  candidate.mWorkSeconds = mTable.WorkSeconds(aReplica.mService);
  return candidate;
}

void ReplicaPool::ImportLoads(std::string_view aText, std::string_view aSender)
{
  if (aText.empty()) {
    return;
  }
  const auto accepted = mTable.Import(aText);
  if (accepted.has_error() &&
      mUnreadableSenders.size() < kMaxUnreadableSenders &&
      mUnreadableSenders.emplace(aSender).second) {
    LogEvent("loads_ignored", LogLevel::Warning)
      .Field("host", aSender)
      .Field("error", FormatError(accepted.error()))
      .Write();
  }
}

bool ReplicaPool::IsUsable(const fleet::Replica& aReplica) const
{
  return !aReplica.mDraining && !IsBlocked(aReplica.mId) &&
         !mView.IsEvacuated(aReplica.mAvailabilityZone) &&
         LimitDelay(aReplica) <= Duration::zero();
}

Duration ReplicaPool::LimitDelay(const fleet::Replica& aReplica) const
{
  return std::max(mLimits.Delay(aReplica.mId), mCold.Delay(aReplica));
}

bool ReplicaPool::IsBlocked(const std::string& aReplicaId) const
{
  const auto found = mLoads.find(aReplicaId);
  return found != mLoads.end() && mClock() < found->second.mBlockedUntil;
}

bool ReplicaPool::Passes(const ReplicaFilter& aFilter,
                         const fleet::Replica& aReplica) const
{
  return aReplica.mService == aFilter.mService && !aReplica.mDraining &&
         mView.MayUse(aReplica, aFilter.mAllowedRegions) &&
         !aFilter.mExcludedIds.contains(aReplica.mId) &&
         (!aFilter.mIsAllowed || aFilter.mIsAllowed(aReplica));
}

Duration ReplicaPool::EstimateLimitDelay(const ReplicaFilter& aFilter,
                                         size_t aWaitingCount) const
{
  Duration shortest = Duration::max();
  double requestsPerSecond = 0.0;
  for (const auto& [id, replica] : mView.Replicas()) {
    if (Passes(aFilter, replica)) {
      shortest = std::min(shortest, LimitDelay(replica));
      requestsPerSecond += mLimits.Rate(id);
    }
  }
  if (shortest == Duration::max() || requestsPerSecond <= 0.0) {
    return shortest;
  }
  const std::chrono::duration<double> others(
    static_cast<double>(aWaitingCount) / requestsPerSecond);
  return shortest + std::chrono::ceil<Duration>(others);
}

std::optional<Milliseconds> ReplicaPool::TimeUntilReplacement(
  std::string_view aService,
  const std::optional<fleet::RegionSet>& aAllowedRegions) const
{
  for (const auto& [id, replica] : mView.Replicas()) {
    if (replica.mService == aService && !replica.mDraining &&
        mView.MayUse(replica, aAllowedRegions)) {
      return std::nullopt;
    }
  }
  if (const auto& config = mView.Config()) {
    const auto service = config->mServices.find(aService);
    if (service != config->mServices.end() && service->second.mScaling) {
      return service->second.mScaling->mBootTime;
    }
  }
  return kUsualReplacementTime;
}

std::string ReplicaPool::EjectionGroup(const fleet::Replica& aReplica) const
{
  return aReplica.mService + "/" + aReplica.mAvailabilityZone;
}

/// The replicas that may run a request; all lists have the same order.
struct ReplicaPool::Candidates
{
  std::vector<const fleet::Replica*> mReplicas;
  std::vector<policy::ReplicaCandidate> mChoices;
  /// Empty if the service's replicas do not report their pace.
  std::vector<policy::LoadCandidate> mEstimates;
  /// Replicas to choose only if there is no other.
  std::vector<bool> mExcluded;
  /// Replicas that run a suspect which the request should not run beside.
  std::vector<bool> mRunSuspects;
};

ReplicaPool::Candidates ReplicaPool::FindCandidates(
  const ReplicaFilter& aFilter)
{
  Candidates candidates;
  const TimePoint now = mClock();
  const bool usesEstimates = UsesEstimates(aFilter.mService);
  for (const auto& [id, replica] : mView.Replicas()) {
    if (!Passes(aFilter, replica)) {
      continue;
    }
    mLimits.RecordDemand(id);
    if (LimitDelay(replica) > Duration::zero()) {
      continue;
    }
    policy::ReplicaCandidate choice;
    bool runsSuspect = false;
    choice.mAddress = replica.mAddress;
    choice.mSameRegion =
      mView.RegionOf(replica.mAvailabilityZone) == mView.Region();
    const double share =
      mEjection.HasEverEjected()
        ? mEjection.TrafficShare(EjectionGroup(replica), id, now)
        : 1.0;
    const bool excluded =
      IsBlocked(id) || (share < 1.0 && UniformUnit(mRandom) >= share);
    if (const auto found = mLoads.find(id); found != mLoads.end()) {
      const Load& load = found->second;
      choice.mOwnRunning = load.mRunning;
      choice.mReportedRunning = static_cast<uint32_t>(OtherRequests(load));
      runsSuspect = aFilter.mSuspect == SuspectKind::None
                      ? load.mSuspects.contains(SuspectKind::Probable)
                      : !load.mSuspects.empty();
    }
    candidates.mReplicas.push_back(&replica);
    candidates.mChoices.push_back(choice);
    if (usesEstimates) {
      candidates.mEstimates.push_back(MakeLoadCandidate(replica));
    }
    candidates.mExcluded.push_back(excluded);
    candidates.mRunSuspects.push_back(runsSuspect);
  }
  return candidates;
}

/// Chooses among the candidates that are not excluded.
std::optional<size_t> ReplicaPool::ChooseIncluded(Candidates& aCandidates)
{
  if (aCandidates.mEstimates.empty()) {
    return policy::ChooseReplica(
      aCandidates.mChoices, {}, mRandom, mRoundRobinCounter);
  }
  for (size_t i = 0; i < aCandidates.mEstimates.size(); ++i) {
    aCandidates.mEstimates[i].mExcluded = aCandidates.mChoices[i].mExcluded;
  }
  return policy::ChooseByExpectedTime(aCandidates.mEstimates, {}, mRandom);
}

/// Relaxes the conditions one by one: any replica is better than failing the
/// request.
std::optional<size_t> ReplicaPool::Choose(Candidates& aCandidates,
                                          SuspectKind aSuspect)
{
  enum Condition
  {
    Idle,
    WithoutSuspect,
    NotExcluded,
    Any,
  };
  std::vector<policy::ReplicaCandidate>& choices = aCandidates.mChoices;
  const bool wantsIdle = aSuspect == SuspectKind::Probable;
  for (int condition = wantsIdle ? Idle : WithoutSuspect; condition <= Any;
       ++condition) {
    for (size_t i = 0; i < choices.size(); ++i) {
      const bool busy = policy::EstimatedRequests(choices[i]) > 0.0;
      choices[i].mExcluded =
        (condition <= Idle && busy) ||
        (condition <= WithoutSuspect && aCandidates.mRunSuspects[i]) ||
        (condition <= NotExcluded && aCandidates.mExcluded[i]);
    }
    const auto chosen = ChooseIncluded(aCandidates);
    if (chosen) {
      return chosen;
    }
  }
  return std::nullopt;
}

std::optional<ReplicaPool::Reservation> ReplicaPool::ChooseAndReserve(
  const ReplicaFilter& aFilter,
  std::string_view aRequestId)
{
  Candidates candidates = FindCandidates(aFilter);
  const auto chosen = Choose(candidates, aFilter.mSuspect);
  if (!chosen) {
    return std::nullopt;
  }
  const fleet::Replica& replica = *candidates.mReplicas[*chosen];
  const policy::ReplicaCandidate& choice = candidates.mChoices[*chosen];
  LogEvent event("route", LogLevel::Debug);
  event.Field("request_id", aRequestId)
    .Field("upstream", aFilter.mService)
    .Field("replica", replica.mId)
    .Field("candidates", static_cast<uint64_t>(candidates.mReplicas.size()))
    .Field("own_running", choice.mOwnRunning)
    .Field("others", choice.mReportedRunning)
    .Field("reason",
           aFilter.mExcludedIds.empty() ? "lowest load" : "another attempt");
  if (!candidates.mEstimates.empty()) {
    AddEstimate(event, Estimate(replica));
  }
  event.Write();
  return Reservation(*this, replica, aFilter.mSuspect);
}

std::optional<ReplicaPool::Reservation> ReplicaPool::TryReserve(
  std::string_view aReplicaId)
{
  const fleet::Replica* replica = mView.FindReplica(aReplicaId);
  if (replica == nullptr || !IsUsable(*replica)) {
    return std::nullopt;
  }
  return Reservation(*this, *replica);
}

void ReplicaPool::RecordAttempt(const fleet::Replica& aReplica,
                                const AttemptResult& aResult)
{
  mEjection.Observe(EjectionGroup(aReplica),
                    aReplica.mId,
                    aResult.mFailed,
                    aResult.mLatency,
                    mClock());
}

void ReplicaPool::RecordLoad(std::string_view aReplicaId,
                             const ReportedLoad& aLoad)
{
  Load& load = mLoads[std::string(aReplicaId)];
  const double total = aLoad.mRunning + aLoad.mQueued;
  load.mOtherRequests = std::max(0.0, total - load.mRunning);
  load.mReportedAt = mClock();
}

void ReplicaPool::BlockFor(std::string_view aReplicaId, Duration aDuration)
{
  Load& load = mLoads[std::string(aReplicaId)];
  load.mBlockedUntil = std::max(load.mBlockedUntil, mClock() + aDuration);
}

void ReplicaPool::UnblockAll()
{
  for (auto& [id, load] : mLoads) {
    load.mBlockedUntil = {};
  }
}

} // namespace agatetide::request
