#pragma once

#include "agatetide/policy/retry_budget.hpp"
#include "agatetide/request/crash_suspects.hpp"
#include "agatetide/request/replica_pool.hpp"
#include "agatetide/request/service_admission.hpp"
#include "agatetide/request/upstream.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <optional>
#include <set>

namespace agatetide::request {

/// @brief A request to forward to a service of a route.
struct ForwardRequest
{
  fleet::Route mRoute;
  /// Template of all attempts. The forwarder sets mReplicaId and mDeadline,
  /// and may set mFreshConnection.
  UpstreamRequest mPrototype;
  /// The caller gets a response or an error by then.
  TimePoint mDeadline{};
  /// Set if the request continues a stream: it goes to replicas that can
  /// continue it, and mRoute only limits the attempts.
  std::optional<StreamOrigin> mOrigin;
  /// Order among the requests to a service while its capacity is short: Urgent
  /// for lookups of callers, Trainer for scoring calls. Lookups are of use
  /// until the target latency of the route, others until mDeadline.
  policy::RequestClass mClass = policy::RequestClass::Urgent;
  /// Whether the request is refused when it has crashed several replicas. Only
  /// for requests that their callers repeat.
  bool mCountCrashes = false;
  /// How long the request may wait while the limits of all replicas are used
  /// up. Requests that may not wait leave limited replicas to those that wait.
  Duration mMaxLimitWait{};
  /// Watches the caller's connection. May be null.
  std::shared_ptr<http::CallerConnection> mCaller;
  /// Called at most once, after the first attempt that a replica may have run,
  /// with the time at which that attempt was sent. May be empty.
  std::function<void(TimePoint)> mOnMayHaveRun;
  /// Called for each attempt that a replica ran but failed (status 500). Other
  /// failures, such as a timeout at the replica, do not count. May be empty.
  std::function<void()> mOnReplicaFailure;
};

/// @brief The refusal of work that would outlast a host that stops. Other hosts
/// can do it at once.
Error HostStoppingError();

/// @brief Forwards requests to replicas, with retries and hedged requests
/// where the route allows them. Not thread-safe; all calls must come from the
/// daemon's executor.
class Forwarder
{
public:
  /// Precondition: aPool and aSuspects outlive the forwarder and its requests.
  Forwarder(boost::asio::any_io_executor aExecutor,
            ReplicaPool& aPool,
            CrashSuspects& aSuspects,
            UpstreamCall aCall,
            Clock aClock,
            Random aRandom);

  /// @brief Forwards a request and returns the response of a replica: the
  /// first one with a status below 500, or a failure response when no attempt
  /// is left. Errors: Unavailable with Execution::NotRun when no replica ran
  /// the request and none will, also when it would outlast this host, which is
  /// about to stop, or when it crashes replicas; OutcomeUnknown;
  /// DeadlineExceeded; Canceled when the caller has disconnected.
  Awaitable<Result<UpstreamResponse>> Run(ForwardRequest aRequest);

  /// @brief Limits the deadline of all requests, including running ones, so
  /// that a daemon that shuts down answers them before its process exits. Sends
  /// nothing more that would probably be cut then; see
  /// policy::FitsBeforeStop().
  void SetShutdownDeadline(TimePoint aDeadline);

  const ServiceAdmission& Admission() const { return *mAdmission; }

private:
  struct RequestState;
  /// Hedging state shared by all requests to one service.
  struct ServiceState
  {
    policy::RetryBudget mHedgeBudget{ policy::RetryBudgetOptions{} };
    policy::HedgeDelay mHedgeDelay{ policy::HedgeOptions{} };
    /// Requests that wait until the limit of a replica allows another one.
    size_t mWaitingCount = 0;
  };

  Awaitable<Result<UpstreamResponse>> RunAttempts(
    std::shared_ptr<RequestState> aState);
  Awaitable<bool> Admit(std::shared_ptr<RequestState> aState);
  Awaitable<Result<ServiceAdmission::Permit>> AcquireCapacity(
    std::shared_ptr<RequestState> aState);
  bool MayRetrySuspect(RequestState& aState);
  Awaitable<bool> AwaitSettled(std::shared_ptr<RequestState> aState);
  Awaitable<void> Sleep(std::shared_ptr<RequestState> aState, Duration aTime);
  bool StartAttempt(const std::shared_ptr<RequestState>& aState);
  Awaitable<bool> AwaitLimit(std::shared_ptr<RequestState> aState);
  Awaitable<void> RunAttempt(std::shared_ptr<RequestState> aState,
                             ReplicaPool::Reservation aReservation,
                             std::shared_ptr<http::CancelHandle> aCancel);
  void FinishAttempt(RequestState& aState,
                     const fleet::Replica& aReplica,
                     Result<UpstreamResponse> aResult,
                     TimePoint aSent);
  Result<UpstreamResponse> MakeResult(RequestState& aState);
  std::optional<Milliseconds> RetryTimeOf(const RequestState& aState);
  ReplicaFilter MakeFilter(const RequestState& aState);
  TimePoint DeadlineOf(const RequestState& aState) const;
  bool FitsBeforeShutdown(const RequestState& aState);
  std::string ChooseService(const fleet::Route& aRoute) const;
  Duration HedgeDelayFor(const RequestState& aState);

  boost::asio::any_io_executor mExecutor;
  ReplicaPool& mPool;
  CrashSuspects& mSuspects;
  UpstreamCall mCall;
  Clock mClock;
  Random mRandom;
  std::shared_ptr<ServiceAdmission> mAdmission;
  std::map<std::string, ServiceState, std::less<>> mServices;
  std::set<RequestState*> mRequests;
  TimePoint mShutdownDeadline = TimePoint::max();
};

} // namespace agatetide::request
