#include "agatetide/daemon/concurrency_limiter.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace agatetide::daemon {

namespace asio = boost::asio;

using policy::RequestClass;

namespace {

/// Interval over which the completion rate is measured.
constexpr std::chrono::milliseconds kRateInterval{ 500 };

} // namespace

ConcurrencyLimiter::Permit::~Permit()
{
  if (mLimiter) {
    mLimiter->ReleaseSlot(mClass, mAccount);
  }
}

void ConcurrencyLimiter::SetLimit(size_t aLimit)
{
  mLimit = aLimit;
  AdmitWaiting();
}

bool ConcurrencyLimiter::MayRun(RequestClass aClass,
                                const std::string& aAccount) const
{
  policy::SlotUsage usage;
  usage.mLimit = mLimit;
  usage.mRunning = mRunning;
  usage.mRunningBackground =
    mRunningByClass[static_cast<size_t>(RequestClass::Background)];
  usage.mRunningNonUrgent =
    usage.mRunningBackground +
    mRunningByClass[static_cast<size_t>(RequestClass::Trainer)];
  const auto account = mRunningByAccount.find(aAccount);
  usage.mRunningOfAccount =
    account == mRunningByAccount.end() ? 0 : account->second;
  return policy::MayTakeSlot(aClass, usage, mOptions.mHeadroom);
}

bool ConcurrencyLimiter::WouldMissDeadline(
  const policy::QueuedRequest& aRequest,
  TimePoint aDeadline) const
{
  if (!mOptions.mRefuseEarly || mCompletionRate <= 0.0) {
    return false;
  }
  const std::chrono::duration<double> wait(mQueue.EstimatedPosition(aRequest) /
                                           mCompletionRate);
  return wait + mServiceTime > aDeadline - mClock();
}

Awaitable<Result<ConcurrencyLimiter::Permit>> ConcurrencyLimiter::Acquire(
  SlotRequest aRequest)
{
  const auto self = shared_from_this();
  if (mQueue.size() == 0 && MayRun(aRequest.mClass, aRequest.mAccount)) {
    TakeSlot(aRequest.mClass, aRequest.mAccount);
    co_return Permit(self, aRequest.mClass, aRequest.mAccount);
  }
  const uint64_t id = mNextId++;
  policy::QueuedRequest queued{
    id, aRequest.mClass, aRequest.mAccount, aRequest.mWeight, aRequest.mCost
  };
  if (WouldMissDeadline(queued, aRequest.mDeadline)) {
    co_return Error{ ErrorKind::ResourceExhausted,
                     "the request would wait past its deadline",
                     "send fewer requests at once, or allow more time" };
  }
  if (!mQueue.Push(std::move(queued))) {
    co_return Error{ ErrorKind::ResourceExhausted,
                     "the queue of this client account is full",
                     "send fewer requests at once and retry later" };
  }
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           aRequest.mDeadline);
  Waiter waiter{ &timer, false };
  mWaiters[id] = &waiter;
  // Slots may be free that this request may take but those before it may not.
  AdmitWaiting();
  if (!waiter.mAdmitted) {
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  mWaiters.erase(id);
  if (waiter.mAdmitted) {
    Permit permit(self, aRequest.mClass, aRequest.mAccount);
    const Duration minRemaining =
      mOptions.mRefuseEarly ? mServiceTime : Duration::zero();
    if (mClock() + minRemaining < aRequest.mDeadline) {
      co_return permit;
    }
  } else {
    mQueue.Remove(id);
  }
  co_return Error{ ErrorKind::DeadlineExceeded,
                   "the deadline passed while the request was queued",
                   "retry later or allow more time" };
}

void ConcurrencyLimiter::TakeSlot(RequestClass aClass,
                                  const std::string& aAccount)
{
  ++mRunning;
  ++mRunningByClass[static_cast<size_t>(aClass)];
  ++mRunningByAccount[aAccount];
}

void ConcurrencyLimiter::ReleaseSlot(RequestClass aClass,
                                     const std::string& aAccount)
{
  --mRunning;
  --mRunningByClass[static_cast<size_t>(aClass)];
  const auto account = mRunningByAccount.find(aAccount);
  if (--account->second == 0) {
    mRunningByAccount.erase(account);
  }
  UpdateCompletionRate();
  AdmitWaiting();
}

void ConcurrencyLimiter::UpdateCompletionRate()
{
  const TimePoint now = mClock();
  ++mIntervalCompletions;
  const std::chrono::duration<double> passed = now - mIntervalStart;
  if (passed >= kRateInterval) {
    // The rate tells how fast the queue is served only if requests are waiting
    // and the interval had no pause in the traffic.
    mCompletionRate =
      mQueue.size() > 0 && passed < 2 * kRateInterval
        ? static_cast<double>(mIntervalCompletions) / passed.count()
        : 0.0;
    mIntervalCompletions = 0;
    mIntervalStart = now;
  }
}

void ConcurrencyLimiter::AdmitWaiting()
{
  while (mRunning < mLimit) {
    const auto next = mQueue.Pop([this](const policy::QueuedRequest& aRequest) {
      return MayRun(aRequest.mClass, aRequest.mAccount);
    });
    if (!next) {
      return;
    }
    const auto waiter = mWaiters.find(next->mId);
    if (waiter == mWaiters.end() || waiter->second->mAdmitted) {
      continue; // The deadline has just passed.
    }
    TakeSlot(next->mClass, next->mAccount);
    waiter->second->mAdmitted = true;
    waiter->second->mTimer->cancel();
  }
}

} // namespace agatetide::daemon
