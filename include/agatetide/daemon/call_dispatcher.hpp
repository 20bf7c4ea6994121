#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/daemon/traffic.hpp"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace agatetide::daemon {

/// @brief Runs calls of the operators' schema against upstreams. Owned by
/// the traffic thread.
class CallDispatcher
{
public:
  explicit CallDispatcher(TrafficContext& aContext)
    : mContext(aContext)
  {
  }

  /// @brief Runs one call and returns the answer's JSON or protobuf body.
  Awaitable<Result<std::string>> Run(Call aCall);

  /// @brief Runs a non-idempotent operation at most once for the caller's
  /// request id, over all daemons. aOperation is started only after the
  /// admission record was won.
  Awaitable<Result<std::string>> RunAtMostOnce(
    Call aCall,
    std::function<Awaitable<Result<std::string>>(Call)> aOperation);

  /// @brief Whether this daemon admitted the request and knows its state.
  bool HasOutcomeRecord(const Call& aCall) const;

  /// @brief Admitted requests that run now.
  size_t RunningCount() const { return mRunning; }

  /// @brief Copies of hedged requests that still run, also after their
  /// request was answered by the other copy.
  size_t RunningCopyCount() const { return mCopies; }

private:
  /// Request data that all copies of a hedged request share.
  struct HedgedRequest
  {
    Call mCall;
    /// Keeps mUpstream valid.
    std::shared_ptr<const ConfigSnapshot> mConfig;
    const v1::Upstream* mUpstream = nullptr;
    std::string mJson;
  };

  /// First answer of the copies of one request.
  struct Race
  {
    explicit Race(const boost::asio::any_io_executor& aExecutor)
      : mTimer(aExecutor)
    {
    }

    boost::asio::steady_timer mTimer;
    std::optional<Result<std::string>> mResult;
    unsigned mPending = 0;
    bool mMayHaveRun = false;
  };

  /// Outcome of a non-idempotent request that this daemon admitted.
  struct Outcome
  {
    coordination::AdmissionRecord mRecord;
    /// The store's record is known to be this daemon's.
    bool mAdmitted = false;
    /// The store's record is or may be this daemon's.
    bool mKeep = false;
    bool mDone = false;
    Result<std::string> mResult = std::string();
    TimePoint mFinished{};
    std::vector<std::shared_ptr<boost::asio::steady_timer>> mWaiters;
  };

  using OutcomePtr = std::shared_ptr<Outcome>;

  Awaitable<Result<std::string>> Dispatch(Call aCall,
                                          v1::Route aRoute,
                                          schema::Method aMethod);
  Result<SelectedReplica> ChooseForAttempt(const v1::Upstream& aUpstream,
                                           const std::set<std::string>& aAvoid,
                                           bool aSuspect,
                                           const std::string& aRequestId);
  Awaitable<Result<std::string>> Attempt(const Call& aCall,
                                         const v1::Upstream& aUpstream,
                                         const std::string& aJson,
                                         bool aIdempotent,
                                         const std::string& aReplica,
                                         uint32_t& aTokens);
  /// Attempt() that also feeds the upstream's limit and ejection.
  Awaitable<Result<std::string>> ObservedAttempt(const Call& aCall,
                                                 const v1::Upstream& aUpstream,
                                                 const std::string& aJson,
                                                 bool aIdempotent,
                                                 const std::string& aReplica,
                                                 uint32_t& aTokens);
  /// Sends a second copy to another replica when the first one takes longer
  /// than most, and returns the first good answer. Only for idempotent
  /// requests to plain services.
  Awaitable<Result<std::string>> HedgedAttempt(
    std::shared_ptr<const HedgedRequest> aRequest,
    std::shared_ptr<SelectedReplica> aFirst,
    Duration aDelay);
  Awaitable<void> RunCopy(std::shared_ptr<const HedgedRequest> aRequest,
                          std::shared_ptr<Race> aRace,
                          std::shared_ptr<SelectedReplica> aReplica);
  Awaitable<Result<std::string>> CallService(const Call& aCall,
                                             const std::string& aJson,
                                             bool aIdempotent,
                                             const std::string& aReplica);
  Awaitable<Result<std::string>> CallEngine(const Call& aCall,
                                            const v1::Upstream& aUpstream,
                                            const std::string& aJson,
                                            const std::string& aReplica,
                                            uint32_t& aTokens);
  Awaitable<void> RunAndFinish(
    Call aCall,
    std::function<Awaitable<Result<std::string>>(Call)> aOperation,
    OutcomePtr aOutcome);
  Awaitable<Result<std::string>> RunAdmitted(
    Call aCall,
    std::function<Awaitable<Result<std::string>>(Call)> aOperation,
    OutcomePtr aOutcome);
  Awaitable<Result<std::string>> AwaitOutcome(OutcomePtr aOutcome,
                                              TimePoint aDeadline);
  Awaitable<Result<std::string>> AskOwner(
    Call aCall,
    coordination::AdmissionRecord aRecord);
  void Finish(const OutcomePtr& aOutcome, Result<std::string> aResult);
  void ForgetOld();
  static bool NotRun(const Outcome& aOutcome);

  TrafficContext& mContext;
  size_t mRunning = 0;
  LogLimiter mAttemptLog;
  std::map<std::string, OutcomePtr> mOutcomes;
  std::deque<std::string> mFinishedOrder;
  size_t mCopies = 0;
};

/// @brief Fingerprint of a request, for quarantine and for checking that a
/// re-send is the same request.
uint64_t ComputeFingerprint(const Call& aCall);

/// @brief A call as the body of a peer request, and back. The key does not
/// travel: the daemon that took the request has checked it.
std::string EncodeCall(const Call& aCall, TimePoint aNow);
Result<Call> DecodeCall(const std::string& aText, TimePoint aNow);

/// @brief An outcome as the body of a peer reply.
std::string EncodeOutcome(const Result<std::string>& aResult);

} // namespace agatetide::daemon
