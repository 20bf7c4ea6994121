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

/// @brief A request for a slot.
struct SlotRequest
{
  policy::RequestClass mClass = policy::RequestClass::Urgent;
  std::string mAccount;
  /// Weight of the client account in the fair queue.
  double mWeight = 1.0;
  /// Cost in the fair queue; larger requests use up more of the account's
  /// share.
  double mCost = 1.0;
  TimePoint mDeadline{};
};

struct ConcurrencyLimiterOptions
{
  policy::FairQueueOptions mQueue;
  policy::HeadroomOptions mHeadroom;
  /// Whether requests that would wait past their deadline are refused at once.
  bool mRefuseEarly = true;
};

/// @brief Limits the number of concurrent requests to one upstream group and
/// holds the others in a fair queue. Owned by the traffic thread; not
/// thread-safe.
class ConcurrencyLimiter
  : public std::enable_shared_from_this<ConcurrencyLimiter>
{
public:
  /// @brief A slot of the limiter; released by the destructor.
  class Permit
  {
  public:
    Permit(std::shared_ptr<ConcurrencyLimiter> aLimiter,
           policy::RequestClass aClass,
           std::string aAccount)
      : mLimiter(std::move(aLimiter))
      , mClass(aClass)
      , mAccount(std::move(aAccount))
    {
    }
    Permit(Permit&&) = default;
    Permit& operator=(Permit&&) = default;
    ~Permit();

  private:
    std::shared_ptr<ConcurrencyLimiter> mLimiter;
    policy::RequestClass mClass;
    std::string mAccount;
  };

  ConcurrencyLimiter(ConcurrencyLimiterOptions aOptions, Clock aClock)
    : mOptions(aOptions)
    , mClock(std::move(aClock))
    , mQueue(aOptions.mQueue)
  {
  }

  /// @brief Sets how many requests may run at the same time.
  void SetLimit(size_t aLimit);

  /// @brief Sets the usual duration of a running request. Requests with less
  /// time until their deadline are refused, since they would finish too late.
  void SetServiceTime(Duration aTime) { mServiceTime = aTime; }

  /// @brief Waits for a slot. Errors: ResourceExhausted if the client
  /// account's queue is full or the request would wait past its deadline;
  /// DeadlineExceeded. After any error the request has not run.
  Awaitable<Result<Permit>> Acquire(SlotRequest aRequest);

  size_t RunningCount() const { return mRunning; }
  size_t WaitingCount() const { return mQueue.size(); }
  /// @brief Whether the limit is reached or requests are waiting.
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
  void TakeSlot(policy::RequestClass aClass, const std::string& aAccount);
  void ReleaseSlot(policy::RequestClass aClass, const std::string& aAccount);
  void AdmitWaiting();
  void UpdateCompletionRate();
  bool WouldMissDeadline(const policy::QueuedRequest& aRequest,
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
  /// Requests finished per second in the last complete interval; 0 if unknown.
  double mCompletionRate = 0.0;
  size_t mIntervalCompletions = 0;
  TimePoint mIntervalStart{};
  uint64_t mNextId = 1;
};

} // namespace agatetide::daemon
