#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/daemon/traffic.hpp"

#include <deque>
#include <memory>

namespace agatetide::daemon {

/// @brief Runs calls of the operators' schema against upstreams. Owned by
/// the traffic thread.
class CallPath
{
public:
  explicit CallPath(TrafficContext& aContext)
    : mContext(aContext)
  {
  }

  /// @brief Runs one call and returns the answer's JSON or protobuf body.
  Awaitable<Result<std::string>> Run(Call aCall);

  /// @brief Runs a non-idempotent operation at most once for the caller's
  /// request id, over all daemons. aOperation is started only after the
  /// admission record was won.
  Awaitable<Result<std::string>> RunOnce(
    Call aCall,
    std::function<Awaitable<Result<std::string>>(Call)> aOperation);

  /// @brief Answers another daemon that asks for the outcome of a request
  /// which this daemon admitted.
  Awaitable<coordination::PeerReply> AnswerFor(
    coordination::PeerRequest aRequest);

private:
  /// Outcome of a non-idempotent request that this daemon admitted.
  struct Outcome
  {
    uint64_t mFingerprint = 0;
    bool mDone = false;
    Result<std::string> mResult = std::string();
    TimePoint mFinished{};
    std::vector<std::shared_ptr<boost::asio::steady_timer>> mWaiters;
  };

  using OutcomePtr = std::shared_ptr<Outcome>;

  Awaitable<Result<std::string>> Dispatch(Call aCall,
                                          v1::Route aRoute,
                                          schema::Method aMethod);
  Awaitable<Result<std::string>> Attempt(const Call& aCall,
                                         const v1::Upstream& aUpstream,
                                         const std::string& aJson,
                                         bool aIdempotent,
                                         const std::string& aReplica,
                                         uint32_t& aTokens);
  Awaitable<Result<std::string>> CallService(const Call& aCall,
                                             const std::string& aJson,
                                             bool aIdempotent,
                                             const std::string& aReplica);
  Awaitable<Result<std::string>> CallEngine(const Call& aCall,
                                            const v1::Upstream& aUpstream,
                                            const std::string& aJson,
                                            const std::string& aReplica,
                                            uint32_t& aTokens);
  Awaitable<Result<std::string>> AwaitOutcome(OutcomePtr aOutcome,
                                              TimePoint aDeadline);
  Awaitable<Result<std::string>> AskOwner(
    Call aCall,
    coordination::AdmissionRecord aRecord);
  void Finish(const OutcomePtr& aOutcome, Result<std::string> aResult);
  void ForgetOld();
  static bool NotRun(const Outcome& aOutcome);

  TrafficContext& mContext;
  LogLimiter mAttemptLog;
  std::map<std::string, OutcomePtr> mOutcomes;
  std::deque<std::string> mFinishedOrder;
};

/// @brief Fingerprint of a request, for quarantine and for checking that a
/// re-send is the same request.
uint64_t Fingerprint(const Call& aCall);

} // namespace agatetide::daemon
