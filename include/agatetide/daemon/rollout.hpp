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

/// @brief Runs trainers' steps. Owned by the traffic thread.
///
/// A step's handle names the daemon that owns it. Another daemon forwards to
/// the owner, or takes the step over when the owner is gone and the trainer
/// sent the original request.
class Rollout
{
public:
  explicit Rollout(TrafficContext& aContext);

  /// @brief Starts a step. Errors: InvalidArgument, NotFound for a model
  /// without an upstream.
  Result<v1::StartStepResponse> Start(const Call& aCall,
                                      const v1::StartStepRequest& aRequest);

  /// @brief Waits for samples that the trainer does not have yet.
  /// Errors: NotFound for an unknown step of this client account.
  Awaitable<Result<v1::CollectResponse>> Collect(Call aCall,
                                                 v1::CollectRequest aRequest);

  /// @brief Stops generating for a step, here and on its owner.
  Awaitable<Result<v1::CancelStepResponse>> Cancel(
    Call aCall,
    v1::CancelStepRequest aRequest);

  /// @brief Answers a forwarded Collect or CancelStep of another daemon.
  Awaitable<coordination::PeerReply> AnswerPeer(
    coordination::PeerRequest aRequest);

  /// @brief Steps that still generate.
  size_t RunningStepCount() const;

private:
  /// Client account and handle. A handle alone does not name a step, since
  /// another account could send it together with a request of its own.
  using StepKey = std::pair<std::string, std::string>;

  enum class SampleState : uint8_t
  {
    Unstarted,
    Active,
    Whole,
  };

  /// A sample that is being generated.
  struct Work
  {
    clients::Completion mPartial;
    std::string mReplica;
    TimePoint mStreamStart{};
    uint32_t mTokensBefore = 0;
    /// Set while a stream runs.
    std::shared_ptr<http::AbortHandle> mAbort;
    /// Whether the stream has sent an event.
    bool mStreaming = false;
    bool mMove = false;
    /// Streams that broke after their first tokens.
    unsigned mBroken = 0;
  };

  struct Step
  {
    std::string mHandle;
    std::string mAccount;
    v1::StartStepRequest mRequest;
    TimePoint mDeadline{};
    std::vector<SampleState> mStates;
    std::vector<policy::GroupState> mGroups;
    std::map<uint32_t, Work> mWork;
    std::map<uint32_t, v1::Sample> mSamples;
    /// First group that may have a sample to start.
    size_t mNextGroup = 0;
    bool mCanceled = false;
    bool mSupervised = false;
    size_t mActive = 0;
    uint64_t mWasted = 0;
    uint64_t mWholeTokens = 0;
    uint64_t mWholeCount = 0;
    double mReserved = 0.0;
    double mTypicalSeconds = 0.0;
    uint32_t mMoves = 0;
    uint32_t mSpares = 0;
    TimePoint mLastUse{};
    std::vector<std::shared_ptr<boost::asio::steady_timer>> mWaiters;
  };

  using StepPtr = std::shared_ptr<Step>;

  const v1::Upstream* EngineFor(const std::string& aModel) const;
  StepPtr Find(const std::string& aAccount, const std::string& aHandle) const;
  StepPtr Launch(std::string aHandle,
                 std::string aAccount,
                 const v1::StartStepRequest& aRequest,
                 const std::set<uint32_t>& aHave);
  Awaitable<void> Supervise(StepPtr aStep);
  void EnsureSupervised(const StepPtr& aStep);
  void Pump(const StepPtr& aStep);
  void StartSample(const StepPtr& aStep, size_t aGroup);
  void ReviewStragglers(const StepPtr& aStep);
  void RequeueWaiting(const StepPtr& aStep);
  void EndUnwanted(const StepPtr& aStep);
  size_t FreeEngines(const std::string& aModel) const;
  Awaitable<void> Generate(StepPtr aStep, uint32_t aIndex);
  Awaitable<Result<bool>> RunStream(
    StepPtr aStep,
    uint32_t aIndex,
    std::optional<ConcurrencyLimiter::Permit>& aPermit);
  bool MovesAtOnce(const Work& aWork, uint32_t aBefore) const;
  Awaitable<Result<ConcurrencyLimiter::Permit>> EnterGate(
    StepPtr aStep,
    uint32_t aIndex,
    std::shared_ptr<ConcurrencyLimiter> aGate);
  Result<SelectedReplica> PickReplica(const Step& aStep,
                                      const Work& aWork,
                                      const v1::Upstream& aUpstream,
                                      const std::string& aRequestId);
  bool FreshAtFinish(const Step& aStep,
                     const Work& aWork,
                     uint64_t aEngineVersion);
  bool KeepStreaming(const Step& aStep, uint32_t aIndex, const Work& aWork);
  bool TakeWhole(Step& aStep, uint32_t aIndex, Work& aWork);
  Awaitable<Result<v1::CollectResponse>>
  CollectLocal(StepPtr aStep, v1::CollectRequest aRequest, TimePoint aDeadline);
  Awaitable<std::optional<Result<v1::CollectResponse>>> Forward(
    const Call& aCall,
    v1::CollectRequest aRequest,
    const std::string& aOwner);
  v1::CollectResponse Fresh(const StepPtr& aStep,
                            const std::set<uint32_t>& aHave);
  bool TooOld(const std::string& aModel,
              std::span<const uint64_t> aVersions) const;
  bool Ended(const Step& aStep) const;
  bool Wanted(const Step& aStep, uint32_t aIndex) const;
  bool Complete(const Step& aStep) const;
  void Wake(Step& aStep);
  void ForgetOld();

  TrafficContext& mContext;
  policy::StepGroupOptions mGroupOptions;
  policy::StalenessPolicy mStaleness =
    policy::StalenessPolicy::DuringGeneration;
  bool mPreferPreemptible = true;
  std::map<StepKey, StepPtr> mSteps;
  std::map<std::string, policy::VersionRate, std::less<>> mVersionRates;
};

} // namespace agatetide::daemon
