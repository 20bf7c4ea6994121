#include "agatetide/daemon/rollout.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/task.hpp"
#include "agatetide/daemon/crash_evidence.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

/// The part of Rollout that generates samples: slots, replicas, streams and
/// what follows when a stream ends.
namespace agatetide::daemon {

namespace asio = boost::asio;

namespace {

/// Backoff after a failed stream; doubles up to kMaxRetryBackoff.
constexpr std::chrono::milliseconds kInitialRetryBackoff{ 50 };
constexpr std::chrono::milliseconds kMaxRetryBackoff{ 1000 };
/// After this many crashes of engines that ran a prompt, its samples pause for
/// kPauseAfterCrash after each further one.
constexpr unsigned kCrashesBeforePause = 2;
constexpr std::chrono::milliseconds kPauseAfterCrash{ 4000 };
/// How often a queued sample checks whether its step still needs it.
constexpr std::chrono::milliseconds kQueueCheckInterval{ 1000 };
/// A stream that receives no bytes for this long is resumed on another engine.
constexpr std::chrono::milliseconds kStreamIdleTimeout{ 10000 };
constexpr int kTrainerPriority = 10;

Error SampleNotNeededError()
{
  return { ErrorKind::Canceled, "the sample is no longer needed", "none" };
}

Error NoEngineError(const std::string& aModel)
{
  return { ErrorKind::NotFound,
           "no upstream serves model " + aModel,
           "none; it is tried again until the step ends" };
}

} // namespace

bool Rollout::IsNeeded(const Step& aStep, uint32_t aIndex) const
{
  return !aStep.mCanceled && mContext.mClock() < aStep.mDeadline &&
         !policy::HasEnoughSamples(
           aStep.mGroups[aIndex / aStep.mRequest.samples_per_prompt()]);
}

/// Generates one sample until it is complete, no longer needed or past the
/// step's deadline.
Awaitable<void> Rollout::GenerateSample(StepPtr aStep, uint32_t aIndex)
{
  asio::steady_timer timer(mContext.mExecutor);
  Milliseconds backoff = kInitialRetryBackoff;
  ActiveSample& sample = aStep->mActiveSamples.at(aIndex);
  bool complete = false;
  std::optional<ConcurrencyLimiter::Permit> permit;
  while (!complete && IsNeeded(*aStep, aIndex)) {
    const uint32_t tokensBefore = sample.mPartial.mTokens;
    const auto ran = co_await RunStream(aStep, aIndex, permit);
    if (ran.has_value()) {
      complete = StoreCompleteSample(*aStep, aIndex, sample);
    }
    if (complete || !IsNeeded(*aStep, aIndex)) {
      break;
    }
    if (ShouldContinueAtOnce(sample, tokensBefore)) {
      backoff = kInitialRetryBackoff;
    } else {
      permit.reset();
      timer.expires_after(backoff);
      boost::system::error_code ignored;
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
      backoff = std::min(backoff * 2, kMaxRetryBackoff);
    }
    sample.mMoveRequested = false;
  }
  policy::PromptGroupState& group =
    aStep->mGroups[aIndex / aStep->mRequest.samples_per_prompt()];
  if (!complete) {
    aStep->mWastedTokens += sample.mPartial.mTokens;
    aStep->mSampleStates[aIndex] = SampleState::Unstarted;
    ++group.mUnstarted;
  }
  --group.mActive;
  --aStep->mActiveCount;
  aStep->mActiveSamples.erase(aIndex);
  if (complete && IsComplete(*aStep)) {
    LogEvent("step_complete")
      .Field("step", aStep->mHandle)
      .Field("account", aStep->mAccount)
      .Field("wasted_tokens", aStep->mWastedTokens)
      .Field("moves", aStep->mMovedStreamCount)
      .Field("spares", aStep->mSpareSampleCount)
      .Write();
  }
  StartSamples(aStep);
  WakeWaiters(*aStep);
}

/// Whether an interrupted sample continues without backoff and keeps its slot:
/// if it is moved on purpose, or if the last stream added tokens, which bounds
/// the number of such attempts.
bool Rollout::ShouldContinueAtOnce(const ActiveSample& aSample,
                                   uint32_t aTokensBefore) const
{
  return aSample.mMoveRequested || aSample.mPartial.mTokens > aTokensBefore;
}

/// Stores a finished sample and returns true. A sample that is too stale or
/// has no weight version is discarded, and the result is false.
bool Rollout::StoreCompleteSample(Step& aStep,
                                  uint32_t aIndex,
                                  ActiveSample& aSample)
{
  clients::Completion& completion = aSample.mPartial;
  if (IsTooStale(aStep.mRequest.model(), completion.mWeightVersions)) {
    LogEvent("sample_too_old")
      .Field("step", aStep.mHandle)
      .Field("index", aIndex)
      .Field("tokens", completion.mTokens)
      .Write();
    aStep.mWastedTokens += completion.mTokens;
    completion = {};
    return false;
  }
  const uint32_t prompt = aIndex / aStep.mRequest.samples_per_prompt();
  v1::Sample& stored = aStep.mSamples[aIndex];
  stored.Clear();
  stored.set_index(aIndex);
  stored.set_prompt(prompt);
  stored.set_text(std::move(completion.mText));
  stored.set_tokens(completion.mTokens);
  for (const uint64_t version : completion.mWeightVersions) {
    stored.add_weight_versions(version);
  }
  aStep.mSampleStates[aIndex] = SampleState::Complete;
  ++aStep.mGroups[prompt].mComplete;
  ++aStep.mCompletedCount;
  aStep.mCompletedTokens += completion.mTokens;
  return true;
}

/// Waits for a slot in intervals of kQueueCheckInterval, so that samples of a
/// step that was canceled or has enough samples soon leave the queue.
Awaitable<Result<ConcurrencyLimiter::Permit>> Rollout::AcquireSlot(
  StepPtr aStep,
  uint32_t aIndex,
  std::shared_ptr<ConcurrencyLimiter> aLimiter)
{
  while (IsNeeded(*aStep, aIndex)) {
    SlotRequest request;
    request.mClass = policy::RequestClass::Trainer;
    request.mAccount = aStep->mAccount;
    request.mWeight = AccountWeight(mContext, aStep->mAccount);
    request.mCost = std::max(1U, aStep->mRequest.max_tokens());
    request.mDeadline =
      std::min(aStep->mDeadline, mContext.mClock() + kQueueCheckInterval);
    auto permit = co_await aLimiter->Acquire(std::move(request));
    if (permit.has_value()) {
      // Dropping the permit here releases its slot.
      if (!IsNeeded(*aStep, aIndex)) {
        co_return SampleNotNeededError();
      }
      co_return permit;
    }
    if (permit.error().mKind != ErrorKind::DeadlineExceeded) {
      co_return permit.error();
    }
  }
  co_return SampleNotNeededError();
}

/// Whether a sample that starts or resumes on an engine with this weight
/// version is expected to be within the staleness bound when it finishes.
bool Rollout::IsExpectedFreshAtFinish(const Step& aStep,
                                      const ActiveSample& aSample,
                                      uint64_t aEngineVersion)
{
  const std::string& model = aStep.mRequest.model();
  const ConfigSnapshot& config = *mContext.mView->mConfig;
  const auto bound = config.mStalenessBounds.find(model);
  const auto weights = config.mWeights.find(model);
  if (mStalenessPolicy == policy::StalenessPolicy::AtDelivery ||
      bound == config.mStalenessBounds.end() ||
      weights == config.mWeights.end() || aEngineVersion == 0) {
    return true;
  }
  // The tokens of a resumed sample could become too stale while it waits.
  if (aSample.mPartial.mTokens > 0) {
    return true;
  }
  policy::SampleStartCheck check;
  check.mVersion = aEngineVersion;
  check.mPublishedVersion = weights->second.version();
  check.mStalenessBound = bound->second.max_versions();
  const auto time = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aStep.mMeanStreamSeconds));
  check.mExpectedVersions =
    mVersionRates[model].ExpectedVersions(time, mContext.mClock());
  return policy::ShouldStartSample(check);
}

/// Selects a replica whose weights are fresh enough. Among those it prefers
/// preemptible replicas and avoids the replica of the last stream, if possible.
Result<SelectedReplica> Rollout::SelectReplicaForSample(
  const Step& aStep,
  const ActiveSample& aSample,
  const v1::Upstream& aUpstream,
  const std::string& aRequestId)
{
  std::set<std::string> stale;
  std::set<std::string> regular;
  uint32_t preemptible = 0;
  uint32_t preemptibleRunning = 0;
  for (const v1::Replica& replica : aUpstream.replicas()) {
    const std::string& address = replica.address();
    const auto load = mContext.mView->mLoads.find(address);
    if (load != mContext.mView->mLoads.end() &&
        !IsExpectedFreshAtFinish(aStep, aSample, load->second.mWeightVersion)) {
      stale.insert(address);
    } else if (!replica.preemptible()) {
      regular.insert(address);
    } else if (!replica.leaving() &&
               !mContext.mView->mDrainingReplicas.contains(address)) {
      ++preemptible;
      const auto running = mContext.mReplicaLoads.find(address);
      const uint32_t own =
        running == mContext.mReplicaLoads.end() ? 0 : running->second.mRunning;
      preemptibleRunning += load == mContext.mView->mLoads.end()
                              ? own
                              : std::max(own, load->second.mRunning);
    }
  }
  std::set<std::string> avoid = stale;
  if (!aSample.mReplica.empty()) {
    avoid.insert(aSample.mReplica);
  }
  if (mPreferPreemptible &&
      policy::PreferPreemptible(preemptible, preemptibleRunning, {})) {
    std::set<std::string> avoidRegular = avoid;
    avoidRegular.insert(regular.begin(), regular.end());
    auto chosen = SelectReplica(mContext, aUpstream, avoidRegular, aRequestId);
    if (chosen.has_value()) {
      return chosen;
    }
  }
  auto chosen = SelectReplica(mContext, aUpstream, avoid, aRequestId);
  if (chosen.has_value() || avoid.size() == stale.size()) {
    return chosen;
  }
  return SelectReplica(mContext, aUpstream, stale, aRequestId);
}

/// Whether a stream should continue; checked after each of its events.
bool Rollout::ShouldKeepStreaming(const Step& aStep,
                                  uint32_t aIndex,
                                  const ActiveSample& aSample)
{
  if (!IsNeeded(aStep, aIndex) || aSample.mMoveRequested ||
      mContext.mView->mDrainingReplicas.contains(aSample.mReplica)) {
    return false;
  }
  return mStalenessPolicy == policy::StalenessPolicy::AtDelivery ||
         aSample.mPartial.mWeightVersions.empty() ||
         !IsTooStale(aStep.mRequest.model(), aSample.mPartial.mWeightVersions);
}

/// Whether the samples of a prompt pause because several engines crashed while
/// they ran it. They are only delayed: an engine that crashes breaks all the
/// samples that it runs, whatever the cause, and the step still needs them.
bool Rollout::MustWaitAfterCrashes(const Step& aStep, uint32_t aPrompt) const
{
  const auto found = aStep.mPromptCrashes.find(aPrompt);
  return found != aStep.mPromptCrashes.end() &&
         found->second.mCount >= kCrashesBeforePause &&
         mContext.mClock() - found->second.mLast < kPauseAfterCrash;
}

Awaitable<void> Rollout::CountCrash(StepPtr aStep,
                                    uint32_t aPrompt,
                                    std::string aReplica)
{
  if (co_await HasCrashed(mContext, std::move(aReplica))) {
    PromptCrashes& crashes = aStep->mPromptCrashes[aPrompt];
    ++crashes.mCount;
    crashes.mLast = mContext.mClock();
    LogEvent("engine_crashed_under_prompt", LogLevel::Warning)
      .Field("step", aStep->mHandle)
      .Field("prompt", aPrompt)
      .Field("crashes", crashes.mCount)
      .Write();
  }
}

/// Runs one stream of a sample, which resumes after the tokens it already has.
Awaitable<Result<bool>> Rollout::RunStream(
  StepPtr aStep,
  uint32_t aIndex,
  std::optional<ConcurrencyLimiter::Permit>& aPermit)
{
  const std::string& model = aStep->mRequest.model();
  const v1::Upstream* configured = FindEngineUpstream(model);
  if (configured == nullptr) {
    co_return NoEngineError(model);
  }
  const uint32_t prompt = aIndex / aStep->mRequest.samples_per_prompt();
  if (MustWaitAfterCrashes(*aStep, prompt)) {
    co_return Error{ ErrorKind::Unavailable,
                     "engines crashed while they ran the prompt",
                     "none; it is tried again after a pause" };
  }
  const auto limiter = FindOrCreateLimiter(mContext, *configured);
  if (!aPermit) {
    auto acquired = co_await AcquireSlot(aStep, aIndex, limiter);
    if (acquired.has_error()) {
      co_return acquired.error();
    }
    aPermit = std::move(*acquired);
  }
  configured = FindEngineUpstream(model); // May have changed while waiting.
  if (configured == nullptr) {
    co_return NoEngineError(model);
  }
  const v1::Upstream upstream = *configured;
  ActiveSample& sample = aStep->mActiveSamples.at(aIndex);
  if (const auto weights = mContext.mView->mConfig->mWeights.find(model);
      weights != mContext.mView->mConfig->mWeights.end()) {
    mVersionRates[model].Observe(weights->second.version(), mContext.mClock());
  }
  if (sample.mPartial.mTokens > 0 &&
      IsTooStale(model, sample.mPartial.mWeightVersions)) {
    aStep->mWastedTokens += sample.mPartial.mTokens;
    sample.mPartial = {};
  }
  // Each stream has its own id, so that an event of an earlier stream of the
  // same sample cannot be mistaken for an event of this one.
  const std::string requestId =
    aStep->mHandle + "/" + std::to_string(aIndex) + "/" +
    std::to_string(mContext.mView->mSelf.mIncarnation) + "." +
    std::to_string(mContext.mNextId++);
  const std::string& promptText =
    aStep->mRequest.prompts(static_cast<int>(prompt));
  const auto replica =
    SelectReplicaForSample(*aStep, sample, upstream, requestId);
  if (replica.has_error()) {
    co_return replica.error();
  }
  clients::CompletionRequest request;
  request.mModel = upstream.model();
  request.mPrompt = promptText;
  request.mMaxTokens = std::max(1U, aStep->mRequest.max_tokens());
  // A resumed sample takes precedence over samples that have not started,
  // because its group is already waiting for it.
  request.mPriority =
    sample.mPartial.mTokens > 0 ? kTrainerPriority - 1 : kTrainerPriority;
  request.mRequestId = requestId;
  request.mResumeText = sample.mPartial.mText;
  request.mResumeTokens = sample.mPartial.mTokens;
  request.mSeed = Hash64(aStep->mHandle, aIndex);
  const auto endpoint = http::ParseEndpoint(replica->Address());
  if (endpoint.has_error()) {
    co_return endpoint.error();
  }
  request.mIdleTimeout = kStreamIdleTimeout;
  const TimePoint sent = mContext.mClock();
  sample.mReplica = replica->Address();
  sample.mStreamStart = sent;
  sample.mCancel = std::make_shared<http::CancelHandle>();
  request.mCancel = sample.mCancel;
  const uint32_t tokensBefore = sample.mPartial.mTokens;
  const std::function<bool()> keepGoing = [this, aStep, aIndex, &sample] {
    if (!sample.mReceiving) {
      // The rate is measured from the first event, so that a stream in the
      // engine's queue is not moved as slow and does not lose its place there.
      sample.mReceiving = true;
      sample.mTokensAtStreamStart = sample.mPartial.mTokens;
      sample.mStreamStart = mContext.mClock();
    }
    return ShouldKeepStreaming(*aStep, aIndex, sample);
  };
  const auto done = co_await clients::StreamCompletion(*mContext.mClient,
                                                       *endpoint,
                                                       request,
                                                       aStep->mDeadline,
                                                       sample.mPartial,
                                                       keepGoing);
  sample.mReceiving = false;
  sample.mCancel.reset();
  const Duration elapsed = mContext.mClock() - sent;
  TrafficReport report;
  report.mAccount = aStep->mAccount;
  report.mTokens = sample.mPartial.mTokens - tokensBefore;
  report.mUpstreamMilliseconds = static_cast<uint64_t>(
    std::chrono::duration_cast<Milliseconds>(elapsed).count());
  mContext.mControl.mReport(report);
  if (done.has_error()) {
    const bool canceled = !ShouldKeepStreaming(*aStep, aIndex, sample);
    LogEvent("sample_interrupted",
             canceled ? LogLevel::Debug : LogLevel::Warning)
      .Field("request_id", requestId)
      .Field("replica", replica->Address())
      .Field("tokens", sample.mPartial.mTokens)
      .Field("error", FormatError(done.error()))
      .Write();
    const bool streamBroke = done.error().mKind == ErrorKind::OutcomeUnknown ||
                             done.error().mKind == ErrorKind::DataLoss;
    if (streamBroke && (sample.mPartial.mTokens == tokensBefore ||
                        ++sample.mBrokenStreamCount > 1)) {
      asio::co_spawn(mContext.mExecutor,
                     CountCrash(aStep, prompt, replica->Address()),
                     LogFailure("count_crash"));
    }
    co_return done.error();
  }
  aStep->mPromptCrashes.erase(prompt);
  aStep->mMeanStreamSeconds =
    aStep->mMeanStreamSeconds <= 0.0
      ? Seconds(elapsed)
      : 0.8 * aStep->mMeanStreamSeconds + 0.2 * Seconds(elapsed);
  co_return true;
}

/// Whether a sample generated with these weight versions must not be delivered.
bool Rollout::IsTooStale(const std::string& aModel,
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

} // namespace agatetide::daemon
