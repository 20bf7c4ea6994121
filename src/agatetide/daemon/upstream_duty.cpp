#include "agatetide/daemon/upstream_duty.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <sstream>

namespace agatetide::daemon {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 500 };
constexpr std::chrono::milliseconds kPollTimeout{ 1000 };
constexpr std::chrono::milliseconds kSwapTimeout{ 7000 };

std::string EncodeLoad(const platform::EngineLoad& aLoad)
{
  std::ostringstream text;
  text << aLoad.mRunning << ' ' << aLoad.mQueued << ' ' << aLoad.mWeightVersion
       << ' ' << aLoad.mLeaving;
  return text.str();
}

platform::EngineLoad DecodeLoad(const std::string& aText)
{
  platform::EngineLoad load;
  std::istringstream text(aText);
  text >> load.mRunning >> load.mQueued >> load.mWeightVersion >> load.mLeaving;
  return load;
}

} // namespace

UpstreamDuty::UpstreamDuty(DutyContext& aContext, DutyLease aLease)
  : mContext(aContext)
  , mLease(std::move(aLease))
{
}

Awaitable<void> UpstreamDuty::Run()
{
  for (;;) {
    co_await Sleep(kPollInterval);
    co_await mLease.Maintain();
    if (mLease.Held()) {
      PollZone();
    }
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
        boost::asio::co_spawn(
          mContext.mExecutor,
          PollReplica(replica.address(), engine, upstream.model()),
          boost::asio::detached);
      }
    }
  }
}

Awaitable<void> UpstreamDuty::PollReplica(std::string aAddress,
                                          bool aEngine,
                                          std::string aModel)
{
  const auto endpoint = http::ParseEndpoint(aAddress);
  if (endpoint.has_error()) {
    co_return; // Stays in mPolling, so that it is not tried again.
  }
  const auto load = co_await platform::ReadLoad(
    mContext.mClient, *endpoint, mContext.mClock() + kPollTimeout);
  mPolling.erase(aAddress);
  if (load.has_error()) {
    co_return;
  }
  coordination::SharedFact fact;
  fact.mTopic = kLoadTopic;
  fact.mKey = aAddress;
  fact.mValue = EncodeLoad(*load);
  const auto* known = mContext.mMembership.Fact(kLoadTopic, aAddress);
  if (known == nullptr || known->mValue != fact.mValue) {
    fact.mSequence = static_cast<uint64_t>(mContext.mWallClock());
    mContext.mMembership.Publish(fact);
  }
  const auto config = mContext.mConfig();
  const auto weights = config->mWeights.find(aModel);
  const bool behind = aEngine && weights != config->mWeights.end() &&
                      load->mWeightVersion < weights->second.version();
  if (behind && mLease.Held() && mSwapping.insert(aAddress).second) {
    co_await OrderWeights(aAddress, weights->second);
    mSwapping.erase(aAddress);
  }
}

Awaitable<void> UpstreamDuty::OrderWeights(std::string aAddress,
                                           v1::Weights aWeights)
{
  const auto endpoint = http::ParseEndpoint(aAddress);
  platform::WeightOrder order;
  order.mModel = aWeights.model();
  order.mVersion = aWeights.version();
  order.mUri = aWeights.uri();
  order.mFencingNumber = mLease.FencingNumber();
  const auto ordered = co_await platform::OrderWeights(
    mContext.mClient, *endpoint, order, mContext.mClock() + kSwapTimeout);
  Event("weight_order")
    .Field("upstream", aAddress)
    .Field("model", order.mModel)
    .Field("version", order.mVersion)
    .Field("fencing_number", order.mFencingNumber)
    .Field("result",
           ordered.has_error() ? FormatError(ordered.error()) : "active")
    .Write();
}

std::map<std::string, platform::EngineLoad, std::less<>> UpstreamDuty::Loads()
  const
{
  std::map<std::string, platform::EngineLoad, std::less<>> loads;
  for (const auto& fact : mContext.mMembership.Facts(kLoadTopic)) {
    loads[fact.mKey] = DecodeLoad(fact.mValue);
  }
  return loads;
}

} // namespace agatetide::daemon
