#include "agatetide/steps/step_service.hpp"

#include "agatetide/base/event_log.hpp"
#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace agatetide::steps {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kResolveInterval{ 400 };
/// A write whose outcome is unknown may still take effect for this long.
constexpr std::chrono::seconds kResolveTimeout{ 10 };
constexpr std::chrono::milliseconds kCreateRetryDelay{ 100 };
constexpr unsigned kMaxEndAttempts = 8;
/// Steps count as demand for this long after their submission.
constexpr Milliseconds kDemandWindow{ 20000 };

} // namespace

StepService::StepService(StepContext& aContext,
                         StepRunner& aRunner,
                         StepServiceOptions aOptions)
  : mContext(aContext)
  , mRunner(aRunner)
  , mOptions(aOptions)
  , mLoader(aContext)
  , mReader(aContext, aRunner)
  , mDemand(aContext, kDemandWindow)
{
}

Awaitable<SubmitOutcome> StepService::Submit(StepSubmission aSubmission,
                                             TimePoint aDeadline)
{
  if (const OwnedStepPtr owned = mRunner.Find(aSubmission.mId);
      owned && owned->mRecord.mAccount == aSubmission.mAccount) {
    co_return SubmitOutcome::Accepted;
  }
  MemoryReservation memory(mContext.mItemBudget);
  if (!memory.Grow(MemoryBytes(aSubmission.mItems))) {
    LogMemoryShortage("step_refused", aSubmission.mId);
    co_return SubmitOutcome::Refused;
  }
  const auto submitting = mSubmitting.insert(aSubmission.mId);
  const std::shared_ptr<void> submitted(
    nullptr, [&](void*) { mSubmitting.erase(submitting); });
  StepRecord record;
  record.mId = aSubmission.mId;
  record.mAccount = aSubmission.mAccount;
  record.mHttpHost = aSubmission.mHttpHost;
  record.mPath = aSubmission.mPath;
  record.mModel = aSubmission.mModel;
  record.mMinVersion = aSubmission.mMinVersion;
  record.mDesiredGroups = aSubmission.mDesiredGroups;
  for (const StepItem& item : aSubmission.mItems) {
    record.mExpectedTokens += item.mExpectedTokens;
  }
  record.mSubmittedMs = mContext.mWallClock();
  record.mOwner = mContext.mOwner;
  record.mRegion = mContext.mView.Region();
  asio::steady_timer timer(mContext.mExecutor);
  bool mayBeStored = false;
  CreateResult reply;
  for (;;) {
    reply = co_await mContext.mStepStore.Create(record, aSubmission.mItems);
    mayBeStored = mayBeStored || reply.mOutcome == CreateOutcome::Unknown;
    const bool isStored = reply.mOutcome == CreateOutcome::Created ||
                          reply.mOutcome == CreateOutcome::Exists;
    if (isStored || mContext.mClock() + kCreateRetryDelay >= aDeadline) {
      break;
    }
    timer.expires_after(kCreateRetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  const bool own = (reply.mOutcome == CreateOutcome::Created ||
                    reply.mOutcome == CreateOutcome::Exists) &&
                   reply.mRecord.mOwner == mContext.mOwner;
  LogEvent("step_submitted")
    .Field("step", aSubmission.mId)
    .Field("account", aSubmission.mAccount)
    .Field("model", aSubmission.mModel)
    .Field("items", static_cast<uint64_t>(aSubmission.mItems.size()))
    .Field("min_version", aSubmission.mMinVersion)
    .Field("outcome",
           own                                       ? "accepted"
           : reply.mOutcome == CreateOutcome::Exists ? "known"
           : mayBeStored                             ? "unknown"
                                                     : "refused")
    .Field("reason", reply.mReason)
    .Write();
  if (reply.mOutcome == CreateOutcome::Exists &&
      reply.mRecord.mAccount != aSubmission.mAccount) {
    co_return SubmitOutcome::Refused;
  }
  if (own) {
    const bool isNew = reply.mOutcome == CreateOutcome::Created || mayBeStored;
    if (!isNew && !mRunner.IsRunning(reply.mRecord)) {
      // Its results are in the log, since it was complete or ended long ago.
      memory.Reset();
      co_await AdoptFound(reply.mRecord);
    } else if (!mRunner.Find(record.mId)) {
      mRunner.Adopt(reply.mRecord,
                    std::move(aSubmission.mItems),
                    std::move(memory),
                    {},
                    {});
    }
    co_return SubmitOutcome::Accepted;
  }
  if (reply.mOutcome == CreateOutcome::Exists) {
    co_return SubmitOutcome::Accepted;
  }
  if (!mayBeStored) {
    co_return SubmitOutcome::Refused;
  }
  if (mUnknownCreates.insert(record.mId).second) {
    asio::co_spawn(mContext.mExecutor,
                   ResolveUnknownCreate(record.mId),
                   LogFailure("resolve_unknown_create"));
  }
  co_return SubmitOutcome::Unknown;
}

/// Runs a step whose creation had an unknown outcome, once its record is found
/// in the store.
Awaitable<void> StepService::ResolveUnknownCreate(std::string aId)
{
  const TimePoint deadline = mContext.mClock() + kResolveTimeout;
  asio::steady_timer timer(mContext.mExecutor);
  bool resolved = false;
  while (!resolved && mContext.mClock() < deadline) {
    timer.expires_after(kResolveInterval);
    co_await timer.async_wait(asio::use_awaitable);
    const auto record = co_await mContext.mStepStore.Load(aId);
    if (record.has_value() && record->has_value()) {
      resolved = true;
      if ((*record)->mOwner == mContext.mOwner &&
          !mRunner.IsRunning(**record)) {
        co_await AdoptFound(**record);
      }
    }
  }
  mUnknownCreates.erase(aId);
}

/// Runs a step if a claim to it whose outcome is unknown has made this process
/// its owner. The claim was made on the condition that the record has
/// aRevision, so it cannot take effect after a change.
Awaitable<void> StepService::ResolveUnknownClaim(std::string aId,
                                                 int64_t aRevision)
{
  const TimePoint deadline = mContext.mClock() + kResolveTimeout;
  asio::steady_timer timer(mContext.mExecutor);
  bool resolved = false;
  while (!resolved && mContext.mClock() < deadline) {
    timer.expires_after(kResolveInterval);
    co_await timer.async_wait(asio::use_awaitable);
    const auto record = co_await mContext.mStepStore.Load(aId);
    resolved = record.has_value() &&
               (!record->has_value() || (*record)->mRevision != aRevision);
    if (resolved && record->has_value() && !(*record)->mEnded &&
        (*record)->mOwner == mContext.mOwner && !mRunner.IsRunning(**record)) {
      LogEvent("claim_found").Field("step", aId).Write();
      co_await AdoptFound(**record);
    }
  }
  mUnknownClaims.erase(aId);
}

Awaitable<Result<bool>> StepService::End(std::string aId, std::string aAccount)
{
  for (unsigned attempt = 0; attempt < kMaxEndAttempts; ++attempt) {
    const auto record = co_await mContext.mStepStore.Load(aId);
    if (record.has_error()) {
      co_return record.error();
    }
    if (!record->has_value() || (*record)->mAccount != aAccount) {
      co_return StepNotFound(aId);
    }
    bool ended = (*record)->mEnded;
    if (!ended) {
      StepRecord change = **record;
      change.mEnded = true;
      const auto replaced =
        co_await mContext.mStepStore.Replace(std::move(change));
      if (replaced.has_error()) {
        co_return replaced.error();
      }
      ended = replaced->has_value();
    }
    if (ended) {
      mLoader.Cancel(aId);
      if (const OwnedStepPtr owned = mRunner.Find(aId)) {
        owned->mLogIsAhead = owned->mLogIsAhead ||
                             (!owned->IsComplete() &&
                              (*record)->mRevision != owned->mRecord.mRevision);
        mRunner.Stop(owned, false);
      }
      co_return true;
    }
  }
  co_return Error{ ErrorKind::Unavailable,
                   "the step's record keeps changing",
                   "retry" };
}

void StepService::LogMemoryShortage(std::string_view aEvent,
                                    const std::string& aId) const
{
  LogEvent(aEvent, LogLevel::Warning)
    .Field("step", aId)
    .Field("error", "the items of other steps take the memory of this host")
    .Field("used", static_cast<uint64_t>(mContext.mItemBudget->Used()))
    .Write();
}

} // namespace agatetide::steps
