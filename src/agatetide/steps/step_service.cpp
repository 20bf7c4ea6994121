#include "agatetide/steps/step_service.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

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
      co_await AdoptStored(reply.mRecord);
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
    asio::co_spawn(
      mContext.mExecutor, ResolveUnknownCreate(record.mId), asio::detached);
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
        co_await AdoptStored(**record);
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
      co_await AdoptStored(**record);
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

/// Runs a step from its stored state. The record must name this process as the
/// owner. Returns whether the state could be loaded.
Awaitable<bool> StepService::AdoptStored(StepRecord aRecord)
{
  MemoryReservation memory(mContext.mItemBudget);
  if (!memory.Grow(StepStore::LoadedBytesLimit(aRecord))) {
    LogMemoryShortage("step_not_adopted", aRecord.mId);
    mNeedsRecovery = true;
    co_return false;
  }
  auto items = co_await mContext.mStepStore.LoadItems(aRecord);
  auto log = co_await mContext.mStepStore.ReadWholeLog(aRecord);
  if (items.has_error() || log.has_error()) {
    LogEvent("step_not_adopted", LogLevel::Warning)
      .Field("step", aRecord.mId)
      .Field("error",
             FormatError(items.has_error() ? items.error() : log.error()))
      .Write();
    mNeedsRecovery = true;
    co_return false;
  }
  const size_t bytes = MemoryBytes(*items);
  if (!memory.GrowTo(bytes)) {
    LogMemoryShortage("step_not_adopted", aRecord.mId);
    mNeedsRecovery = true;
    co_return false;
  }
  memory.ShrinkTo(bytes);
  // An error is ignored, since without partial samples the items are only
  // generated from the beginning.
  auto partials = co_await mContext.mStepStore.LoadPartials(aRecord.mId);
  mRunner.StopOldCopy(aRecord);
  if (!mRunner.IsRunning(aRecord)) {
    mReader.Forget(aRecord.mId);
    mRunner.Adopt(std::move(aRecord),
                  std::move(*items),
                  std::move(memory),
                  std::move(*log),
                  partials.has_value() ? std::move(*partials)
                                       : std::vector<PartialSample>());
  }
  co_return true;
}

/// Makes this process the owner of a step and runs it. Returns false if that
/// must be retried; true also if another process took the step over first.
Awaitable<bool> StepService::TakeOver(StepRecord aRecord)
{
  const std::string previousOwner = aRecord.mOwner;
  if (previousOwner != mContext.mOwner) {
    aRecord.mOwner = mContext.mOwner;
    const auto claimed = co_await mContext.mStepStore.Replace(aRecord);
    if (claimed.has_error()) {
      const bool mayBeOwner = claimed.error().mExecution != Execution::NotRun;
      if (mayBeOwner && mUnknownClaims.insert(aRecord.mId).second) {
        asio::co_spawn(mContext.mExecutor,
                       ResolveUnknownClaim(aRecord.mId, aRecord.mRevision),
                       asio::detached);
      }
      co_return false;
    }
    if (!claimed->has_value()) {
      co_return true;
    }
    aRecord = **claimed;
  } else {
    // The record may be older than the end of the step.
    const auto current = co_await mContext.mStepStore.Load(aRecord.mId);
    if (current.has_error()) {
      co_return false;
    }
    if (!current->has_value() || (*current)->mEnded ||
        (*current)->mOwner != mContext.mOwner) {
      co_return true;
    }
    aRecord = **current;
  }
  mRunner.StopOldCopy(aRecord);
  LogEvent("step_taken_over")
    .Field("step", aRecord.mId)
    .Field("account", aRecord.mAccount)
    .Field("owner", previousOwner)
    .Write();
  co_return co_await AdoptStored(std::move(aRecord));
}

/// Whether nobody runs a step although its record names this process as the
/// owner. A copy in memory may be of the time before another process owned it.
bool StepService::IsOrphan(const StepRecord& aRecord) const
{
  const OwnedStepPtr step = mRunner.Find(aRecord.mId);
  const bool isComplete = step && step->mStopped && step->IsComplete();
  return !isComplete && !mRunner.IsRunning(aRecord) &&
         !mUnknownCreates.contains(aRecord.mId);
}

Awaitable<bool> StepService::Recover(
  std::set<std::string> aLiveOwners,
  std::function<bool(const StepRecord&)> aIsResponsible,
  bool aDeleteExpired)
{
  const auto records = co_await mContext.mStepStore.List();
  if (records.has_error()) {
    co_return false;
  }
  if (aDeleteExpired) {
    // What cannot be deleted now is deleted by a later call.
    co_await mContext.mStepStore.DeleteAbandonedItems(
      mContext.mWallClock() - mOptions.mAbandonedItemsRetention.count());
  }
  bool complete = true;
  mNeedsRecovery = false;
  mDemand.Update(*records);
  for (const StepRecord& record : *records) {
    const int64_t age = mContext.mWallClock() - record.mSubmittedMs;
    if (aDeleteExpired && record.mEnded && age > mOptions.mRetention.count()) {
      const auto index = co_await mContext.mStepStore.LoadWholeIndex(record);
      if (index.has_value()) {
        co_await mContext.mStepStore.Delete(record, index->EntryCount());
      }
      continue;
    }
    const bool own = record.mOwner == mContext.mOwner;
    const bool orphan =
      own ? IsOrphan(record)
          : !aLiveOwners.contains(record.mOwner) && aIsResponsible(record);
    if (record.mEnded || !orphan) {
      continue;
    }
    if (own) {
      // The step may only be gone from memory because it was complete and its
      // retention has passed; its results tell whether it is.
      const auto index = co_await mContext.mStepStore.LoadWholeIndex(record);
      if (index.has_error() || index->ResultCount() >= record.mItemCount) {
        complete = complete && index.has_value();
        continue;
      }
    }
    const bool taken = co_await TakeOver(record);
    complete = complete && taken;
  }
  co_return complete;
}

} // namespace agatetide::steps
