#include "agatetide/daemon/traffic.hpp"

#include <algorithm>

namespace agatetide::daemon {

namespace {

/// Requests that may run at once on one replica.
constexpr size_t kSlotsPerReplica = 16;

policy::FairQueueOptions QueueOptions(const Settings& aSettings)
{
  policy::FairQueueOptions options;
  const auto chosen = aSettings.mPolicies.find("queue");
  if (chosen != aSettings.mPolicies.end() && chosen->second == "fifo") {
    options.mPolicy = policy::QueuePolicy::FirstInFirstOut;
  }
  return options;
}

policy::ReplicaChoiceOptions ChoiceOptions(const Settings& aSettings)
{
  policy::ReplicaChoiceOptions options;
  const auto chosen = aSettings.mPolicies.find("replica_choice");
  if (chosen != aSettings.mPolicies.end() && chosen->second == "round_robin") {
    options.mPolicy = policy::ReplicaPolicy::RoundRobin;
  }
  return options;
}

} // namespace

double AccountWeight(const TrafficContext& aContext,
                     const std::string& aAccount)
{
  const auto& accounts = aContext.mView->mConfig->mAccounts;
  const auto found = accounts.find(aAccount);
  return found == accounts.end() || found->second.weight() <= 0.0
           ? 1.0
           : found->second.weight();
}

std::shared_ptr<Gate> GateOf(TrafficContext& aContext,
                             const v1::Upstream& aUpstream)
{
  auto& gate = aContext.mGates[aUpstream.name()];
  if (!gate) {
    gate = std::make_shared<Gate>(QueueOptions(aContext.mSettings));
  }
  const auto usable = std::count_if(aUpstream.replicas().begin(),
                                    aUpstream.replicas().end(),
                                    [&](const v1::Replica& aReplica) {
                                      return !aReplica.leaving() &&
                                             !aContext.mView->mLeaving.contains(
                                               aReplica.address());
                                    });
  gate->SetLimit(
    std::max<size_t>(1, static_cast<size_t>(usable) * kSlotsPerReplica));
  return gate;
}

ReplicaUse::ReplicaUse(TrafficContext& aContext, std::string aAddress)
  : mContext(&aContext)
  , mAddress(std::move(aAddress))
{
  ++mContext->mRunning[mAddress];
}

ReplicaUse::ReplicaUse(ReplicaUse&& aOther) noexcept
  : mContext(std::exchange(aOther.mContext, nullptr))
  , mAddress(std::move(aOther.mAddress))
{
}

ReplicaUse::~ReplicaUse()
{
  if (mContext != nullptr) {
    --mContext->mRunning[mAddress];
  }
}

Result<ReplicaUse> UseReplica(TrafficContext& aContext,
                              const v1::Upstream& aUpstream,
                              const std::set<std::string>& aAvoid,
                              std::string_view aRequestId)
{
  const TrafficView& view = *aContext.mView;
  std::vector<policy::ReplicaCandidate> candidates;
  for (const v1::Replica& replica : aUpstream.replicas()) {
    policy::ReplicaCandidate candidate;
    candidate.mAddress = replica.address();
    candidate.mSameRegion = replica.region() == aContext.mSettings.mRegion;
    candidate.mLeaving =
      replica.leaving() || view.mLeaving.contains(replica.address());
    candidate.mExcluded = aAvoid.contains(replica.address());
    if (const auto load = view.mLoads.find(replica.address());
        load != view.mLoads.end()) {
      candidate.mReportedRunning = load->second.mRunning;
      candidate.mReportedQueued = load->second.mQueued;
    }
    if (const auto running = aContext.mRunning.find(replica.address());
        running != aContext.mRunning.end()) {
      candidate.mOwnRunning = running->second;
    }
    candidates.push_back(candidate);
  }
  const auto chosen = policy::ChooseReplica(candidates,
                                            ChoiceOptions(aContext.mSettings),
                                            aContext.mRandom,
                                            aContext.mTurns[aUpstream.name()]);
  if (!chosen) {
    return Error{ ErrorKind::Unavailable,
                  "no replica of upstream " + aUpstream.name() + " is usable",
                  "retry later, or check the upstream's replicas" };
  }
  const policy::ReplicaCandidate& replica = candidates[*chosen];
  Event("route")
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
  return ReplicaUse(aContext, std::string(replica.mAddress));
}

} // namespace agatetide::daemon
