#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/clients/engine_client.hpp"
#include "agatetide/daemon/traffic.hpp"
#include "agatetide/policy/placement.hpp"
#include "agatetide/policy/staleness.hpp"
#include "agatetide/policy/step_group.hpp"
#include "agatetide/v1/service.pb.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <span>

namespace agatetide::daemon {

/// @brief Generates the samples of trainers' rollout steps. Owned by the
/// traffic thread; not thread-safe.
///
/// A step's handle contains the address of the daemon that owns it. Any other
/// daemon forwards requests to the owner. If the owner cannot be reached or no
/// longer has the step, and the trainer sent the original request, the other
/// daemon takes the step over.
class Rollout
{
public:
  explicit Rollout(TrafficContext& aContext);

  /// @brief Starts a step. Errors: InvalidArgument; NotFound if no upstream
  /// serves the model.
  Result<v1::StartStepResponse> Start(const Call& aCall,
                                      const v1::StartStepRequest& aRequest);

  /// @brief Waits for samples that the trainer does not have yet.
  /// Errors: NotFound if the client account has no such step.
  Awaitable<Result<v1::CollectResponse>> Collect(Call aCall,
                                                 v1::CollectRequest aRequest);

  /// @brief Stops generating samples of a step, on this daemon and its owner.
  Awaitable<Result<v1::CancelStepResponse>> Cancel(
    Call aCall,
    v1::CancelStepRequest aRequest);

  /// @brief Answers a forwarded Collect or CancelStep of another daemon.
  Awaitable<coordination::PeerReply> AnswerPeer(
    coordination::PeerRequest aRequest);

  /// @brief Number of steps that are still generating samples.
  size_t RunningStepCount() const;

private:
  /// Client account and handle. The handle alone is not enough, because
  /// another account could send the same handle with its own request.
  using StepKey = std::pair<std::string, std::string>;

  enum class SampleState : uint8_t
  {
    Unstarted,
    Active,
    Complete,
  };

  /// State of a sample that is being generated.
  struct ActiveSample
  {
    clients::Completion mPartial;
    /// Replica of the current or last stream.
    std::string mReplica;
    /// When the stream was sent; from its first event on, the time of that
    /// event.
    TimePoint mStreamStart{};
    uint32_t mTokensAtStreamStart = 0;
    /// Cancels the stream; null while none runs.
    std::shared_ptr<http::CancelHandle> mCancel;
    /// Whether the stream has sent an event.
    bool mReceiving = false;
    /// Whether the stream is to end and resume on another replica.
    bool mMoveRequested = false;
    /// Streams whose connection broke after they had added tokens.
    unsigned mBrokenStreamCount = 0;
  };

  /// Crashes of engines that ran samples of a prompt, since the last complete
  /// sample of it.
  struct PromptCrashes
  {
    unsigned mCount = 0;
    TimePoint mLast{};
  };

  struct Step
  {
    std::string mHandle;
    std::string mAccount;
    v1::StartStepRequest mRequest;
    TimePoint mDeadline{};
    std::vector<SampleState> mSampleStates;
    std::vector<policy::PromptGroupState> mGroups;
    /// By prompt.
    std::map<uint32_t, PromptCrashes> mPromptCrashes;
    /// Samples that are being generated, by index.
    std::map<uint32_t, ActiveSample> mActiveSamples;
    /// Complete samples by index.
    std::map<uint32_t, v1::Sample> mSamples;
    /// First group that may have a sample to start.
    size_t mNextGroup = 0;
    bool mCanceled = false;
    /// Whether SuperviseStep() runs.
    bool mSupervised = false;
    size_t mActiveCount = 0;
    /// Tokens of samples that were discarded.
    uint64_t mWastedTokens = 0;
    uint64_t mCompletedTokens = 0;
    uint64_t mCompletedCount = 0;
    /// Tokens that the spare samples started so far may waste.
    double mSpareReserveTokens = 0.0;
    /// Moving average of the duration of finished streams; 0 before the first.
    double mMeanStreamSeconds = 0.0;
    uint32_t mMovedStreamCount = 0;
    uint32_t mSpareSampleCount = 0;
    TimePoint mLastUsed{};
    std::vector<std::shared_ptr<boost::asio::steady_timer>> mWaiters;
  };

  using StepPtr = std::shared_ptr<Step>;

  const v1::Upstream* FindEngineUpstream(const std::string& aModel) const;
  StepPtr FindStep(const std::string& aAccount,
                   const std::string& aHandle) const;
  StepPtr CreateStep(std::string aHandle,
                     std::string aAccount,
                     const v1::StartStepRequest& aRequest,
                     const std::set<uint32_t>& aReceived);
  Awaitable<void> SuperviseStep(StepPtr aStep);
  void EnsureSupervised(const StepPtr& aStep);
  void StartSamples(const StepPtr& aStep);
  void StartSample(const StepPtr& aStep, size_t aGroup);
  void HandleStragglers(const StepPtr& aStep);
  bool MustWaitAfterCrashes(const Step& aStep, uint32_t aPrompt) const;
  Awaitable<void> CountCrash(StepPtr aStep,
                             uint32_t aPrompt,
                             std::string aReplica);
  void MoveQueuedStreams(const StepPtr& aStep);
  void AbortUnneededStreams(const StepPtr& aStep);
  size_t FreeEngineCount(const std::string& aModel) const;
  Awaitable<void> GenerateSample(StepPtr aStep, uint32_t aIndex);
  Awaitable<Result<bool>> RunStream(
    StepPtr aStep,
    uint32_t aIndex,
    std::optional<ConcurrencyLimiter::Permit>& aPermit);
  bool ShouldContinueAtOnce(const ActiveSample& aSample,
                            uint32_t aTokensBefore) const;
  Awaitable<Result<ConcurrencyLimiter::Permit>> AcquireSlot(
    StepPtr aStep,
    uint32_t aIndex,
    std::shared_ptr<ConcurrencyLimiter> aLimiter);
  Result<SelectedReplica> SelectReplicaForSample(const Step& aStep,
                                                 const ActiveSample& aSample,
                                                 const v1::Upstream& aUpstream,
                                                 const std::string& aRequestId);
  bool IsExpectedFreshAtFinish(const Step& aStep,
                               const ActiveSample& aSample,
                               uint64_t aEngineVersion);
  bool ShouldKeepStreaming(const Step& aStep,
                           uint32_t aIndex,
                           const ActiveSample& aSample);
  bool StoreCompleteSample(Step& aStep, uint32_t aIndex, ActiveSample& aSample);
  Awaitable<Result<v1::CollectResponse>> CollectLocally(
    StepPtr aStep,
    v1::CollectRequest aRequest,
    TimePoint aDeadline);
  Awaitable<std::optional<Result<v1::CollectResponse>>> ForwardCollect(
    const Call& aCall,
    v1::CollectRequest aRequest,
    const std::string& aOwner);
  v1::CollectResponse CollectDeliverable(const StepPtr& aStep,
                                         const std::set<uint32_t>& aReceived);
  bool IsTooStale(const std::string& aModel,
                  std::span<const uint64_t> aVersions) const;
  bool HasEnded(const Step& aStep) const;
  bool IsNeeded(const Step& aStep, uint32_t aIndex) const;
  bool IsComplete(const Step& aStep) const;
  void WakeWaiters(Step& aStep);
  void RemoveExpiredSteps();

  TrafficContext& mContext;
  policy::StepGroupOptions mGroupOptions;
  policy::StalenessPolicy mStalenessPolicy =
    policy::StalenessPolicy::DuringGeneration;
  bool mPreferPreemptible = true;
  std::map<StepKey, StepPtr> mSteps;
  std::map<std::string, policy::VersionRate, std::less<>> mVersionRates;
};

} // namespace agatetide::daemon
