#include "agatetide/base/encoding.hpp"
#include "agatetide/base/task.hpp"
#include "agatetide/daemon/call_codec.hpp"
#include "agatetide/daemon/call_dispatcher.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

/// The part of CallDispatcher that runs non-idempotent requests at most once
/// and keeps their outcomes.
namespace agatetide::daemon {

namespace asio = boost::asio;
using namespace coordination;

namespace {

constexpr std::chrono::minutes kOutcomeRetention{ 10 };
/// Timeout of an admitted request, even if its caller's deadline is earlier.
constexpr std::chrono::seconds kAdmittedRequestTimeout{ 60 };

std::string OutcomeKey(const std::string& aAccount,
                       const std::string& aRequestId)
{
  return aAccount + "\n" + aRequestId;
}

Error AdmissionUndecidedError()
{
  return { ErrorKind::Unavailable,
           "the platform store did not confirm the admission of this request",
           "send it again with the same request id" };
}

Error RequestIdReusedError()
{
  return { ErrorKind::InvalidArgument,
           "the request id was used for a different request",
           "use a new request id for each request" };
}

} // namespace

Awaitable<Result<std::string>> CallDispatcher::RunAtMostOnce(
  Call aCall,
  std::function<Awaitable<Result<std::string>>(Call)> aOperation)
{
  RemoveExpired();
  const std::string key = OutcomeKey(aCall.mAccount, aCall.mRequestId);
  const uint64_t fingerprint = ComputeFingerprint(aCall);
  OutcomePtr& entry = mOutcomes[key];
  if (entry && entry->mRecord.mFingerprint != fingerprint) {
    co_return RequestIdReusedError();
  }
  const bool start = !entry || FinishedWithoutRunning(*entry);
  if (!entry) {
    entry = std::make_shared<Outcome>();
    entry->mRecord.mDaemon = mContext.mView->mSelf.mAddress;
    entry->mRecord.mIncarnation = mContext.mView->mSelf.mIncarnation;
    entry->mRecord.mNonce = SecureHex(8);
    entry->mRecord.mFingerprint = fingerprint;
  }
  const OutcomePtr outcome = entry;
  const TimePoint deadline = aCall.mDeadline;
  if (start) {
    outcome->mDone = false;
    aCall.mUpstreamDeadline = mContext.mClock() + kAdmittedRequestTimeout;
    // Continues after the caller has given up, so that the caller can send the
    // request again and get the answer.
    asio::co_spawn(
      mContext.mExecutor,
      RunAndFinish(std::move(aCall), std::move(aOperation), outcome),
      LogFailure("run_and_finish"));
  }
  co_return co_await AwaitOutcome(outcome, deadline);
}

Awaitable<void> CallDispatcher::RunAndFinish(
  Call aCall,
  std::function<Awaitable<Result<std::string>>(Call)> aOperation,
  OutcomePtr aOutcome)
{
  ++mRunningCount;
  const std::string key = OutcomeKey(aCall.mAccount, aCall.mRequestId);
  auto result =
    co_await RunAdmitted(std::move(aCall), std::move(aOperation), aOutcome);
  Finish(aOutcome, std::move(result));
  if (aOutcome->mRetain) {
    mFinishedOrder.push_back(key);
  } else {
    mOutcomes.erase(key);
  }
  --mRunningCount;
}

Awaitable<Result<std::string>> CallDispatcher::RunAdmitted(
  Call aCall,
  std::function<Awaitable<Result<std::string>>(Call)> aOperation,
  OutcomePtr aOutcome)
{
  if (!aOutcome->mAdmitted) {
    AdmissionKey key{ aCall.mAccount, aCall.mRequestId };
    const auto admission =
      co_await mContext.mControl.mAdmit(std::move(key), aOutcome->mRecord);
    if (admission.has_error()) {
      co_return admission.error();
    }
    if (admission->mOutcome == AdmissionOutcome::Undecided) {
      aOutcome->mRetain = true;
      co_return AdmissionUndecidedError();
    }
    if (admission->mOutcome == AdmissionOutcome::Duplicate) {
      aOutcome->mRetain = false;
      if (admission->mRecord.mFingerprint != aOutcome->mRecord.mFingerprint) {
        co_return RequestIdReusedError();
      }
      co_return co_await AskOwner(aCall, admission->mRecord);
    }
    aOutcome->mAdmitted = true;
    aOutcome->mRetain = true;
  }
  if (mContext.mClock() >= aCall.mDeadline) {
    co_return Error{ ErrorKind::DeadlineExceeded,
                     "the deadline passed before the request was admitted",
                     "send it again with the same request id" };
  }
  co_return co_await aOperation(aCall);
}

bool CallDispatcher::HasOutcomeRecord(const Call& aCall) const
{
  return mOutcomes.contains(OutcomeKey(aCall.mAccount, aCall.mRequestId));
}

bool CallDispatcher::FinishedWithoutRunning(const Outcome& aOutcome)
{
  return aOutcome.mDone && aOutcome.mResult.has_error() &&
         aOutcome.mResult.error().mExecution == Execution::NotRun;
}

Awaitable<Result<std::string>> CallDispatcher::AwaitOutcome(OutcomePtr aOutcome,
                                                            TimePoint aDeadline)
{
  if (!aOutcome->mDone) {
    auto timer =
      std::make_shared<asio::steady_timer>(mContext.mExecutor, aDeadline);
    aOutcome->mWaiters.push_back(timer);
    boost::system::error_code ignored;
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (!aOutcome->mDone) {
    co_return Error{ ErrorKind::OutcomeUnknown,
                     "an earlier copy of this request is still running",
                     "send it again with the same request id to get its answer",
                     Execution::Unknown };
  }
  co_return aOutcome->mResult;
}

Awaitable<Result<std::string>> CallDispatcher::AskOwner(Call aCall,
                                                        AdmissionRecord aRecord)
{
  if (aRecord.mDaemon == mContext.mView->mSelf.mAddress) {
    co_return OutcomeLostError(); // Lost in a restart, or expired.
  }
  PeerRequest request;
  request.mKind = "answer";
  request.mBody = EncodeCall(aCall, mContext.mClock());
  const auto reply = co_await mContext.mControl.mAskPeer(
    aRecord.mDaemon, request, aCall.mDeadline);
  LogEvent("forward_duplicate")
    .Field("request_id", aCall.mRequestId)
    .Field("owner", aRecord.mDaemon)
    .Field("found", reply.has_value() && reply->mFound)
    .Write();
  if (reply.has_error() || !reply->mFound) {
    co_return OutcomeLostError();
  }
  co_return DecodeOutcome(reply->mBody);
}

void CallDispatcher::Finish(const OutcomePtr& aOutcome,
                            Result<std::string> aResult)
{
  aOutcome->mDone = true;
  aOutcome->mResult = std::move(aResult);
  aOutcome->mFinished = mContext.mClock();
  for (const auto& waiter : aOutcome->mWaiters) {
    waiter->cancel();
  }
  aOutcome->mWaiters.clear();
}

void CallDispatcher::RemoveExpired()
{
  while (!mFinishedOrder.empty()) {
    const auto oldest = mOutcomes.find(mFinishedOrder.front());
    if (oldest != mOutcomes.end() && !oldest->second->mDone) {
      return; // Runs again after it was refused without running.
    }
    if (oldest != mOutcomes.end() &&
        mContext.mClock() - oldest->second->mFinished < kOutcomeRetention) {
      return;
    }
    if (oldest != mOutcomes.end()) {
      mOutcomes.erase(oldest);
    }
    mFinishedOrder.pop_front();
  }
}

} // namespace agatetide::daemon
