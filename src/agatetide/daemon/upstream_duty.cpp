#include "agatetide/daemon/upstream_duty.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <sstream>

namespace agatetide::daemon {

namespace {

constexpr std::chrono::milliseconds kTick{ 250 };
/// Load is read at every second tick.
constexpr unsigned kTicksPerPoll = 2;
constexpr std::chrono::milliseconds kPollTimeout{ 1000 };
/// Leaves time for a second order within the 7 s target.
constexpr std::chrono::milliseconds kSwapTimeout{ 3500 };

std::string EncodeLoad(const clients::UpstreamLoad& aLoad)
{
  std::ostringstream text;
  text << aLoad.mRunning << ' ' << aLoad.mQueued << ' ' << aLoad.mWeightVersion
       << ' ' << aLoad.mLeaving;
  return text.str();
}

} // namespace

clients::UpstreamLoad DecodeLoad(const std::string& aText)
{
  clients::UpstreamLoad load;
  std::istringstream text(aText);
  text >> load.mRunning >> load.mQueued >> load.mWeightVersion >> load.mLeaving;
  return load;
}

UpstreamDuty::UpstreamDuty(DutyContext& aContext, DutyLease aLease)
  : mContext(aContext)
  , mLease(std::move(aLease))
{
  const auto& policies = mContext.mSettings.mPolicies;
  const auto chosen = policies.find("weights");
  if (chosen != policies.end() && chosen->second == "all_at_once") {
    mOptions.mPolicy = policy::WeightRolloutPolicy::AllAtOnce;
  }
}

Awaitable<void> UpstreamDuty::Run()
{
  for (unsigned tick = 0;; ++tick) {
    co_await Sleep(kTick);
    co_await mLease.Maintain();
    if (!mLease.Held()) {
      continue;
    }
    if (tick % kTicksPerPoll == 0) {
      PollZone();
    }
    RollOutWeights();
  }
}

/// Orders the next wave of each engine group of the zone.
void UpstreamDuty::RollOutWeights()
{
  const auto config = mContext.mConfig();
  for (const auto& [name, upstream] : config->mUpstreams) {
    const auto weights = config->mWeights.find(upstream.model());
    if (upstream.kind() == v1::Upstream::KIND_ENGINE &&
        weights != config->mWeights.end()) {
      OrderWave(upstream, weights->second);
    }
  }
}

void UpstreamDuty::OrderWave(const v1::Upstream& aUpstream,
                             const v1::Weights& aWeights)
{
  const TimePoint now = mContext.mClock();
  Published& published = mPublished[aWeights.model()];
  if (published.mVersion != aWeights.version()) {
    published = { aWeights.version(), now };
    mFailedAt.clear();
  }
  std::vector<policy::ReplicaWeights> replicas;
  std::vector<std::string> addresses;
  for (const v1::Replica& replica : aUpstream.replicas()) {
    // A replica without a report is not reachable, and would hold up a wave.
    const auto version = mVersions.find(replica.address());
    if (replica.availability_zone() != mContext.mSettings.mAvailabilityZone ||
        version == mVersions.end()) {
      continue;
    }
    const auto failed = mFailedAt.find(replica.address());
    replicas.push_back(
      { version->second,
        mSwapping.contains(replica.address()),
        failed == mFailedAt.end() ? TimePoint{} : failed->second });
    addresses.push_back(replica.address());
  }
  for (const size_t next : policy::NextWave(
         replicas, aWeights.version(), now - published.mAt, now, mOptions)) {
    mSwapping.insert(addresses[next]);
    boost::asio::co_spawn(mContext.mExecutor,
                          OrderWeights(addresses[next], aWeights),
                          boost::asio::detached);
  }
}

void UpstreamDuty::PollZone()
{
  const auto config = mContext.mConfig();
  const std::string& zone = mContext.mSettings.mAvailabilityZone;
  for (const auto& [name, upstream] : config->mUpstreams) {
    const bool engine = upstream.kind() == v1::Upstream::KIND_ENGINE;
    for (const v1::Replica& replica : upstream.replicas()) {
      if (replica.availability_zone() == zone &&
          mPolling.insert(replica.address()).second) {
        boost::asio::co_spawn(mContext.mExecutor,
                              PollReplica(replica.address(), engine),
                              boost::asio::detached);
      }
    }
  }
}

Awaitable<void> UpstreamDuty::PollReplica(std::string aAddress, bool aEngine)
{
  const auto endpoint = http::ParseEndpoint(aAddress);
  if (endpoint.has_error()) {
    co_return; // Stays in mPolling, so that it is not tried again.
  }
  const auto load = co_await clients::ReadLoad(
    mContext.mClient, *endpoint, mContext.mClock() + kPollTimeout);
  mPolling.erase(aAddress);
  if (load.has_error()) {
    mVersions.erase(aAddress);
    co_return;
  }
  if (aEngine) {
    mVersions[aAddress] = load->mWeightVersion;
  }
  coordination::GossipRecord fact;
  fact.mTopic = kLoadTopic;
  fact.mKey = aAddress;
  fact.mValue = EncodeLoad(*load);
  const auto* known = mContext.mMembership.FindRecord(kLoadTopic, aAddress);
  if (known == nullptr || known->mValue != fact.mValue) {
    fact.mSequence = static_cast<uint64_t>(mContext.mWallClock());
    mContext.mMembership.Publish(fact);
  }
}

Awaitable<void> UpstreamDuty::OrderWeights(std::string aAddress,
                                           v1::Weights aWeights)
{
  // Only an address that answered a poll is ordered, so it is valid.
  const auto endpoint = http::ParseEndpoint(aAddress);
  clients::WeightActivation order;
  order.mModel = aWeights.model();
  order.mVersion = aWeights.version();
  order.mUri = aWeights.uri();
  order.mFencingToken = mLease.FencingToken();
  const auto ordered = co_await clients::ActivateWeights(
    mContext.mClient, *endpoint, order, mContext.mClock() + kSwapTimeout);
  mSwapping.erase(aAddress);
  if (ordered.has_error()) {
    mFailedAt[aAddress] = mContext.mClock();
  } else {
    mFailedAt.erase(aAddress);
    mVersions[aAddress] = order.mVersion;
  }
  Event("weight_order")
    .Field("upstream", aAddress)
    .Field("model", order.mModel)
    .Field("version", order.mVersion)
    .Field("fencing_number", order.mFencingToken)
    .Field("result",
           ordered.has_error() ? FormatError(ordered.error()) : "active")
    .Write();
  if (mLease.Held()) {
    RollOutWeights();
  }
}

std::map<std::string, clients::UpstreamLoad, std::less<>> UpstreamDuty::Loads()
  const
{
  std::map<std::string, clients::UpstreamLoad, std::less<>> loads;
  for (const auto& fact : mContext.mMembership.Records(kLoadTopic)) {
    loads[fact.mKey] = DecodeLoad(fact.mValue);
  }
  return loads;
}

} // namespace agatetide::daemon
