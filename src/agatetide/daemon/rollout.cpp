#include "agatetide/daemon/rollout.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/daemon/crash_evidence.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace agatetide::daemon {

namespace asio = boost::asio;
using coordination::PeerReply;
using coordination::PeerRequest;

namespace {

constexpr uint32_t kMaxSamples = 65536;
constexpr std::chrono::milliseconds kDefaultStepTime{ 13 * 60 * 1000 };
constexpr std::chrono::milliseconds kMaxWait{ 30000 };
/// Pauses after a failed try, doubled up to the maximum.
constexpr std::chrono::milliseconds kRetryPause{ 50 };
constexpr std::chrono::milliseconds kMaxRetryPause{ 1000 };
/// A queued sample looks this often whether its step still needs it.
constexpr std::chrono::milliseconds kQueueSlice{ 1000 };
/// A stream without any byte for this long resumes on another engine.
constexpr std::chrono::milliseconds kStreamIdleTimeout{ 10000 };
constexpr std::chrono::milliseconds kReviewInterval{ 200 };
/// Samples of one step that are queued or run at once. 17 trainers with
/// 2,048 samples each would otherwise put 34,816 entries into one queue.
constexpr size_t kMaxActivePerStep = 256;
/// Bytes of samples in one answer; the rest follows in the next. Messages
/// between daemons are limited to 16 MiB.
constexpr size_t kMaxAnswerBytes = size_t{ 4 } << 20U;
/// Time by which a forwarded or waiting Collect ends before the caller's
/// deadline.
constexpr std::chrono::milliseconds kAnswerMargin{ 300 };
constexpr std::chrono::milliseconds kCancelTimeout{ 2000 };
/// A finished step is kept this long after its last use.
constexpr std::chrono::minutes kStepRetention{ 15 };
constexpr int kTrainerPriority = 10;

Error UnknownStep(const std::string& aHandle)
{
  return {
    ErrorKind::NotFound,
    "step " + aHandle + " is not known",
    "send the original StartStep request as origin, or start a new step"
  };
}

/// The owner's daemon address in a handle "st_<address>_<incarnation>_<n>".
std::string OwnerOf(const std::string& aHandle)
{
  const size_t start = aHandle.find('_');
  const size_t end = aHandle.find('_', start + 1);
  return start == std::string::npos || end == std::string::npos
           ? std::string()
           : aHandle.substr(start + 1, end - start - 1);
}

uint32_t Needed(const v1::StartStepRequest& aRequest)
{
  const uint32_t enough = aRequest.enough_per_prompt();
  return enough == 0 ? aRequest.samples_per_prompt()
                     : std::min(enough, aRequest.samples_per_prompt());
}

Result<bool> Check(const v1::StartStepRequest& aRequest)
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

bool Chosen(const Settings& aSettings,
            const std::string& aDecision,
            std::string_view aPolicy)
{
  const auto found = aSettings.mPolicies.find(aDecision);
  return found != aSettings.mPolicies.end() && found->second == aPolicy;
}

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Error NoLongerNeeded()
{
  return { ErrorKind::Canceled, "the sample is no longer needed", "none" };
}

} // namespace

Rollout::Rollout(TrafficContext& aContext)
  : mContext(aContext)
{
  const Settings& settings = aContext.mSettings;
  if (Chosen(settings, "step_group", "launch_all")) {
    mGroupOptions.mPolicy = policy::GroupPolicy::LaunchAll;
  }
  if (Chosen(settings, "staleness", "at_delivery")) {
    mStaleness = policy::StalenessPolicy::AtDelivery;
  }
  mPreferPreemptible = !Chosen(settings, "trainer_upstreams", "any");
}

const v1::Upstream* Rollout::EngineFor(const std::string& aModel) const
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
  const auto valid = Check(aRequest);
  if (valid.has_error()) {
    return valid.error();
  }
  if (EngineFor(aRequest.model()) == nullptr) {
    return Error{ ErrorKind::NotFound,
                  "no upstream serves model " + aRequest.model(),
                  "ask an operator to add an upstream for it" };
  }
  ForgetOld();
  const auto& self = mContext.mView->mSelf;
  const std::string handle = "st_" + self.mAddress + "_" +
                             std::to_string(self.mIncarnation) + "_" +
                             std::to_string(mContext.mNextId++);
  const StepPtr step = Launch(handle, aCall.mAccount, aRequest, {});
  Event("step_started")
    .Field("request_id", aCall.mRequestId)
    .Field("step", handle)
    .Field("account", aCall.mAccount)
    .Field("model", aRequest.model())
    .Field("samples", static_cast<uint64_t>(step->mStates.size()))
    .Write();
  v1::StartStepResponse response;
  response.set_step(handle);
  response.set_samples(static_cast<uint32_t>(step->mStates.size()));
  return response;
}

Rollout::StepPtr Rollout::Find(const std::string& aAccount,
                               const std::string& aHandle) const
{
  const auto found = mSteps.find({ aAccount, aHandle });
  return found == mSteps.end() ? nullptr : found->second;
}

Rollout::StepPtr Rollout::Launch(std::string aHandle,
                                 std::string aAccount,
                                 const v1::StartStepRequest& aRequest,
                                 const std::set<uint32_t>& aHave)
{
  auto step = std::make_shared<Step>();
  step->mHandle = std::move(aHandle);
  step->mAccount = std::move(aAccount);
  step->mRequest = aRequest;
  const Milliseconds time = aRequest.timeout_ms() == 0
                              ? kDefaultStepTime
                              : Milliseconds(aRequest.timeout_ms());
  step->mDeadline = mContext.mClock() + time;
  step->mLastUse = mContext.mClock();
  const uint32_t perPrompt = aRequest.samples_per_prompt();
  const auto groups = static_cast<size_t>(aRequest.prompts_size());
  step->mGroups.assign(groups, { Needed(aRequest), 0, 0, perPrompt });
  step->mStates.assign(groups * perPrompt, SampleState::Unstarted);
  for (const uint32_t index : aHave) {
    if (index < step->mStates.size()) {
      policy::GroupState& group = step->mGroups[index / perPrompt];
      step->mStates[index] = SampleState::Whole;
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
  if (!aStep->mSupervised && !Ended(*aStep)) {
    aStep->mSupervised = true;
    asio::co_spawn(mContext.mExecutor, Supervise(aStep), asio::detached);
  }
}

/// Starts samples and reviews stragglers until the step has ended.
Awaitable<void> Rollout::Supervise(StepPtr aStep)
{
  asio::steady_timer timer(mContext.mExecutor);
  while (!Ended(*aStep)) {
    Pump(aStep);
    ReviewStragglers(aStep);
    RequeueWaiting(aStep);
    EndUnwanted(aStep);
    timer.expires_after(kReviewInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  aStep->mSupervised = false;
  EndUnwanted(aStep);
  Wake(*aStep);
}

/// Ends streams that would otherwise notice only with their next event.
void Rollout::EndUnwanted(const StepPtr& aStep)
{
  std::vector<std::shared_ptr<http::AbortHandle>> ended;
  for (const auto& [index, work] : aStep->mWork) {
    if (work.mAbort && !KeepStreaming(*aStep, index, work)) {
      ended.push_back(work.mAbort);
    }
  }
  for (const auto& abort : ended) {
    (*abort)();
  }
}

/// Engines that by their last report have a free slot and no queue.
size_t Rollout::FreeEngines(const std::string& aModel) const
{
  const v1::Upstream* upstream = EngineFor(aModel);
  if (upstream == nullptr) {
    return 0;
  }
  const auto free = [&](const v1::Replica& aReplica) {
    const std::string& address = aReplica.address();
    const auto load = mContext.mView->mLoads.find(address);
    const auto own = mContext.mReplicaLoads.find(address);
    const uint32_t slots = policy::PlacementOptions{}.mSlotsPerReplica;
    return load != mContext.mView->mLoads.end() &&
           !mContext.mView->mLeaving.contains(address) &&
           load->second.mQueued == 0 && load->second.mRunning < slots &&
           (own == mContext.mReplicaLoads.end() ||
            own->second.mRunning < slots);
  };
  return static_cast<size_t>(std::count_if(
    upstream->replicas().begin(), upstream->replicas().end(), free));
}

/// Moves streams that wait in an engine's queue to engines with free slots.
void Rollout::RequeueWaiting(const StepPtr& aStep)
{
  const TimePoint now = mContext.mClock();
  std::vector<std::pair<double, uint32_t>> waiting;
  for (const auto& [index, work] : aStep->mWork) {
    if (work.mAbort && !work.mStreaming && !work.mMove) {
      waiting.emplace_back(Seconds(now - work.mStreamStart), index);
    }
  }
  std::sort(waiting.rbegin(), waiting.rend());
  std::vector<double> waits;
  waits.reserve(waiting.size());
  for (const auto& [seconds, index] : waiting) {
    waits.push_back(seconds);
  }
  const size_t moved = policy::StreamsToRequeue(
    waits, FreeEngines(aStep->mRequest.model()), mGroupOptions);
  for (size_t i = 0; i < moved; ++i) {
    aStep->mWork.at(waiting[i].second).mMove = true;
    ++aStep->mMoves;
  }
}

void Rollout::Pump(const StepPtr& aStep)
{
  while (aStep->mNextGroup < aStep->mGroups.size() &&
         aStep->mActive < kMaxActivePerStep && !Ended(*aStep)) {
    if (policy::MayLaunch(aStep->mGroups[aStep->mNextGroup], mGroupOptions)) {
      StartSample(aStep, aStep->mNextGroup);
    } else {
      ++aStep->mNextGroup;
    }
  }
}

void Rollout::StartSample(const StepPtr& aStep, size_t aGroup)
{
  const size_t perPrompt = aStep->mRequest.samples_per_prompt();
  const auto first =
    aStep->mStates.begin() + static_cast<std::ptrdiff_t>(aGroup * perPrompt);
  const auto found = std::find(first,
                               first + static_cast<std::ptrdiff_t>(perPrompt),
                               SampleState::Unstarted);
  *found = SampleState::Active;
  --aStep->mGroups[aGroup].mUnstarted;
  ++aStep->mGroups[aGroup].mActive;
  ++aStep->mActive;
  const auto index = static_cast<uint32_t>(found - aStep->mStates.begin());
  aStep->mWork.try_emplace(index);
  asio::co_spawn(mContext.mExecutor, Generate(aStep, index), asio::detached);
}

/// Moves slow streams to other engines, and starts spare samples beside long
/// ones once all needed samples have been started.
void Rollout::ReviewStragglers(const StepPtr& aStep)
{
  const TimePoint now = mContext.mClock();
  std::vector<policy::StreamState> streams;
  std::vector<uint32_t> indices;
  for (const auto& [index, work] : aStep->mWork) {
    if (work.mStreaming && !work.mMove) {
      streams.push_back({ work.mPartial.mTokens,
                          work.mPartial.mTokens - work.mTokensBefore,
                          Seconds(now - work.mStreamStart) });
      indices.push_back(index);
    }
  }
  policy::StepProgress progress;
  progress.mMaxTokens = aStep->mRequest.max_tokens();
  progress.mTypicalRate = policy::TypicalRate(streams, mGroupOptions);
  if (aStep->mWholeCount > 0) {
    progress.mTypicalTokens = static_cast<double>(aStep->mWholeTokens) /
                              static_cast<double>(aStep->mWholeCount);
  }
  progress.mExpectedTokens = progress.mTypicalTokens * Needed(aStep->mRequest) *
                             static_cast<double>(aStep->mGroups.size());
  const bool allStarted = aStep->mNextGroup >= aStep->mGroups.size();
  for (size_t i = 0; i < streams.size(); ++i) {
    const uint32_t index = indices[i];
    const size_t group = index / aStep->mRequest.samples_per_prompt();
    if (policy::ShouldMoveStream(streams[i], progress, mGroupOptions)) {
      Event("straggler_moved")
        .Field("step", aStep->mHandle)
        .Field("index", index)
        .Field("replica", aStep->mWork.at(index).mReplica)
        .Field("tokens", streams[i].mTokens)
        .Write();
      aStep->mWork.at(index).mMove = true;
      ++aStep->mMoves;
      continue;
    }
    progress.mReservedTokens =
      std::max(aStep->mReserved, static_cast<double>(aStep->mWasted));
    const double reserve = policy::SpareTokenReserve(
      aStep->mGroups[group], streams[i], progress, mGroupOptions);
    if (allStarted && reserve > 0.0 && aStep->mActive < kMaxActivePerStep) {
      aStep->mReserved += reserve;
      ++aStep->mSpares;
      StartSample(aStep, group);
    }
  }
}

bool Rollout::Wanted(const Step& aStep, uint32_t aIndex) const
{
  return !aStep.mCanceled && mContext.mClock() < aStep.mDeadline &&
         !policy::HasEnoughSamples(
           aStep.mGroups[aIndex / aStep.mRequest.samples_per_prompt()]);
}

/// Generates one sample until it is whole, no longer needed or too late.
Awaitable<void> Rollout::Generate(StepPtr aStep, uint32_t aIndex)
{
  asio::steady_timer timer(mContext.mExecutor);
  Milliseconds pause = kRetryPause;
  Work& work = aStep->mWork.at(aIndex);
  bool whole = false;
  std::optional<ConcurrencyLimiter::Permit> permit;
  while (!whole && Wanted(*aStep, aIndex)) {
    const uint32_t before = work.mPartial.mTokens;
    const auto ran = co_await RunStream(aStep, aIndex, permit);
    if (ran.has_value()) {
      whole = TakeWhole(*aStep, aIndex, work);
    }
    if (whole || !Wanted(*aStep, aIndex)) {
      break;
    }
    if (MovesAtOnce(work, before)) {
      pause = kRetryPause;
    } else {
      permit.reset();
      timer.expires_after(pause);
      boost::system::error_code ignored;
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
      pause = std::min(pause * 2, kMaxRetryPause);
    }
    work.mMove = false;
  }
  policy::GroupState& group =
    aStep->mGroups[aIndex / aStep->mRequest.samples_per_prompt()];
  if (!whole) {
    aStep->mWasted += work.mPartial.mTokens;
    aStep->mStates[aIndex] = SampleState::Unstarted;
    ++group.mUnstarted;
  }
  --group.mActive;
  --aStep->mActive;
  aStep->mWork.erase(aIndex);
  if (whole && Complete(*aStep)) {
    Event("step_complete")
      .Field("step", aStep->mHandle)
      .Field("account", aStep->mAccount)
      .Field("wasted_tokens", aStep->mWasted)
      .Field("moves", aStep->mMoves)
      .Field("spares", aStep->mSpares)
      .Write();
  }
  Pump(aStep);
  Wake(*aStep);
}

/// Whether an interrupted sample goes on at once and keeps its slot: it moves
/// by decision, or it has gained tokens, so that the tries are bounded.
bool Rollout::MovesAtOnce(const Work& aWork, uint32_t aBefore) const
{
  return aWork.mMove || aWork.mPartial.mTokens > aBefore;
}

/// Stores a finished sample unless it is too old or names no version.
bool Rollout::TakeWhole(Step& aStep, uint32_t aIndex, Work& aWork)
{
  clients::Completion& made = aWork.mPartial;
  if (TooOld(aStep.mRequest.model(), made.mWeightVersions)) {
    Event("sample_too_old")
      .Field("step", aStep.mHandle)
      .Field("index", aIndex)
      .Field("tokens", made.mTokens)
      .Write();
    aStep.mWasted += made.mTokens;
    made = {};
    return false;
  }
  const uint32_t prompt = aIndex / aStep.mRequest.samples_per_prompt();
  v1::Sample& sample = aStep.mSamples[aIndex];
  sample.Clear();
  sample.set_index(aIndex);
  sample.set_prompt(prompt);
  sample.set_text(std::move(made.mText));
  sample.set_tokens(made.mTokens);
  for (const uint64_t version : made.mWeightVersions) {
    sample.add_weight_versions(version);
  }
  aStep.mStates[aIndex] = SampleState::Whole;
  ++aStep.mGroups[prompt].mComplete;
  ++aStep.mWholeCount;
  aStep.mWholeTokens += made.mTokens;
  return true;
}

/// Waits for a slot in slices, so that the entry of a step that was canceled
/// or has enough samples leaves the queue soon.
Awaitable<Result<ConcurrencyLimiter::Permit>> Rollout::EnterGate(
  StepPtr aStep,
  uint32_t aIndex,
  std::shared_ptr<ConcurrencyLimiter> aGate)
{
  while (Wanted(*aStep, aIndex)) {
    SlotRequest request;
    request.mClass = policy::RequestClass::Trainer;
    request.mAccount = aStep->mAccount;
    request.mWeight = AccountWeight(mContext, aStep->mAccount);
    request.mCost = std::max(1U, aStep->mRequest.max_tokens());
    request.mDeadline =
      std::min(aStep->mDeadline, mContext.mClock() + kQueueSlice);
    auto permit = co_await aGate->Acquire(std::move(request));
    if (permit.has_value()) {
      // The permit is given back here when the sample is not needed.
      if (!Wanted(*aStep, aIndex)) {
        co_return NoLongerNeeded();
      }
      co_return permit;
    }
    if (permit.error().mKind != ErrorKind::DeadlineExceeded) {
      co_return permit.error();
    }
  }
  co_return NoLongerNeeded();
}

/// Whether a sample that starts, or goes on, on an engine with this version
/// is expected to be fresh at its finish.
bool Rollout::FreshAtFinish(const Step& aStep,
                            const Work& aWork,
                            uint64_t aEngineVersion)
{
  const std::string& model = aStep.mRequest.model();
  const ConfigSnapshot& config = *mContext.mView->mConfig;
  const auto bound = config.mStalenessBounds.find(model);
  const auto weights = config.mWeights.find(model);
  if (mStaleness == policy::StalenessPolicy::AtDelivery ||
      bound == config.mStalenessBounds.end() ||
      weights == config.mWeights.end() || aEngineVersion == 0) {
    return true;
  }
  // What a resumed sample has already is lost if it waits.
  if (aWork.mPartial.mTokens > 0) {
    return true;
  }
  policy::SampleStartCheck check;
  check.mVersion = aEngineVersion;
  check.mPublishedVersion = weights->second.version();
  check.mStalenessBound = bound->second.max_versions();
  const auto time = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aStep.mTypicalSeconds));
  check.mExpectedVersions =
    mVersionRates[model].ExpectedWithin(time, mContext.mClock());
  return policy::ShouldStartSample(check);
}

/// Chooses a replica whose weights are fresh enough; among those, one that
/// the sample has not left and that is cheaper, while there are any.
Result<SelectedReplica> Rollout::PickReplica(const Step& aStep,
                                             const Work& aWork,
                                             const v1::Upstream& aUpstream,
                                             const std::string& aRequestId)
{
  std::set<std::string> old;
  std::set<std::string> regular;
  uint32_t cheap = 0;
  uint32_t cheapRunning = 0;
  for (const v1::Replica& replica : aUpstream.replicas()) {
    const std::string& address = replica.address();
    const auto load = mContext.mView->mLoads.find(address);
    if (load != mContext.mView->mLoads.end() &&
        !FreshAtFinish(aStep, aWork, load->second.mWeightVersion)) {
      old.insert(address);
    } else if (!replica.preemptible()) {
      regular.insert(address);
    } else if (!replica.leaving() &&
               !mContext.mView->mLeaving.contains(address)) {
      ++cheap;
      const auto running = mContext.mReplicaLoads.find(address);
      const uint32_t own =
        running == mContext.mReplicaLoads.end() ? 0 : running->second.mRunning;
      cheapRunning += load == mContext.mView->mLoads.end()
                        ? own
                        : std::max(own, load->second.mRunning);
    }
  }
  std::set<std::string> avoid = old;
  if (!aWork.mReplica.empty()) {
    avoid.insert(aWork.mReplica);
  }
  if (mPreferPreemptible &&
      policy::PreferPreemptible(cheap, cheapRunning, {})) {
    std::set<std::string> cheapOnly = avoid;
    cheapOnly.insert(regular.begin(), regular.end());
    auto chosen = SelectReplica(mContext, aUpstream, cheapOnly, aRequestId);
    if (chosen.has_value()) {
      return chosen;
    }
  }
  auto chosen = SelectReplica(mContext, aUpstream, avoid, aRequestId);
  if (chosen.has_value() || avoid.size() == old.size()) {
    return chosen;
  }
  return SelectReplica(mContext, aUpstream, old, aRequestId);
}

/// Asked after each event of a stream.
bool Rollout::KeepStreaming(const Step& aStep,
                            uint32_t aIndex,
                            const Work& aWork)
{
  if (!Wanted(aStep, aIndex) || aWork.mMove ||
      mContext.mView->mLeaving.contains(aWork.mReplica)) {
    return false;
  }
  return mStaleness == policy::StalenessPolicy::AtDelivery ||
         aWork.mPartial.mWeightVersions.empty() ||
         !TooOld(aStep.mRequest.model(), aWork.mPartial.mWeightVersions);
}

/// Runs one stream of a sample, from the tokens that it has.
Awaitable<Result<bool>> Rollout::RunStream(
  StepPtr aStep,
  uint32_t aIndex,
  std::optional<ConcurrencyLimiter::Permit>& aPermit)
{
  const std::string& model = aStep->mRequest.model();
  const v1::Upstream* configured = EngineFor(model);
  if (configured == nullptr) {
    co_return UnknownStep(aStep->mHandle);
  }
  const auto gate = FindOrCreateLimiter(mContext, *configured);
  if (!aPermit) {
    auto entered = co_await EnterGate(aStep, aIndex, gate);
    if (entered.has_error()) {
      co_return entered.error();
    }
    aPermit = std::move(*entered);
  }
  configured = EngineFor(model); // The configuration may have changed.
  if (configured == nullptr) {
    co_return UnknownStep(aStep->mHandle);
  }
  const v1::Upstream upstream = *configured;
  Work& work = aStep->mWork.at(aIndex);
  if (const auto weights = mContext.mView->mConfig->mWeights.find(model);
      weights != mContext.mView->mConfig->mWeights.end()) {
    mVersionRates[model].Observe(weights->second.version(), mContext.mClock());
  }
  if (work.mPartial.mTokens > 0 &&
      TooOld(model, work.mPartial.mWeightVersions)) {
    aStep->mWasted += work.mPartial.mTokens;
    work.mPartial = {};
  }
  // Each stream has its own id, so that an event of an earlier stream of the
  // same sample is not taken for one of this stream.
  const std::string requestId =
    aStep->mHandle + "/" + std::to_string(aIndex) + "/" +
    std::to_string(mContext.mView->mSelf.mIncarnation) + "." +
    std::to_string(mContext.mNextId++);
  const uint32_t prompt = aIndex / aStep->mRequest.samples_per_prompt();
  const std::string& promptText =
    aStep->mRequest.prompts(static_cast<int>(prompt));
  const uint64_t fingerprint = Hash64(promptText, Hash64(model));
  if (mContext.mView->mQuarantined.contains(fingerprint)) {
    co_return Error{ ErrorKind::PermissionDenied,
                     "the prompt crashed upstreams and is quarantined",
                     "change the prompt, or ask an operator to look at it" };
  }
  const auto replica = PickReplica(*aStep, work, upstream, requestId);
  if (replica.has_error()) {
    co_return replica.error();
  }
  clients::CompletionRequest request;
  request.mModel = upstream.model();
  request.mPrompt = promptText;
  request.mMaxTokens = std::max(1U, aStep->mRequest.max_tokens());
  // A resumed sample goes before those that have not started, since its group
  // waits for it already.
  request.mPriority =
    work.mPartial.mTokens > 0 ? kTrainerPriority - 1 : kTrainerPriority;
  request.mRequestId = requestId;
  request.mResumeText = work.mPartial.mText;
  request.mResumeTokens = work.mPartial.mTokens;
  request.mSeed = Hash64(aStep->mHandle, aIndex);
  const auto endpoint = http::ParseEndpoint(replica->Address());
  if (endpoint.has_error()) {
    co_return endpoint.error();
  }
  request.mIdleTimeout = kStreamIdleTimeout;
  const TimePoint sent = mContext.mClock();
  work.mReplica = replica->Address();
  work.mStreamStart = sent;
  work.mAbort = std::make_shared<http::AbortHandle>();
  request.mAbort = work.mAbort;
  const uint32_t before = work.mPartial.mTokens;
  const std::function<bool()> keepGoing = [this, aStep, aIndex, &work] {
    if (!work.mStreaming) {
      // Counted from the first event: a stream that waits in the engine's
      // queue would lose its place there by moving.
      work.mStreaming = true;
      work.mTokensBefore = work.mPartial.mTokens;
      work.mStreamStart = mContext.mClock();
    }
    return KeepStreaming(*aStep, aIndex, work);
  };
  const auto done = co_await clients::StreamCompletion(*mContext.mClient,
                                                       *endpoint,
                                                       request,
                                                       aStep->mDeadline,
                                                       work.mPartial,
                                                       keepGoing);
  work.mStreaming = false;
  work.mAbort.reset();
  const Duration took = mContext.mClock() - sent;
  TrafficReport report;
  report.mAccount = aStep->mAccount;
  report.mTokens = work.mPartial.mTokens - before;
  report.mUpstreamMilliseconds = static_cast<uint64_t>(
    std::chrono::duration_cast<Milliseconds>(took).count());
  mContext.mControl.mReport(report);
  if (done.has_error()) {
    const bool canceled = !KeepStreaming(*aStep, aIndex, work);
    Event("sample_interrupted", canceled ? LogLevel::Debug : LogLevel::Warning)
      .Field("request_id", requestId)
      .Field("replica", replica->Address())
      .Field("tokens", work.mPartial.mTokens)
      .Field("error", FormatError(done.error()))
      .Write();
    const bool broke = done.error().mKind == ErrorKind::OutcomeUnknown ||
                       done.error().mKind == ErrorKind::DataLoss;
    if (broke && (work.mPartial.mTokens == before || ++work.mBroken > 1)) {
      asio::co_spawn(
        mContext.mExecutor,
        ReportBrokenConnection(mContext, fingerprint, replica->Address()),
        asio::detached);
    }
    co_return done.error();
  }
  ReportCompletion(mContext, fingerprint);
  aStep->mTypicalSeconds =
    aStep->mTypicalSeconds <= 0.0
      ? Seconds(took)
      : 0.8 * aStep->mTypicalSeconds + 0.2 * Seconds(took);
  co_return true;
}

/// Whether a sample with these versions must not be delivered (any more).
bool Rollout::TooOld(const std::string& aModel,
                     std::span<const uint64_t> aVersions) const
{
  const ConfigSnapshot& config = *mContext.mView->mConfig;
  const auto found = config.mStalenessBounds.find(aModel);
  const auto weights = config.mWeights.find(aModel);
  std::optional<uint32_t> bound;
  if (found != config.mStalenessBounds.end() &&
      weights != config.mWeights.end()) {
    bound = found->second.max_versions();
  }
  const uint64_t published =
    weights == config.mWeights.end() ? 0 : weights->second.version();
  return !policy::MayDeliver(aVersions, published, bound);
}

bool Rollout::Complete(const Step& aStep) const
{
  return std::all_of(
    aStep.mGroups.begin(), aStep.mGroups.end(), policy::HasEnoughSamples);
}

bool Rollout::Ended(const Step& aStep) const
{
  return aStep.mCanceled || mContext.mClock() >= aStep.mDeadline ||
         Complete(aStep);
}

void Rollout::Wake(Step& aStep)
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
  ForgetOld();
  StepPtr step = Find(aCall.mAccount, aRequest.step());
  const std::string owner = OwnerOf(aRequest.step());
  if (!step && !owner.empty() && owner != mContext.mView->mSelf.mAddress) {
    if (auto forwarded = co_await Forward(aCall, aRequest, owner)) {
      co_return std::move(*forwarded);
    }
    // A second Collect may have taken the step over in the meantime.
    step = Find(aCall.mAccount, aRequest.step());
  }
  if (!step) {
    if (!aRequest.has_origin() || Check(aRequest.origin()).has_error() ||
        EngineFor(aRequest.origin().model()) == nullptr) {
      co_return UnknownStep(aRequest.step());
    }
    Event("step_taken_over")
      .Field("request_id", aCall.mRequestId)
      .Field("step", aRequest.step())
      .Field("account", aCall.mAccount)
      .Field("owner", owner)
      .Write();
    const std::set<uint32_t> have(aRequest.have().begin(),
                                  aRequest.have().end());
    step = Launch(aRequest.step(), aCall.mAccount, aRequest.origin(), have);
  }
  co_return co_await CollectLocal(step, std::move(aRequest), aCall.mDeadline);
}

/// Asks the owner; nullopt when it cannot be reached or has forgotten the
/// step, so that the step may be taken over.
Awaitable<std::optional<Result<v1::CollectResponse>>> Rollout::Forward(
  const Call& aCall,
  v1::CollectRequest aRequest,
  const std::string& aOwner)
{
  // The owner answers before the caller's deadline. If the wait could use up
  // the deadline, a live owner would look like one that is gone.
  const TimePoint now = mContext.mClock();
  const auto left = std::chrono::duration_cast<Milliseconds>(
    aCall.mDeadline - now - 2 * kAnswerMargin);
  const std::string model = aRequest.origin().model();
  aRequest.clear_origin();
  aRequest.set_wait_ms(static_cast<uint32_t>(std::clamp<int64_t>(
    left.count(), 0, std::min<int64_t>(aRequest.wait_ms(), kMaxWait.count()))));
  PeerRequest request;
  request.mKind = "collect";
  request.mKey = aCall.mAccount;
  request.mBody = aRequest.SerializeAsString();
  const TimePoint limit =
    now + Milliseconds(aRequest.wait_ms()) + std::chrono::seconds(2);
  const auto reply = co_await mContext.mControl.mAskPeer(
    aOwner, request, std::min(limit, aCall.mDeadline));
  v1::CollectResponse answer;
  if (reply.has_error() || !reply->mFound ||
      !answer.ParseFromString(reply->mBody)) {
    co_return std::nullopt;
  }
  // This daemon may know a newer version than the owner. What it leaves out
  // is offered again, or expires, with the next Collect.
  auto& samples = *answer.mutable_samples();
  const auto old = std::remove_if(
    samples.begin(), samples.end(), [&](const v1::Sample& aSample) {
      const std::vector<uint64_t> versions(aSample.weight_versions().begin(),
                                           aSample.weight_versions().end());
      return TooOld(model, versions);
    });
  if (old != samples.end()) {
    samples.erase(old, samples.end());
    answer.set_complete(false);
  }
  co_return Result<v1::CollectResponse>(std::move(answer));
}

Awaitable<PeerReply> Rollout::AnswerPeer(PeerRequest aRequest)
{
  if (aRequest.mKind == "cancel_step") {
    if (const StepPtr step = Find(aRequest.mKey, aRequest.mBody)) {
      step->mCanceled = true;
      Wake(*step);
    }
    co_return PeerReply{};
  }
  v1::CollectRequest request;
  if (!request.ParseFromString(aRequest.mBody)) {
    co_return PeerReply{};
  }
  const StepPtr step = Find(aRequest.mKey, request.step());
  if (!step) {
    co_return PeerReply{};
  }
  const TimePoint limit =
    mContext.mClock() + Milliseconds(request.wait_ms()) + kAnswerMargin;
  const auto response = co_await CollectLocal(step, std::move(request), limit);
  if (response.has_error()) {
    co_return PeerReply{};
  }
  co_return PeerReply{ true, 0, {}, response->SerializeAsString() };
}

Awaitable<Result<v1::CollectResponse>> Rollout::CollectLocal(
  StepPtr aStep,
  v1::CollectRequest aRequest,
  TimePoint aDeadline)
{
  const std::set<uint32_t> have(aRequest.have().begin(), aRequest.have().end());
  const Milliseconds wait =
    std::min(Milliseconds(aRequest.wait_ms()), kMaxWait);
  const TimePoint limit =
    std::min(mContext.mClock() + wait, aDeadline - kAnswerMargin);
  v1::CollectResponse response = Fresh(aStep, have);
  while (response.samples().empty() && !response.complete() && !Ended(*aStep) &&
         mContext.mClock() < limit) {
    auto timer =
      std::make_shared<asio::steady_timer>(mContext.mExecutor, limit);
    aStep->mWaiters.push_back(timer);
    boost::system::error_code ignored;
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    std::erase(aStep->mWaiters, timer);
    response = Fresh(aStep, have);
  }
  co_return response;
}

/// The samples to deliver now. A sample that has become too old since it was
/// generated is dropped and generated again.
v1::CollectResponse Rollout::Fresh(const StepPtr& aStep,
                                   const std::set<uint32_t>& aHave)
{
  aStep->mLastUse = mContext.mClock();
  v1::CollectResponse response;
  std::vector<uint32_t> stale;
  size_t bytes = 0;
  bool rest = false;
  for (const auto& [index, sample] : aStep->mSamples) {
    if (aHave.contains(index)) {
      continue;
    }
    const std::vector<uint64_t> versions(sample.weight_versions().begin(),
                                         sample.weight_versions().end());
    if (TooOld(aStep->mRequest.model(), versions)) {
      stale.push_back(index);
    } else if (bytes > kMaxAnswerBytes) {
      rest = true;
    } else {
      bytes += sample.ByteSizeLong();
      *response.add_samples() = sample;
    }
  }
  for (const uint32_t index : stale) {
    policy::GroupState& group =
      aStep->mGroups[index / aStep->mRequest.samples_per_prompt()];
    aStep->mWasted += aStep->mSamples.at(index).tokens();
    aStep->mSamples.erase(index);
    aStep->mStates[index] = SampleState::Unstarted;
    --group.mComplete;
    ++group.mUnstarted;
    aStep->mNextGroup = 0;
  }
  if (!stale.empty()) {
    Event("samples_expired")
      .Field("step", aStep->mHandle)
      .Field("samples", static_cast<uint64_t>(stale.size()))
      .Write();
    EnsureSupervised(aStep);
  }
  response.set_complete(Complete(*aStep) && !rest);
  uint32_t missing = 0;
  for (const policy::GroupState& group : aStep->mGroups) {
    missing += group.mNeeded - std::min(group.mComplete, group.mNeeded);
  }
  response.set_missing(missing);
  return response;
}

Awaitable<Result<v1::CancelStepResponse>> Rollout::Cancel(
  Call aCall,
  v1::CancelStepRequest aRequest)
{
  if (const StepPtr step = Find(aCall.mAccount, aRequest.step())) {
    step->mCanceled = true;
    Wake(*step);
  }
  const std::string owner = OwnerOf(aRequest.step());
  if (!owner.empty() && owner != mContext.mView->mSelf.mAddress) {
    PeerRequest request;
    request.mKind = "cancel_step";
    request.mKey = aCall.mAccount;
    request.mBody = aRequest.step();
    const TimePoint limit = mContext.mClock() + kCancelTimeout;
    // An owner that cannot be reached stops at the step's deadline.
    co_await mContext.mControl.mAskPeer(
      owner, request, std::min(limit, aCall.mDeadline));
  }
  co_return v1::CancelStepResponse();
}

size_t Rollout::RunningStepCount() const
{
  return static_cast<size_t>(
    std::count_if(mSteps.begin(), mSteps.end(), [](const auto& aItem) {
      return aItem.second->mActive > 0 || aItem.second->mSupervised;
    }));
}

void Rollout::ForgetOld()
{
  std::erase_if(mSteps, [&](const auto& aItem) {
    const Step& step = *aItem.second;
    return step.mActive == 0 && !step.mSupervised &&
           mContext.mClock() - step.mLastUse > kStepRetention;
  });
}

} // namespace agatetide::daemon
