#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/clock.hpp"
#include "agatetide/base/error.hpp"
#include "agatetide/policy/concurrency_limit.hpp"
#include "agatetide/policy/fair_queue.hpp"
#include "agatetide/policy/headroom.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace agatetide::daemon {

/// @brief What a request asks of the gate.
struct SlotRequest
{
  policy::RequestClass mClass = policy::RequestClass::Urgent;
  std::string mAccount;
  double mWeight = 1.0;
  double mCost = 1.0;
  TimePoint mDeadline{};
};

struct ConcurrencyLimiterOptions
{
  policy::FairQueueOptions mQueue;
  policy::HeadroomOptions mHeadroom;
  /// Refuses requests that would wait past their deadline.
  bool mRefuseEarly = true;
};

/// @brief Lets a bounded number of requests run against one upstream group
/// and queues the rest fairly. Owned by the traffic thread.
class ConcurrencyLimiter
  : public std::enable_shared_from_this<ConcurrencyLimiter>
{
public:
  /// @brief Gives the slot back when it is destroyed.
  class Permit
  {
  public:
    Permit(std::shared_ptr<ConcurrencyLimiter> aGate,
           policy::RequestClass aClass,
           std::string aAccount)
      : mGate(std::move(aGate))
      , mClass(aClass)
      , mAccount(std::move(aAccount))
    {
    }
    Permit(Permit&&) = default;
    Permit& operator=(Permit&&) = default;
    ~Permit();

  private:
    std::shared_ptr<ConcurrencyLimiter> mGate;
    policy::RequestClass mClass;
    std::string mAccount;
  };

  ConcurrencyLimiter(ConcurrencyLimiterOptions aOptions, Clock aClock)
    : mOptions(aOptions)
    , mClock(std::move(aClock))
    , mQueue(aOptions.mQueue)
  {
  }

  /// @brief Requests that may run at once.
  void SetLimit(size_t aLimit);

  /// @brief Time that a request usually takes once it runs. Requests with
  /// less time left are refused, since their answer would come too late.
  void SetServiceTime(Duration aTime) { mServiceTime = aTime; }

  /// @brief Waits for a slot. Errors: ResourceExhausted when the client
  /// account's queue is full or the request would wait past its deadline;
  /// DeadlineExceeded. All mean not run.
  Awaitable<Result<Permit>> Acquire(SlotRequest aRequest);

  size_t RunningCount() const { return mRunning; }
  size_t WaitingCount() const { return mQueue.size(); }
  /// @brief How far the limit is in use.
  policy::LimitUsage Usage() const
  {
    if (mRunning >= mLimit) {
      return policy::LimitUsage::AtLimit;
    }
    return mQueue.size() > 0 ? policy::LimitUsage::RequestsWaiting
                             : policy::LimitUsage::BelowLimit;
  }

private:
  struct Waiter
  {
    boost::asio::steady_timer* mTimer = nullptr;
    bool mAdmitted = false;
  };

  bool MayRun(policy::RequestClass aClass, const std::string& aAccount) const;
  void Take(policy::RequestClass aClass, const std::string& aAccount);
  void Leave(policy::RequestClass aClass, const std::string& aAccount);
  void AdmitNext();
  void CountDeparture();
  bool WouldBeLate(const policy::QueuedRequest& aRequest,
                   TimePoint aDeadline) const;

  ConcurrencyLimiterOptions mOptions;
  Clock mClock;
  policy::FairQueue mQueue;
  std::map<uint64_t, Waiter*> mWaiters;
  size_t mLimit = 1;
  Duration mServiceTime{};
  size_t mRunning = 0;
  std::array<size_t, policy::kRequestClassCount> mRunningByClass{};
  std::map<std::string, size_t> mRunningByAccount;
  /// Requests that left in the last whole interval, per second.
  double mRate = 0.0;
  size_t mDepartures = 0;
  TimePoint mRateSince{};
  uint64_t mNextId = 1;
};

} // namespace agatetide::daemon
