#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/error.hpp"
#include "agatetide/base/event_log.hpp"
#include "agatetide/policy/admission.hpp"
#include "agatetide/request/replica_pool.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace agatetide::request {

/// @brief A request that needs capacity of a service.
struct AdmissionCall
{
  std::string mService;
  policy::RequestClass mClass = policy::RequestClass::Urgent;
  /// Client account; empty if the request has none.
  std::string mAccount;
  double mWeight = 1.0;
  /// As ContentFingerprint().
  uint64_t mContent = 0;
  /// The response is of no use later.
  TimePoint mDueAt{};
};

/// @brief What this host's admission has done since its start.
struct AdmissionCounts
{
  /// Requests that ran at once, also while capacity was not short.
  uint64_t mRunAtOnce = 0;
  /// Requests that ran after a wait.
  uint64_t mRunAfterWait = 0;
  /// Requests that were refused on arrival.
  uint64_t mRefusedAtOnce = 0;
  /// Requests that were refused after a wait, since they could no longer be
  /// served in time.
  uint64_t mRefusedLate = 0;
  /// Waiting requests whose caller disconnected or whose host stopped.
  uint64_t mRemoved = 0;
};

/// @brief Hash of what a caller sends; equal for repetitions of a request.
/// Reads the beginning of long bodies only.
uint64_t ContentFingerprint(const UpstreamRequest& aRequest);

/// @brief Grants capacity of services to the requests of this host before they
/// are sent; see policy::Admission. Acts only on services whose replicas report
/// their pace. Not thread-safe; all calls must come from the daemon's executor.
class ServiceAdmission : public std::enable_shared_from_this<ServiceAdmission>
{
public:
  /// Precondition: aPool outlives the object.
  ServiceAdmission(boost::asio::any_io_executor aExecutor,
                   const ReplicaPool& aPool,
                   Clock aClock,
                   Random aRandom);

  /// @brief The right to run a request; returned by the destructor. One that is
  /// default constructed is for a service without admission.
  class Permit
  {
  public:
    Permit() = default;
    Permit(std::weak_ptr<ServiceAdmission> aAdmission,
           const AdmissionCall& aCall,
           TimePoint aStart);
    Permit(Permit&&) = default;
    Permit& operator=(Permit&&) = delete;
    ~Permit();

    /// @brief Whether a replica ran the request; false unless it is called.
    void SetServed(bool aServed) { mServed = aServed; }

  private:
    /// Empty after a move, and once the admission has ended.
    std::weak_ptr<ServiceAdmission> mAdmission;
    std::string mService;
    policy::RequestClass mClass = policy::RequestClass::Urgent;
    TimePoint mStart{};
    bool mServed = false;
  };

  /// @brief Whether requests to the service need a permit.
  bool IsActive(std::string_view aService) const
  {
    return mPool.ReportsPace(aService);
  }

  /// @brief Waits until the request may run. The caller cancels aTimer when
  /// aIsCanceled starts to return true. Errors, all with Execution::NotRun:
  /// Unavailable with a retry time if the request cannot be served in time, and
  /// without one if the host stops; Canceled. Precondition: aTimer is not used
  /// otherwise until then.
  Awaitable<Result<Permit>> Acquire(AdmissionCall aCall,
                                    boost::asio::steady_timer& aTimer,
                                    std::function<bool()> aIsCanceled);

  /// @brief Records that a replica of the service refused a request as full.
  void RecordFull(std::string_view aService);

  /// @brief Whether the service needs permits and its capacity is short.
  bool IsShort(std::string_view aService) const;

  /// @brief Retry time of a request that no replica could run; std::nullopt if
  /// capacity is not short.
  std::optional<Milliseconds> RetryTimeIfShort(const AdmissionCall& aCall);

  /// @brief Weight of a request from the priority of its account, or else of
  /// its route.
  double WeightOf(const fleet::Route& aRoute, std::string_view aAccount) const;

  /// @brief Refuses all waiting requests, and from then on those that would
  /// have to wait.
  void Stop();

  const AdmissionCounts& Counts() const { return mCounts; }
  size_t WaitingCount() const;

private:
  struct Waiter
  {
    boost::asio::steady_timer* mTimer = nullptr;
    bool mAdmitted = false;
  };
  struct Service
  {
    Service(const boost::asio::any_io_executor& aExecutor, Random aRandom)
      : mPolicy({}, std::move(aRandom))
      , mWakeTimer(aExecutor)
    {
    }

    policy::Admission mPolicy;
    std::map<uint64_t, Waiter*> mWaiters;
    /// Other hosts may leave capacity while no request of this host ends.
    boost::asio::steady_timer mWakeTimer;
    bool mWakeTimerRuns = false;
    LogLimiter mLogLimiter;
  };

  Service& FindOrCreate(const std::string& aService);
  policy::AdmissionCapacity CapacityOf(std::string_view aService) const;
  double Share() const;
  void AdmitWaiting(const std::string& aName, Service& aService);
  void StartWakeTimer(const std::string& aName, Service& aService);
  void Finish(const std::string& aService,
              policy::RequestClass aClass,
              Duration aTime,
              bool aServed);
  Awaitable<bool> AwaitTurn(Service& aService,
                            uint64_t aId,
                            TimePoint aDueAt,
                            boost::asio::steady_timer& aTimer,
                            std::function<bool()> aIsCanceled);
  Error Refuse(const AdmissionCall& aCall,
               Service& aService,
               Duration aExpectedWait,
               Milliseconds aRetryAfter);

  boost::asio::any_io_executor mExecutor;
  const ReplicaPool& mPool;
  Clock mClock;
  Random mRandom;
  std::map<std::string, Service, std::less<>> mServices;
  AdmissionCounts mCounts;
  uint64_t mNextId = 1;
  bool mStopping = false;
  /// The last share that was known while this host was in contact with the
  /// store.
  mutable std::optional<double> mLastShare;
};

} // namespace agatetide::request
