#pragma once

#include "agatetide/policy/retry_budget.hpp"
#include "agatetide/request/replica_pool.hpp"
#include "agatetide/request/upstream.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <set>

namespace agatetide::request {

/// @brief A request that is to be run by a service.
struct ForwardRequest
{
  fleet::Route mRoute;
  /// What all attempts send; replica and deadline are filled in.
  UpstreamRequest mPrototype;
  /// The caller hears by then.
  TimePoint mDeadline{};
  /// May be null.
  std::shared_ptr<http::CallerConnection> mCaller;
  /// Called with the time of sending when a replica has probably begun to
  /// run the request, at most once. May be empty.
  std::function<void(TimePoint)> mOnStarted;
  /// Called for each replica that ran the request and failed it. An answer
  /// that only says that time has run out is none. May be empty.
  std::function<void()> mOnRejected;
};

/// @brief Runs requests on replicas, with another attempt where the route
/// allows it. Not thread-safe: owned by the executor of the daemon.
class Forwarder
{
public:
  /// Precondition: aPool outlives the forwarder and its requests.
  Forwarder(boost::asio::any_io_executor aExecutor,
            ReplicaPool& aPool,
            UpstreamCall aCall,
            Clock aClock,
            Random aRandom);

  /// @brief Runs a request and returns a replica's answer: a success, or its
  /// own failure when no attempt is left. Errors: Unavailable with
  /// Execution::NotRun when no replica ran it and none will;
  /// OutcomeUnknown; DeadlineExceeded; Canceled when the caller has gone.
  Awaitable<Result<UpstreamResponse>> Run(ForwardRequest aRequest);

  /// @brief Ends all requests by aTime, also those that are running: a daemon
  /// that stops answers them before it goes.
  void SetShutdownDeadline(TimePoint aTime);

private:
  struct Race;
  struct ServiceState
  {
    policy::RetryBudget mHedges{ policy::RetryBudgetOptions{} };
    policy::HedgeDelay mDelay{ policy::HedgeOptions{} };
  };

  bool StartAttempt(const std::shared_ptr<Race>& aRace);
  Awaitable<void> Attempt(std::shared_ptr<Race> aRace,
                          ReplicaPool::Use aUse,
                          std::shared_ptr<http::AbortHandle> aAbort);
  void Finish(Race& aRace,
              const fleet::Replica& aReplica,
              Result<UpstreamResponse> aResult,
              TimePoint aSent);
  Result<UpstreamResponse> Outcome(Race& aRace) const;
  TimePoint DeadlineOf(const Race& aRace) const;
  std::string ChooseService(const fleet::Route& aRoute) const;
  Duration HedgeAfter(const Race& aRace);

  boost::asio::any_io_executor mExecutor;
  ReplicaPool& mPool;
  UpstreamCall mCall;
  Clock mClock;
  Random mRandom;
  std::map<std::string, ServiceState, std::less<>> mServices;
  std::set<Race*> mRaces;
  TimePoint mEnd = TimePoint::max();
};

} // namespace agatetide::request
