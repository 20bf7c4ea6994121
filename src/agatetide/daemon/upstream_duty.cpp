#include "agatetide/daemon/upstream_duty.hpp"

#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>

#include <sstream>

namespace agatetide::daemon {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 250 };
/// Replicas are polled at every second tick.
constexpr unsigned kTicksPerPoll = 2;
constexpr std::chrono::milliseconds kPollTimeout{ 1000 };
/// Leaves time for a second attempt within the target of 7 s.
constexpr std::chrono::milliseconds kActivationTimeout{ 3500 };

std::string EncodeLoad(const clients::ReplicaLoad& aLoad)
{
  std::ostringstream text;
  text << aLoad.mRunning << ' ' << aLoad.mQueued << ' ' << aLoad.mWeightVersion
       << ' ' << aLoad.mDraining;
  return text.str();
}

} // namespace

clients::ReplicaLoad DecodeLoad(const std::string& aText)
{
  clients::ReplicaLoad load;
  std::istringstream text(aText);
  text >> load.mRunning >> load.mQueued >> load.mWeightVersion >>
    load.mDraining;
  return load;
}

UpstreamDuty::UpstreamDuty(DutyContext& aContext, DutyLease aLease)
  : mContext(aContext)
  , mLease(std::move(aLease))
{
  const auto& policies = mContext.mSettings.mPolicies;
  const auto chosen = policies.find("weights");
  if (chosen != policies.end() && chosen->second == "all_at_once") {
    mRolloutOptions.mPolicy = policy::WeightRolloutPolicy::AllAtOnce;
  }
}

Awaitable<void> UpstreamDuty::Run()
{
  for (unsigned tick = 0;; ++tick) {
    co_await Sleep(kTickInterval);
    co_await mLease.Maintain();
    if (!mLease.IsHeld()) {
      continue;
    }
    if (tick % kTicksPerPoll == 0) {
      PollZone();
    }
    RollOutWeights();
  }
}

/// Activates the next wave of each engine group in the availability zone.
void UpstreamDuty::RollOutWeights()
{
  const auto config = mContext.mConfig();
  for (const auto& [name, upstream] : config->mUpstreams) {
    const auto weights = config->mWeights.find(upstream.model());
    if (upstream.kind() == v1::Upstream::KIND_ENGINE &&
        weights != config->mWeights.end()) {
      LoadNextWave(upstream, weights->second);
    }
  }
}

void UpstreamDuty::LoadNextWave(const v1::Upstream& aUpstream,
                                const v1::Weights& aWeights)
{
  const TimePoint now = mContext.mClock();
  PublishedVersion& published = mPublishedVersions[aWeights.model()];
  if (published.mVersion != aWeights.version()) {
    published = { aWeights.version(), now };
    mFailedAt.clear();
  }
  std::vector<policy::ReplicaWeights> replicas;
  std::vector<std::string> addresses;
  for (const v1::Replica& replica : aUpstream.replicas()) {
    // Replicas that did not answer the last poll are left out, because they
    // would delay the wave.
    const auto version = mReplicaVersions.find(replica.address());
    if (replica.availability_zone() != mContext.mSettings.mAvailabilityZone ||
        version == mReplicaVersions.end()) {
      continue;
    }
    const auto failed = mFailedAt.find(replica.address());
    replicas.push_back(
      { version->second,
        mLoading.contains(replica.address()),
        failed == mFailedAt.end() ? TimePoint{} : failed->second });
    addresses.push_back(replica.address());
  }
  for (const size_t next : policy::NextWave(replicas,
                                            aWeights.version(),
                                            now - published.mFirstSeen,
                                            now,
                                            mRolloutOptions)) {
    mLoading.insert(addresses[next]);
    boost::asio::co_spawn(mContext.mExecutor,
                          LoadWeights(addresses[next], aWeights),
                          LogFailure("load_weights"));
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
                              LogFailure("poll_replica"));
      }
    }
  }
}

Awaitable<void> UpstreamDuty::PollReplica(std::string aAddress, bool aEngine)
{
  const auto endpoint = http::ParseEndpoint(aAddress);
  if (endpoint.has_error()) {
    co_return; // Stays in mPolling, so that it is not polled again.
  }
  const auto load = co_await clients::ReadLoad(
    mContext.mClient, *endpoint, mContext.mClock() + kPollTimeout);
  mPolling.erase(aAddress);
  if (load.has_error()) {
    mReplicaVersions.erase(aAddress);
    co_return;
  }
  if (aEngine) {
    mReplicaVersions[aAddress] = load->mWeightVersion;
  }
  coordination::GossipRecord record;
  record.mTopic = kLoadTopic;
  record.mKey = aAddress;
  record.mValue = EncodeLoad(*load);
  const auto* known = mContext.mMembership.FindRecord(kLoadTopic, aAddress);
  if (known == nullptr || known->mValue != record.mValue) {
    record.mSequence = static_cast<uint64_t>(mContext.mWallClock());
    mContext.mMembership.Publish(record);
  }
}

Awaitable<void> UpstreamDuty::LoadWeights(std::string aAddress,
                                          v1::Weights aWeights)
{
  // The address is valid, because the replica answered a poll.
  const auto endpoint = http::ParseEndpoint(aAddress);
  clients::WeightLoad load;
  load.mModel = aWeights.model();
  load.mVersion = aWeights.version();
  load.mUri = aWeights.uri();
  load.mFencingToken = mLease.FencingToken();
  const auto activated = co_await clients::LoadWeights(
    mContext.mClient, *endpoint, load, mContext.mClock() + kActivationTimeout);
  mLoading.erase(aAddress);
  if (activated.has_error()) {
    mFailedAt[aAddress] = mContext.mClock();
  } else {
    mFailedAt.erase(aAddress);
    mReplicaVersions[aAddress] = load.mVersion;
  }
  LogEvent("weight_order")
    .Field("upstream", aAddress)
    .Field("model", load.mModel)
    .Field("version", load.mVersion)
    .Field("fencing_number", load.mFencingToken)
    .Field("result",
           activated.has_error() ? FormatError(activated.error()) : "active")
    .Write();
  if (mLease.IsHeld()) {
    RollOutWeights();
  }
}

std::map<std::string, clients::ReplicaLoad, std::less<>> UpstreamDuty::Loads()
  const
{
  std::map<std::string, clients::ReplicaLoad, std::less<>> loads;
  for (const auto& record : mContext.mMembership.Records(kLoadTopic)) {
    loads[record.mKey] = DecodeLoad(record.mValue);
  }
  return loads;
}

} // namespace agatetide::daemon
