#include "agatetide/daemon/rollout.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace agatetide::daemon {

namespace asio = boost::asio;
using coordination::PeerReply;
using coordination::PeerRequest;

namespace {

constexpr uint32_t kMaxSamples = 65536;
constexpr std::chrono::milliseconds kDefaultStepTimeout{ 13 * 60 * 1000 };
constexpr std::chrono::milliseconds kMaxCollectWait{ 30000 };
constexpr std::chrono::milliseconds kSupervisionInterval{ 200 };
/// Samples of one step that are queued or running at the same time. Without
/// this limit, 17 trainers with 2,048 samples each would put 34,816 entries
/// into one queue.
constexpr size_t kMaxActiveSamplesPerStep = 256;
/// Bytes of samples in one response; the next Collect returns the rest.
/// Messages between daemons are limited to 16 MiB.
constexpr size_t kMaxResponseBytes = size_t{ 4 } << 20U;
/// A forwarded or waiting Collect ends this long before the caller's deadline.
constexpr std::chrono::milliseconds kResponseMargin{ 300 };
constexpr std::chrono::milliseconds kCancelTimeout{ 2000 };
/// How long a finished step is kept after its last use.
constexpr std::chrono::minutes kStepRetention{ 15 };

Error UnknownStepError(const std::string& aHandle)
{
  return {
    ErrorKind::NotFound,
    "step " + aHandle + " is not known",
    "send the original StartStep request as origin, or start a new step"
  };
}

/// The owner's daemon address from a handle of the form
/// "st_<address>_<incarnation>_<n>"; empty if the handle is malformed.
std::string OwnerAddress(const std::string& aHandle)
{
  const size_t start = aHandle.find('_');
  const size_t end = aHandle.find('_', start + 1);
  return start == std::string::npos || end == std::string::npos
           ? std::string()
           : aHandle.substr(start + 1, end - start - 1);
}

/// Samples of one prompt after which its group is complete.
uint32_t NeededPerPrompt(const v1::StartStepRequest& aRequest)
{
  const uint32_t enough = aRequest.enough_per_prompt();
  return enough == 0 ? aRequest.samples_per_prompt()
                     : std::min(enough, aRequest.samples_per_prompt());
}

Result<bool> ValidateRequest(const v1::StartStepRequest& aRequest)
{
  const uint64_t samples = static_cast<uint64_t>(aRequest.prompts_size()) *
                           aRequest.samples_per_prompt();
  if (aRequest.model().empty() || samples == 0 || samples > kMaxSamples) {
    return Error{ ErrorKind::InvalidArgument,
                  "a step needs a model and between 1 and " +
                    std::to_string(kMaxSamples) + " samples",
                  "set model, prompts and samples_per_prompt" };
  }
  return true;
}

/// Whether the settings choose this policy for a decision.
bool IsPolicyChosen(const Settings& aSettings,
                    const std::string& aDecision,
                    std::string_view aPolicy)
{
  const auto found = aSettings.mPolicies.find(aDecision);
  return found != aSettings.mPolicies.end() && found->second == aPolicy;
}

} // namespace

Rollout::Rollout(TrafficContext& aContext)
  : mContext(aContext)
{
  const Settings& settings = aContext.mSettings;
  if (IsPolicyChosen(settings, "step_group", "launch_all")) {
    mGroupOptions.mPolicy = policy::PromptGroupPolicy::StartAll;
  }
  if (IsPolicyChosen(settings, "staleness", "at_delivery")) {
    mStalenessPolicy = policy::StalenessPolicy::AtDelivery;
  }
  mPreferPreemptible = !IsPolicyChosen(settings, "trainer_upstreams", "any");
}

const v1::Upstream* Rollout::FindEngineUpstream(const std::string& aModel) const
{
  for (const auto& [name, upstream] : mContext.mView->mConfig->mUpstreams) {
    if (upstream.kind() == v1::Upstream::KIND_ENGINE &&
        upstream.model() == aModel) {
      return &upstream;
    }
  }
  return nullptr;
}

Result<v1::StartStepResponse> Rollout::Start(
  const Call& aCall,
  const v1::StartStepRequest& aRequest)
{
  const auto valid = ValidateRequest(aRequest);
  if (valid.has_error()) {
    return valid.error();
  }
  if (FindEngineUpstream(aRequest.model()) == nullptr) {
    return Error{ ErrorKind::NotFound,
                  "no upstream serves model " + aRequest.model(),
                  "ask an operator to add an upstream for it" };
  }
  RemoveExpiredSteps();
  const auto& self = mContext.mView->mSelf;
  const std::string handle = "st_" + self.mAddress + "_" +
                             std::to_string(self.mIncarnation) + "_" +
                             std::to_string(mContext.mNextId++);
  const StepPtr step = CreateStep(handle, aCall.mAccount, aRequest, {});
  LogEvent("step_started")
    .Field("request_id", aCall.mRequestId)
    .Field("step", handle)
    .Field("account", aCall.mAccount)
    .Field("model", aRequest.model())
    .Field("samples", static_cast<uint64_t>(step->mSampleStates.size()))
    .Write();
  v1::StartStepResponse response;
  response.set_step(handle);
  response.set_samples(static_cast<uint32_t>(step->mSampleStates.size()));
  return response;
}

Rollout::StepPtr Rollout::FindStep(const std::string& aAccount,
                                   const std::string& aHandle) const
{
  const auto found = mSteps.find({ aAccount, aHandle });
  return found == mSteps.end() ? nullptr : found->second;
}

Rollout::StepPtr Rollout::CreateStep(std::string aHandle,
                                     std::string aAccount,
                                     const v1::StartStepRequest& aRequest,
                                     const std::set<uint32_t>& aReceived)
{
  auto step = std::make_shared<Step>();
  step->mHandle = std::move(aHandle);
  step->mAccount = std::move(aAccount);
  step->mRequest = aRequest;
  const Milliseconds time = aRequest.timeout_ms() == 0
                              ? kDefaultStepTimeout
                              : Milliseconds(aRequest.timeout_ms());
  step->mDeadline = mContext.mClock() + time;
  step->mLastUsed = mContext.mClock();
  const uint32_t perPrompt = aRequest.samples_per_prompt();
  const auto groups = static_cast<size_t>(aRequest.prompts_size());
  step->mGroups.assign(groups, { NeededPerPrompt(aRequest), 0, 0, perPrompt });
  step->mSampleStates.assign(groups * perPrompt, SampleState::Unstarted);
  for (const uint32_t index : aReceived) {
    if (index < step->mSampleStates.size()) {
      policy::PromptGroupState& group = step->mGroups[index / perPrompt];
      step->mSampleStates[index] = SampleState::Complete;
      ++group.mComplete;
      --group.mUnstarted;
    }
  }
  mSteps[{ step->mAccount, step->mHandle }] = step;
  EnsureSupervised(step);
  return step;
}

void Rollout::EnsureSupervised(const StepPtr& aStep)
{
  if (!aStep->mSupervised && !HasEnded(*aStep)) {
    aStep->mSupervised = true;
    asio::co_spawn(
      mContext.mExecutor, SuperviseStep(aStep), LogFailure("supervise_step"));
  }
}

/// Starts samples and handles stragglers until the step has ended.
Awaitable<void> Rollout::SuperviseStep(StepPtr aStep)
{
  asio::steady_timer timer(mContext.mExecutor);
  while (!HasEnded(*aStep)) {
    StartSamples(aStep);
    HandleStragglers(aStep);
    MoveQueuedStreams(aStep);
    AbortUnneededStreams(aStep);
    timer.expires_after(kSupervisionInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  aStep->mSupervised = false;
  AbortUnneededStreams(aStep);
  WakeWaiters(*aStep);
}

/// Cancels streams that should stop. Otherwise they would stop only at their
/// next event.
void Rollout::AbortUnneededStreams(const StepPtr& aStep)
{
  std::vector<std::shared_ptr<http::CancelHandle>> ended;
  for (const auto& [index, sample] : aStep->mActiveSamples) {
    if (sample.mCancel && !ShouldKeepStreaming(*aStep, index, sample)) {
      ended.push_back(sample.mCancel);
    }
  }
  for (const auto& cancel : ended) {
    (*cancel)();
  }
}

/// Number of engines whose last load report shows a free slot and no queued
/// requests.
size_t Rollout::FreeEngineCount(const std::string& aModel) const
{
  const v1::Upstream* upstream = FindEngineUpstream(aModel);
  if (upstream == nullptr) {
    return 0;
  }
  const auto free = [&](const v1::Replica& aReplica) {
    const std::string& address = aReplica.address();
    const auto load = mContext.mView->mLoads.find(address);
    const auto own = mContext.mReplicaLoads.find(address);
    const uint32_t slots = policy::PlacementOptions{}.mSlotsPerReplica;
    return load != mContext.mView->mLoads.end() &&
           !mContext.mView->mDrainingReplicas.contains(address) &&
           load->second.mQueued == 0 && load->second.mRunning < slots &&
           (own == mContext.mReplicaLoads.end() ||
            own->second.mRunning < slots);
  };
  return static_cast<size_t>(std::count_if(
    upstream->replicas().begin(), upstream->replicas().end(), free));
}

/// Moves streams that are queued in an engine to engines with free slots.
void Rollout::MoveQueuedStreams(const StepPtr& aStep)
{
  const TimePoint now = mContext.mClock();
  std::vector<std::pair<double, uint32_t>> waiting;
  for (const auto& [index, sample] : aStep->mActiveSamples) {
    if (sample.mCancel && !sample.mReceiving && !sample.mMoveRequested) {
      waiting.emplace_back(Seconds(now - sample.mStreamStart), index);
    }
  }
  std::sort(waiting.rbegin(), waiting.rend());
  std::vector<double> waits;
  waits.reserve(waiting.size());
  for (const auto& [seconds, index] : waiting) {
    waits.push_back(seconds);
  }
  const size_t moved = policy::StreamsToRequeue(
    waits, FreeEngineCount(aStep->mRequest.model()), mGroupOptions);
  for (size_t i = 0; i < moved; ++i) {
    aStep->mActiveSamples.at(waiting[i].second).mMoveRequested = true;
    ++aStep->mMovedStreamCount;
  }
}

void Rollout::StartSamples(const StepPtr& aStep)
{
  while (aStep->mNextGroup < aStep->mGroups.size() &&
         aStep->mActiveCount < kMaxActiveSamplesPerStep && !HasEnded(*aStep)) {
    if (policy::MayStartSample(aStep->mGroups[aStep->mNextGroup],
                               mGroupOptions)) {
      StartSample(aStep, aStep->mNextGroup);
    } else {
      ++aStep->mNextGroup;
    }
  }
}

void Rollout::StartSample(const StepPtr& aStep, size_t aGroup)
{
  const size_t perPrompt = aStep->mRequest.samples_per_prompt();
  const auto first = aStep->mSampleStates.begin() +
                     static_cast<std::ptrdiff_t>(aGroup * perPrompt);
  const auto found = std::find(first,
                               first + static_cast<std::ptrdiff_t>(perPrompt),
                               SampleState::Unstarted);
  *found = SampleState::Active;
  --aStep->mGroups[aGroup].mUnstarted;
  ++aStep->mGroups[aGroup].mActive;
  ++aStep->mActiveCount;
  const auto index =
    static_cast<uint32_t>(found - aStep->mSampleStates.begin());
  aStep->mActiveSamples.try_emplace(index);
  asio::co_spawn(mContext.mExecutor,
                 GenerateSample(aStep, index),
                 LogFailure("generate_sample"));
}

/// Moves slow streams to other engines. Once all needed samples have been
/// started, also starts spare samples in the groups of long-running ones.
void Rollout::HandleStragglers(const StepPtr& aStep)
{
  const TimePoint now = mContext.mClock();
  std::vector<policy::StreamState> streams;
  std::vector<uint32_t> indices;
  for (const auto& [index, sample] : aStep->mActiveSamples) {
    if (sample.mReceiving && !sample.mMoveRequested) {
      streams.push_back({ sample.mPartial.mTokens,
                          sample.mPartial.mTokens - sample.mTokensAtStreamStart,
                          Seconds(now - sample.mStreamStart) });
      indices.push_back(index);
    }
  }
  policy::StepProgress progress;
  progress.mMaxTokens = aStep->mRequest.max_tokens();
  progress.mTypicalRate = policy::TypicalRate(streams, mGroupOptions);
  if (aStep->mCompletedCount > 0) {
    progress.mTypicalTokens = static_cast<double>(aStep->mCompletedTokens) /
                              static_cast<double>(aStep->mCompletedCount);
  }
  progress.mExpectedTokens = progress.mTypicalTokens *
                             NeededPerPrompt(aStep->mRequest) *
                             static_cast<double>(aStep->mGroups.size());
  const bool allStarted = aStep->mNextGroup >= aStep->mGroups.size();
  for (size_t i = 0; i < streams.size(); ++i) {
    const uint32_t index = indices[i];
    const size_t group = index / aStep->mRequest.samples_per_prompt();
    if (policy::ShouldMoveStream(streams[i], progress, mGroupOptions)) {
      LogEvent("straggler_moved")
        .Field("step", aStep->mHandle)
        .Field("index", index)
        .Field("replica", aStep->mActiveSamples.at(index).mReplica)
        .Field("tokens", streams[i].mTokens)
        .Write();
      aStep->mActiveSamples.at(index).mMoveRequested = true;
      ++aStep->mMovedStreamCount;
      continue;
    }
    progress.mReservedTokens = std::max(
      aStep->mSpareReserveTokens, static_cast<double>(aStep->mWastedTokens));
    const double reserve = policy::SpareTokenReserve(
      aStep->mGroups[group], streams[i], progress, mGroupOptions);
    if (allStarted && reserve > 0.0 &&
        aStep->mActiveCount < kMaxActiveSamplesPerStep) {
      aStep->mSpareReserveTokens += reserve;
      ++aStep->mSpareSampleCount;
      StartSample(aStep, group);
    }
  }
}

bool Rollout::IsComplete(const Step& aStep) const
{
  return std::all_of(
    aStep.mGroups.begin(), aStep.mGroups.end(), policy::HasEnoughSamples);
}

bool Rollout::HasEnded(const Step& aStep) const
{
  return aStep.mCanceled || mContext.mClock() >= aStep.mDeadline ||
         IsComplete(aStep);
}

void Rollout::WakeWaiters(Step& aStep)
{
  for (const auto& waiter : aStep.mWaiters) {
    waiter->cancel();
  }
  aStep.mWaiters.clear();
}

Awaitable<Result<v1::CollectResponse>> Rollout::Collect(
  Call aCall,
  v1::CollectRequest aRequest)
{
  RemoveExpiredSteps();
  StepPtr step = FindStep(aCall.mAccount, aRequest.step());
  const std::string owner = OwnerAddress(aRequest.step());
  if (!step && !owner.empty() && owner != mContext.mView->mSelf.mAddress) {
    if (auto forwarded = co_await ForwardCollect(aCall, aRequest, owner)) {
      co_return std::move(*forwarded);
    }
    // Another Collect may have taken the step over in the meantime.
    step = FindStep(aCall.mAccount, aRequest.step());
  }
  if (!step) {
    if (!aRequest.has_origin() ||
        ValidateRequest(aRequest.origin()).has_error() ||
        FindEngineUpstream(aRequest.origin().model()) == nullptr) {
      co_return UnknownStepError(aRequest.step());
    }
    LogEvent("step_taken_over")
      .Field("request_id", aCall.mRequestId)
      .Field("step", aRequest.step())
      .Field("account", aCall.mAccount)
      .Field("owner", owner)
      .Write();
    const std::set<uint32_t> received(aRequest.have().begin(),
                                      aRequest.have().end());
    step =
      CreateStep(aRequest.step(), aCall.mAccount, aRequest.origin(), received);
  }
  co_return co_await CollectLocally(step, std::move(aRequest), aCall.mDeadline);
}

/// Forwards a Collect to the step's owner. Returns std::nullopt if the owner
/// cannot be reached or no longer has the step, so that this daemon may take
/// the step over.
Awaitable<std::optional<Result<v1::CollectResponse>>> Rollout::ForwardCollect(
  const Call& aCall,
  v1::CollectRequest aRequest,
  const std::string& aOwner)
{
  // The owner must reply before the caller's deadline. Otherwise a reachable
  // owner that waits for samples would seem to be unreachable.
  const TimePoint now = mContext.mClock();
  const auto left = std::chrono::duration_cast<Milliseconds>(
    aCall.mDeadline - now - 2 * kResponseMargin);
  const std::string model = aRequest.origin().model();
  aRequest.clear_origin();
  aRequest.set_wait_ms(static_cast<uint32_t>(std::clamp<int64_t>(
    left.count(),
    0,
    std::min<int64_t>(aRequest.wait_ms(), kMaxCollectWait.count()))));
  PeerRequest request;
  request.mKind = "collect";
  request.mKey = aCall.mAccount;
  request.mBody = aRequest.SerializeAsString();
  const TimePoint deadline =
    now + Milliseconds(aRequest.wait_ms()) + std::chrono::seconds(2);
  const auto reply = co_await mContext.mControl.mAskPeer(
    aOwner, request, std::min(deadline, aCall.mDeadline));
  v1::CollectResponse answer;
  if (reply.has_error() || !reply->mFound ||
      !answer.ParseFromString(reply->mBody)) {
    co_return std::nullopt;
  }
  // This daemon may know a newer published version than the owner. Samples
  // removed here are returned again, or expire, with the next Collect.
  auto& samples = *answer.mutable_samples();
  const auto stale = std::remove_if(
    samples.begin(), samples.end(), [&](const v1::Sample& aSample) {
      const std::vector<uint64_t> versions(aSample.weight_versions().begin(),
                                           aSample.weight_versions().end());
      return IsTooStale(model, versions);
    });
  if (stale != samples.end()) {
    samples.erase(stale, samples.end());
    answer.set_complete(false);
  }
  co_return Result<v1::CollectResponse>(std::move(answer));
}

Awaitable<PeerReply> Rollout::AnswerPeer(PeerRequest aRequest)
{
  if (aRequest.mKind == "cancel_step") {
    if (const StepPtr step = FindStep(aRequest.mKey, aRequest.mBody)) {
      step->mCanceled = true;
      WakeWaiters(*step);
    }
    co_return PeerReply{};
  }
  v1::CollectRequest request;
  if (!request.ParseFromString(aRequest.mBody)) {
    co_return PeerReply{};
  }
  const StepPtr step = FindStep(aRequest.mKey, request.step());
  if (!step) {
    co_return PeerReply{};
  }
  const TimePoint deadline =
    mContext.mClock() + Milliseconds(request.wait_ms()) + kResponseMargin;
  const auto response =
    co_await CollectLocally(step, std::move(request), deadline);
  if (response.has_error()) {
    co_return PeerReply{};
  }
  co_return PeerReply{ true, 0, {}, response->SerializeAsString() };
}

Awaitable<Result<v1::CollectResponse>> Rollout::CollectLocally(
  StepPtr aStep,
  v1::CollectRequest aRequest,
  TimePoint aDeadline)
{
  const std::set<uint32_t> received(aRequest.have().begin(),
                                    aRequest.have().end());
  const Milliseconds wait =
    std::min(Milliseconds(aRequest.wait_ms()), kMaxCollectWait);
  const TimePoint deadline =
    std::min(mContext.mClock() + wait, aDeadline - kResponseMargin);
  v1::CollectResponse response = CollectDeliverable(aStep, received);
  while (response.samples().empty() && !response.complete() &&
         !HasEnded(*aStep) && mContext.mClock() < deadline) {
    auto timer =
      std::make_shared<asio::steady_timer>(mContext.mExecutor, deadline);
    aStep->mWaiters.push_back(timer);
    boost::system::error_code ignored;
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    std::erase(aStep->mWaiters, timer);
    response = CollectDeliverable(aStep, received);
  }
  co_return response;
}

/// Returns the samples to deliver now. Drops samples that have become too
/// stale since they were generated, so that they are generated again.
v1::CollectResponse Rollout::CollectDeliverable(
  const StepPtr& aStep,
  const std::set<uint32_t>& aReceived)
{
  aStep->mLastUsed = mContext.mClock();
  v1::CollectResponse response;
  std::vector<uint32_t> stale;
  size_t bytes = 0;
  bool truncated = false;
  for (const auto& [index, sample] : aStep->mSamples) {
    if (aReceived.contains(index)) {
      continue;
    }
    const std::vector<uint64_t> versions(sample.weight_versions().begin(),
                                         sample.weight_versions().end());
    if (IsTooStale(aStep->mRequest.model(), versions)) {
      stale.push_back(index);
    } else if (bytes > kMaxResponseBytes) {
      truncated = true;
    } else {
      bytes += sample.ByteSizeLong();
      *response.add_samples() = sample;
    }
  }
  for (const uint32_t index : stale) {
    policy::PromptGroupState& group =
      aStep->mGroups[index / aStep->mRequest.samples_per_prompt()];
    aStep->mWastedTokens += aStep->mSamples.at(index).tokens();
    aStep->mSamples.erase(index);
    aStep->mSampleStates[index] = SampleState::Unstarted;
    --group.mComplete;
    ++group.mUnstarted;
    aStep->mNextGroup = 0;
  }
  if (!stale.empty()) {
    LogEvent("samples_expired")
      .Field("step", aStep->mHandle)
      .Field("samples", static_cast<uint64_t>(stale.size()))
      .Write();
    EnsureSupervised(aStep);
  }
  response.set_complete(IsComplete(*aStep) && !truncated);
  uint32_t missing = 0;
  for (const policy::PromptGroupState& group : aStep->mGroups) {
    missing += group.mNeeded - std::min(group.mComplete, group.mNeeded);
  }
  response.set_missing(missing);
  return response;
}

Awaitable<Result<v1::CancelStepResponse>> Rollout::Cancel(
  Call aCall,
  v1::CancelStepRequest aRequest)
{
  if (const StepPtr step = FindStep(aCall.mAccount, aRequest.step())) {
    step->mCanceled = true;
    WakeWaiters(*step);
  }
  const std::string owner = OwnerAddress(aRequest.step());
  if (!owner.empty() && owner != mContext.mView->mSelf.mAddress) {
    PeerRequest request;
    request.mKind = "cancel_step";
    request.mKey = aCall.mAccount;
    request.mBody = aRequest.step();
    const TimePoint deadline = mContext.mClock() + kCancelTimeout;
    // If the owner cannot be reached, it stops at the step's deadline.
    co_await mContext.mControl.mAskPeer(
      owner, request, std::min(deadline, aCall.mDeadline));
  }
  co_return v1::CancelStepResponse();
}

size_t Rollout::RunningStepCount() const
{
  return static_cast<size_t>(
    std::count_if(mSteps.begin(), mSteps.end(), [](const auto& aItem) {
      return aItem.second->mActiveCount > 0 || aItem.second->mSupervised;
    }));
}

void Rollout::RemoveExpiredSteps()
{
  std::erase_if(mSteps, [&](const auto& aItem) {
    const Step& step = *aItem.second;
    return step.mActiveCount == 0 && !step.mSupervised &&
           mContext.mClock() - step.mLastUsed > kStepRetention;
  });
}

} // namespace agatetide::daemon
