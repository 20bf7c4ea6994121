#include "agatetide/daemon/traffic.hpp"

#include <algorithm>
#include <cmath>

namespace agatetide::daemon {

namespace {

/// Time constant of ReplicaLoad::mAverageRunning; about the delay of load
/// reports.
constexpr std::chrono::milliseconds kLoadReportLag{ 1000 };
/// Answers over which the mean latency is averaged.
constexpr int kMeanLatencyWindow = 20;
/// Queue limit per request class of the "fifo" queue policy, which has one
/// queue for all client accounts.
constexpr size_t kMaxFifoQueueLength = 4096;

/// Whether the settings choose this policy for a decision.
bool IsPolicyChosen(const Settings& aSettings,
                    const char* aDecision,
                    std::string_view aPolicy)
{
  const auto chosen = aSettings.mPolicies.find(aDecision);
  return chosen != aSettings.mPolicies.end() && chosen->second == aPolicy;
}

ConcurrencyLimiterOptions MakeLimiterOptions(const Settings& aSettings)
{
  ConcurrencyLimiterOptions options;
  if (IsPolicyChosen(aSettings, "queue", "fifo")) {
    options.mQueue.mPolicy = policy::QueuePolicy::FirstInFirstOut;
    options.mQueue.mMaxPerAccount = kMaxFifoQueueLength;
    options.mRefuseEarly = false;
  }
  options.mHeadroom.mEnabled = !IsPolicyChosen(aSettings, "headroom", "none");
  return options;
}

policy::ReplicaChoiceOptions ChoiceOptions(const Settings& aSettings)
{
  policy::ReplicaChoiceOptions options;
  if (IsPolicyChosen(aSettings, "replica_choice", "round_robin")) {
    options.mPolicy = policy::ReplicaPolicy::RoundRobin;
  }
  return options;
}

policy::ConcurrencyLimitOptions LimitOptions(const Settings& aSettings)
{
  policy::ConcurrencyLimitOptions options;
  if (IsPolicyChosen(aSettings, "concurrency", "fixed")) {
    options.mPolicy = policy::LimitPolicy::Fixed;
  }
  return options;
}

policy::OutlierEjectionOptions EjectionOptions(const Settings& aSettings)
{
  policy::OutlierEjectionOptions options;
  options.mEnabled = !IsPolicyChosen(aSettings, "ejection", "none");
  return options;
}

policy::HedgeOptions HedgingOptions(const Settings& aSettings)
{
  policy::HedgeOptions options;
  options.mEnabled = !IsPolicyChosen(aSettings, "hedging", "none");
  return options;
}

policy::RetryBudgetOptions RetryOptions(const Settings& aSettings)
{
  constexpr policy::RetryBudgetOptions kUnbounded{ 1e3, 1e6 };
  return IsPolicyChosen(aSettings, "retry_budget", "none")
           ? kUnbounded
           : policy::RetryBudgetOptions{};
}

constexpr policy::RetryBudgetOptions kHedgeBudget{ 0.05, 5.0 };

/// Name of the group within which replicas are compared for outlier ejection:
/// the replicas of one region.
std::string EjectionGroup(const v1::Upstream& aUpstream,
                          std::string_view aReplica)
{
  for (const v1::Replica& replica : aUpstream.replicas()) {
    if (replica.address() == aReplica) {
      return aUpstream.name() + "/" + replica.region();
    }
  }
  return aUpstream.name();
}

} // namespace

void ReplicaLoad::Update(int aDelta, TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - mUpdatedAt;
  const double decay =
    std::exp(-elapsed / std::chrono::duration<double>(kLoadReportLag));
  mAverageRunning = mAverageRunning * decay + mRunning * (1.0 - decay);
  mUpdatedAt = aNow;
  mRunning += static_cast<uint32_t>(aDelta);
}

UpstreamState::UpstreamState(const Settings& aSettings)
  : mConcurrencyLimit(LimitOptions(aSettings))
  , mEjection(EjectionOptions(aSettings))
  , mRetryBudget(RetryOptions(aSettings))
  , mHedgeBudget(kHedgeBudget)
  , mHedgeDelay(HedgingOptions(aSettings))
{
}

UpstreamState& FindOrCreateUpstreamState(TrafficContext& aContext,
                                         const std::string& aUpstream)
{
  auto& state = aContext.mUpstreams[aUpstream];
  if (!state) {
    state = std::make_unique<UpstreamState>(aContext.mSettings);
  }
  return *state;
}

void ObserveAttempt(TrafficContext& aContext,
                    const v1::Upstream& aUpstream,
                    std::string_view aReplica,
                    const AttemptOutcome& aOutcome)
{
  UpstreamState& state = FindOrCreateUpstreamState(aContext, aUpstream.name());
  const TimePoint now = aContext.mClock();
  // Answers of engines differ in length, so their latency is taken per token.
  const Duration latency = aOutcome.mTokens > 0
                             ? aOutcome.mLatency / aOutcome.mTokens
                             : aOutcome.mLatency;
  state.mEjection.Observe(EjectionGroup(aUpstream, aReplica),
                          aReplica,
                          aOutcome.mFailed,
                          latency,
                          now);
  if (aOutcome.mFailed) {
    return;
  }
  const auto limiter = aContext.mLimiters.find(aUpstream.name());
  if (limiter == aContext.mLimiters.end()) {
    return;
  }
  const policy::LimitUsage usage = limiter->second->Usage();
  // The limit of engines is fixed; see EngineLimit().
  if (aUpstream.kind() != v1::Upstream::KIND_ENGINE) {
    if (state.mConcurrencyLimit.Observe(aReplica, latency, usage, now)) {
      LogEvent("concurrency_limit", LogLevel::Debug)
        .Field("upstream", aUpstream.name())
        .Field("per_replica", state.mConcurrencyLimit.LimitPerReplica())
        .Field("waiting", limiter->second->WaitingCount())
        .Write();
    }
    state.mHedgeDelay.Observe(latency);
    state.mMeanLatency += (latency - state.mMeanLatency) / kMeanLatencyWindow;
  }
}

double AccountWeight(const TrafficContext& aContext,
                     const std::string& aAccount)
{
  const auto& accounts = aContext.mView->mConfig->mAccounts;
  const auto found = accounts.find(aAccount);
  return found == accounts.end() || found->second.weight() <= 0.0
           ? 1.0
           : found->second.weight();
}

namespace {

/// The fixed concurrency limit of an engine group. Engines batch requests and
/// queue them by priority themselves, so their limit does not adapt to latency.
/// With the initial adaptive limit of 4 instead of 16 per replica, a step took
/// three times as long.
size_t EngineLimit(size_t aReplicas)
{
  const auto perReplica =
    static_cast<size_t>(policy::ConcurrencyLimitOptions{}.mFixedLimit);
  return std::max<size_t>(1, aReplicas * perReplica);
}

} // namespace

std::shared_ptr<ConcurrencyLimiter> FindOrCreateLimiter(
  TrafficContext& aContext,
  const v1::Upstream& aUpstream)
{
  auto& limiter = aContext.mLimiters[aUpstream.name()];
  if (!limiter) {
    limiter = std::make_shared<ConcurrencyLimiter>(
      MakeLimiterOptions(aContext.mSettings), aContext.mClock);
  }
  const auto usable = std::count_if(
    aUpstream.replicas().begin(),
    aUpstream.replicas().end(),
    [&](const v1::Replica& aReplica) {
      return !aReplica.leaving() &&
             !aContext.mView->mDrainingReplicas.contains(aReplica.address());
    });
  const UpstreamState& state =
    FindOrCreateUpstreamState(aContext, aUpstream.name());
  const auto replicas = static_cast<size_t>(usable);
  limiter->SetLimit(aUpstream.kind() == v1::Upstream::KIND_ENGINE
                      ? EngineLimit(replicas)
                      : state.mConcurrencyLimit.Limit(replicas));
  limiter->SetServiceTime(state.mMeanLatency);
  return limiter;
}

SelectedReplica::SelectedReplica(TrafficContext& aContext, std::string aAddress)
  : mContext(&aContext)
  , mAddress(std::move(aAddress))
{
  mContext->mReplicaLoads[mAddress].Update(1, mContext->mClock());
}

SelectedReplica::SelectedReplica(SelectedReplica&& aOther) noexcept
  : mContext(std::exchange(aOther.mContext, nullptr))
  , mAddress(std::move(aOther.mAddress))
{
}

SelectedReplica::~SelectedReplica()
{
  if (mContext != nullptr) {
    mContext->mReplicaLoads[mAddress].Update(-1, mContext->mClock());
  }
}

Result<SelectedReplica> SelectReplica(TrafficContext& aContext,
                                      const v1::Upstream& aUpstream,
                                      const std::set<std::string>& aAvoid,
                                      std::string_view aRequestId)
{
  const TrafficView& view = *aContext.mView;
  const policy::OutlierEjection& ejection =
    FindOrCreateUpstreamState(aContext, aUpstream.name()).mEjection;
  const TimePoint now = aContext.mClock();
  std::vector<policy::ReplicaCandidate> candidates;
  candidates.reserve(static_cast<size_t>(aUpstream.replicas_size()));
  for (const v1::Replica& replica : aUpstream.replicas()) {
    policy::ReplicaCandidate candidate;
    candidate.mAddress = replica.address();
    candidate.mSameRegion = replica.region() == aContext.mSettings.mRegion;
    candidate.mDraining =
      replica.leaving() || view.mDrainingReplicas.contains(replica.address());
    const double share =
      ejection.HasEverEjected()
        ? ejection.TrafficShare(
            aUpstream.name() + "/" + replica.region(), replica.address(), now)
        : 1.0;
    candidate.mExcluded =
      aAvoid.contains(replica.address()) ||
      (share < 1.0 && UniformUnit(aContext.mRandom) >= share);
    if (const auto load = view.mLoads.find(replica.address());
        load != view.mLoads.end()) {
      candidate.mReportedRunning = load->second.mRunning;
      candidate.mReportedQueued = load->second.mQueued;
    }
    if (const auto running = aContext.mReplicaLoads.find(replica.address());
        running != aContext.mReplicaLoads.end()) {
      running->second.Update(0, now);
      candidate.mOwnRunning = running->second.mRunning;
      candidate.mMeanOwnRunning = running->second.mAverageRunning;
    }
    candidates.push_back(candidate);
  }
  const auto choose = [&] {
    return policy::ChooseReplica(
      candidates,
      ChoiceOptions(aContext.mSettings),
      aContext.mRandom,
      aContext.mRoundRobinCounters[aUpstream.name()]);
  };
  auto chosen = choose();
  if (!chosen) {
    // If only ejected replicas are left, use one of them.
    for (policy::ReplicaCandidate& candidate : candidates) {
      candidate.mExcluded = aAvoid.contains(std::string(candidate.mAddress));
    }
    chosen = choose();
  }
  if (!chosen) {
    return Error{ ErrorKind::Unavailable,
                  "no replica of upstream " + aUpstream.name() + " is usable",
                  "retry later, or check the upstream's replicas" };
  }
  const policy::ReplicaCandidate& replica = candidates[*chosen];
  LogEvent("route")
    .Field("request_id", aRequestId)
    .Field("upstream", aUpstream.name())
    .Field("replica", replica.mAddress)
    .Field("own_running", replica.mOwnRunning)
    .Field("reported", replica.mReportedRunning + replica.mReportedQueued)
    .Field("same_region", replica.mSameRegion)
    .Field("reason",
           aAvoid.empty() ? "lowest estimated wait"
                          : "retry on another replica")
    .Write();
  return SelectedReplica(aContext, std::string(replica.mAddress));
}

} // namespace agatetide::daemon
