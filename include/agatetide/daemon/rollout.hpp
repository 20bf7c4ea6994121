#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/daemon/traffic.hpp"
#include "agatetide/v1/service.pb.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace agatetide::daemon {

/// @brief Runs trainers' steps. Owned by the traffic thread.
///
/// A step's handle names the daemon that owns it. Another daemon forwards to
/// the owner, or takes the step over when the owner is gone and the trainer
/// sent the original request.
class Rollout
{
public:
  explicit Rollout(TrafficContext& aContext)
    : mContext(aContext)
  {
  }

  /// @brief Starts a step. Errors: InvalidArgument, NotFound for a model
  /// without an upstream.
  Result<v1::StartStepResponse> Start(const Call& aCall,
                                      const v1::StartStepRequest& aRequest);

  /// @brief Waits for samples that the trainer does not have yet.
  /// Errors: NotFound for an unknown step of this client account.
  Awaitable<Result<v1::CollectResponse>> Collect(Call aCall,
                                                 v1::CollectRequest aRequest);

  /// @brief Stops generating for a step.
  Result<v1::CancelStepResponse> Cancel(const Call& aCall,
                                        const v1::CancelStepRequest& aRequest);

  /// @brief Answers a forwarded Collect of another daemon.
  Awaitable<coordination::PeerReply> AnswerFor(
    coordination::PeerRequest aRequest);

  /// @brief Steps that still generate.
  size_t Running() const;

private:
  struct Step
  {
    std::string mHandle;
    std::string mAccount;
    v1::StartStepRequest mRequest;
    TimePoint mDeadline{};
    std::map<uint32_t, v1::Sample> mSamples;
    std::vector<uint32_t> mWholeByPrompt;
    bool mCanceled = false;
    size_t mActive = 0;
    TimePoint mLastUse{};
    std::vector<std::shared_ptr<boost::asio::steady_timer>> mWaiters;
  };

  using StepPtr = std::shared_ptr<Step>;

  const v1::Upstream* EngineFor(const std::string& aModel) const;
  StepPtr Launch(std::string aHandle,
                 std::string aAccount,
                 const v1::StartStepRequest& aRequest,
                 const std::set<uint32_t>& aHave);
  Awaitable<void> Generate(StepPtr aStep, uint32_t aIndex);
  Awaitable<Result<v1::Sample>> GenerateOnce(StepPtr aStep, uint32_t aIndex);
  Awaitable<Result<v1::CollectResponse>> CollectLocal(
    StepPtr aStep,
    v1::CollectRequest aRequest);
  Awaitable<std::optional<Result<v1::CollectResponse>>> Forward(
    const Call& aCall,
    const v1::CollectRequest& aRequest,
    const std::string& aOwner);
  v1::CollectResponse Fresh(Step& aStep, const std::set<uint32_t>& aHave);
  bool TooOld(const Step& aStep, const v1::Sample& aSample) const;
  bool Complete(const Step& aStep) const;
  void Wake(Step& aStep);
  void ForgetOld();

  TrafficContext& mContext;
  std::map<std::string, StepPtr> mSteps;
};

} // namespace agatetide::daemon
