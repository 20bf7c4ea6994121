#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/daemon/traffic.hpp"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace agatetide::daemon {

/// @brief Runs calls of the methods in the operators' schema on upstreams.
/// Owned by the traffic thread; not thread-safe.
class CallDispatcher
{
public:
  explicit CallDispatcher(TrafficContext& aContext)
    : mContext(aContext)
  {
  }

  /// @brief Runs one call and returns the body of the answer, in the encoding
  /// of the call. Errors: NotFound if the method has no route, schema or
  /// upstream; PermissionDenied if the request is quarantined; those of the
  /// upstream.
  Awaitable<Result<std::string>> Run(Call aCall);

  /// @brief Runs a non-idempotent operation at most once per request id of the
  /// client account, across all daemons. Starts aOperation only after this
  /// daemon has created the admission record in the store. If another daemon
  /// has, returns the outcome that it reports.
  Awaitable<Result<std::string>> RunAtMostOnce(
    Call aCall,
    std::function<Awaitable<Result<std::string>>(Call)> aOperation);

  /// @brief Whether this daemon has a record of the request: it runs here, or
  /// its outcome is kept here.
  bool HasOutcomeRecord(const Call& aCall) const;

  /// @brief Number of admitted requests that are running.
  size_t RunningCount() const { return mRunningCount; }

  /// @brief Number of running copies of hedged requests, including those whose
  /// request was already answered by the other copy.
  size_t RunningCopyCount() const { return mRunningCopies; }

private:
  /// Request data shared by the copies of a hedged request.
  struct HedgedRequest
  {
    Call mCall;
    /// Keeps mUpstream valid.
    std::shared_ptr<const ConfigSnapshot> mConfig;
    const v1::Upstream* mUpstream = nullptr;
    std::string mJson;
  };

  /// Result of a hedged request: the first answer of its copies.
  struct HedgeState
  {
    explicit HedgeState(const boost::asio::any_io_executor& aExecutor)
      : mTimer(aExecutor)
    {
    }

    boost::asio::steady_timer mTimer;
    std::optional<Result<std::string>> mResult;
    unsigned mPendingCopies = 0;
    /// Whether a copy that failed may have run in its upstream.
    bool mMayHaveRun = false;
  };

  /// Outcome of a non-idempotent request that this daemon admitted.
  struct Outcome
  {
    coordination::AdmissionRecord mRecord;
    /// Whether the admission record in the store is known to be this daemon's.
    bool mAdmitted = false;
    /// Whether the outcome is kept: the admission record in the store is or may
    /// be this daemon's.
    bool mRetain = false;
    bool mDone = false;
    Result<std::string> mResult = std::string();
    TimePoint mFinished{};
    std::vector<std::shared_ptr<boost::asio::steady_timer>> mWaiters;
  };

  using OutcomePtr = std::shared_ptr<Outcome>;

  Awaitable<Result<std::string>> Dispatch(Call aCall,
                                          v1::Route aRoute,
                                          schema::Method aMethod);
  Result<SelectedReplica> SelectReplicaForAttempt(
    const v1::Upstream& aUpstream,
    const std::set<std::string>& aAvoid,
    bool aIsSuspect,
    const std::string& aRequestId);
  Awaitable<Result<std::string>> RunAttempt(const Call& aCall,
                                            const v1::Upstream& aUpstream,
                                            const std::string& aJson,
                                            bool aIdempotent,
                                            const std::string& aReplica,
                                            uint32_t& aTokens);
  /// RunAttempt() that also passes the outcome to ObserveAttempt().
  Awaitable<Result<std::string>> RunObservedAttempt(
    const Call& aCall,
    const v1::Upstream& aUpstream,
    const std::string& aJson,
    bool aIdempotent,
    const std::string& aReplica,
    uint32_t& aTokens);
  /// Sends the request to aFirst, and a second copy to another replica if there
  /// is no answer after aDelay. Returns the first successful answer. Only for
  /// idempotent requests to plain services.
  Awaitable<Result<std::string>> RunHedgedAttempt(
    std::shared_ptr<const HedgedRequest> aRequest,
    std::shared_ptr<SelectedReplica> aFirst,
    Duration aDelay);
  Awaitable<void> RunCopy(std::shared_ptr<const HedgedRequest> aRequest,
                          std::shared_ptr<HedgeState> aHedge,
                          std::shared_ptr<SelectedReplica> aReplica);
  Awaitable<Result<std::string>> CallService(const Call& aCall,
                                             const std::string& aJson,
                                             bool aIdempotent,
                                             const http::Endpoint& aEndpoint);
  Awaitable<Result<std::string>> CallEngine(const Call& aCall,
                                            const v1::Upstream& aUpstream,
                                            const std::string& aJson,
                                            const http::Endpoint& aEndpoint,
                                            uint32_t& aTokens);
  /// Returns aError with Execution::Unknown in place of NotRun, for a request
  /// of which another attempt may have run.
  static Error WithoutNotRun(Error aError);
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
  void RemoveExpired();
  static bool FinishedWithoutRunning(const Outcome& aOutcome);

  TrafficContext& mContext;
  size_t mRunningCount = 0;
  LogLimiter mAttemptLog;
  std::map<std::string, OutcomePtr> mOutcomes;
  std::deque<std::string> mFinishedOrder;
  size_t mRunningCopies = 0;
};

} // namespace agatetide::daemon
