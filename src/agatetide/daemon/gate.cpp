#include "agatetide/daemon/gate.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace agatetide::daemon {

namespace asio = boost::asio;

Gate::Permit::~Permit()
{
  if (mGate) {
    mGate->Leave();
  }
}

void Gate::SetLimit(size_t aLimit)
{
  mLimit = aLimit;
  AdmitNext();
}

Awaitable<Result<Gate::Permit>> Gate::Enter(GateRequest aRequest)
{
  const auto self = shared_from_this();
  if (mRunning < mLimit && mQueue.size() == 0) {
    ++mRunning;
    co_return Permit(self);
  }
  const uint64_t id = mNextId++;
  if (!mQueue.Push({ id,
                     aRequest.mClass,
                     aRequest.mAccount,
                     aRequest.mWeight,
                     aRequest.mCost })) {
    co_return Error{ ErrorKind::ResourceExhausted,
                     "the queue of this client account is full",
                     "send fewer requests at once and retry later" };
  }
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           aRequest.mDeadline);
  Waiter waiter{ &timer, false };
  mWaiters[id] = &waiter;
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  mWaiters.erase(id);
  if (waiter.mAdmitted) {
    co_return Permit(self);
  }
  mQueue.Remove(id);
  co_return Error{ ErrorKind::DeadlineExceeded,
                   "the deadline passed while the request was queued",
                   "retry later or allow more time" };
}

void Gate::Leave()
{
  --mRunning;
  AdmitNext();
}

void Gate::AdmitNext()
{
  while (mRunning < mLimit) {
    const auto next = mQueue.Pop();
    if (!next) {
      return;
    }
    const auto waiter = mWaiters.find(next->mId);
    if (waiter == mWaiters.end() || waiter->second->mAdmitted) {
      continue; // Its deadline has just passed.
    }
    ++mRunning;
    waiter->second->mAdmitted = true;
    waiter->second->mTimer->cancel();
  }
}

} // namespace agatetide::daemon
