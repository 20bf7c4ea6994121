#include "agatetide/steps/step_service.hpp"

#include "agatetide/base/concurrency.hpp"
#include "agatetide/base/event_log.hpp"
#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <utility>

/// The part of StepService that takes over steps which nobody runs.
namespace agatetide::steps {

namespace asio = boost::asio;

namespace {

/// The owner of a step that no process runs.
constexpr const char* kNoOwner = "";
/// Steps that are taken over at a time, within the rate of the store.
constexpr size_t kMaxTakeovers = 4;
/// Larger steps are loaded while others are taken over.
constexpr size_t kMaxAwaitedBytes = size_t{ 2 } << 20U;

} // namespace

/// Runs a step from its stored state in memory that is reserved. The record
/// must name this process as the owner. Returns whether the state could be
/// loaded.
Awaitable<bool> StepService::AdoptStored(StepRecord aRecord,
                                         MemoryReservation aMemory)
{
  if (mLoader.IsLoading(aRecord.mId)) {
    co_return true;
  }
  auto loaded = co_await mLoader.Load(aRecord, std::move(aMemory));
  if (loaded.has_error()) {
    LogEvent("step_not_adopted", LogLevel::Warning)
      .Field("step", aRecord.mId)
      .Field("error", FormatError(loaded.error()))
      .Write();
    mNeedsRecovery = true;
    co_return false;
  }
  if (!loaded->has_value()) {
    co_return true;
  }
  mRunner.StopOldCopy(aRecord);
  if (!mRunner.IsRunning(aRecord)) {
    mReader.Forget(aRecord.mId);
    LoadedStep step = std::move(**loaded);
    mRunner.Adopt(std::move(step.mRecord),
                  std::move(step.mItems),
                  std::move(step.mMemory),
                  std::move(step.mLog),
                  std::move(step.mPartials));
  }
  co_return true;
}

/// Runs a step of this process that was found in the store. Without memory for
/// it, the next Recover() hands it back.
Awaitable<void> StepService::AdoptFound(StepRecord aRecord)
{
  auto memory = mLoader.Reserve(aRecord);
  if (!memory) {
    mNeedsRecovery = true;
    co_return;
  }
  co_await AdoptStored(std::move(aRecord), std::move(*memory));
}

/// Makes this process the owner of a step; std::nullopt if another process was
/// faster. Errors: those of the store.
Awaitable<Result<std::optional<StepRecord>>> StepService::Claim(
  StepRecord aRecord)
{
  aRecord.mOwner = mContext.mOwner;
  auto claimed = co_await mContext.mStepStore.Replace(aRecord);
  const bool mayBeOwner =
    claimed.has_error() && claimed.error().mExecution != Execution::NotRun;
  if (mayBeOwner && mUnknownClaims.insert(aRecord.mId).second) {
    asio::co_spawn(mContext.mExecutor,
                   ResolveUnknownClaim(aRecord.mId, aRecord.mRevision),
                   LogFailure("resolve_unknown_claim"));
  }
  co_return claimed;
}

/// Reads the record of a step of this process again, since the known one may be
/// older than the end of the step; std::nullopt if it need not run here.
/// Errors: those of the store.
Awaitable<Result<std::optional<StepRecord>>> StepService::ReadOwnRecord(
  StepRecord aRecord)
{
  auto current = co_await mContext.mStepStore.Load(aRecord.mId);
  const bool isGone =
    current.has_value() && (!current->has_value() || (*current)->mEnded ||
                            (*current)->mOwner != mContext.mOwner);
  if (isGone) {
    current->reset();
  }
  co_return current;
}

/// Leaves a step for which this host has no memory to others: it is listed in
/// Declined(), and no process owns it any more. Returns false if that must be
/// retried.
Awaitable<bool> StepService::Decline(StepRecord aRecord)
{
  if (aRecord.mOwner == mContext.mOwner) {
    aRecord.mOwner = kNoOwner;
    const auto released = co_await mContext.mStepStore.Replace(aRecord);
    if (released.has_error()) {
      mNeedsRecovery = true;
      co_return false;
    }
    if (!released->has_value()) {
      co_return true;
    }
    aRecord = **released;
    LogEvent("step_handed_back").Field("step", aRecord.mId).Write();
  }
  if (mDeclineLog.Allow(mContext.mClock())) {
    LogMemoryShortage("step_declined", aRecord.mId);
  }
  mWanted.insert(aRecord.mId);
  const size_t bytes = StepStore::LoadedBytesLimit(aRecord);
  mDeclined.push_back({ std::move(aRecord), bytes });
  co_return false;
}

/// Whether a step of this process that is not in memory is complete: it may
/// only be gone from there because its retention has passed. Errors: those of
/// the store.
Awaitable<Result<bool>> StepService::IsCompleteInLog(StepRecord aRecord)
{
  const auto index = co_await mContext.mStepStore.LoadWholeIndex(aRecord);
  if (index.has_error()) {
    co_return index.error();
  }
  co_return index->ResultCount() >= aRecord.mItemCount;
}

/// Makes this process the owner of a step and runs it. Returns false if that
/// must be retried; true also if another process took the step over first.
Awaitable<bool> StepService::TakeOver(StepRecord aRecord)
{
  const std::string previousOwner = aRecord.mOwner;
  const bool own = previousOwner == mContext.mOwner;
  if (own) {
    const auto isComplete = co_await IsCompleteInLog(aRecord);
    if (isComplete.has_error() || *isComplete) {
      co_return isComplete.has_value();
    }
  }
  auto memory = mLoader.Reserve(aRecord);
  if (!memory) {
    co_return co_await Decline(std::move(aRecord));
  }
  Result<std::optional<StepRecord>> claimed = std::optional<StepRecord>();
  if (own) {
    claimed = co_await ReadOwnRecord(aRecord);
  } else {
    claimed = co_await Claim(aRecord);
  }
  if (claimed.has_error() || !claimed->has_value()) {
    co_return claimed.has_value();
  }
  aRecord = **claimed;
  mRunner.StopOldCopy(aRecord);
  LogEvent("step_taken_over")
    .Field("step", aRecord.mId)
    .Field("account", aRecord.mAccount)
    .Field("owner", previousOwner)
    .Write();
  if (StepStore::LoadedBytesLimit(aRecord) > kMaxAwaitedBytes) {
    // Other steps need not wait for it. If it fails, Recover() is due again.
    asio::co_spawn(mContext.mExecutor,
                   AdoptStored(std::move(aRecord), std::move(*memory)),
                   LogFailure("adopt_stored"));
    co_return true;
  }
  co_return co_await AdoptStored(std::move(aRecord), std::move(*memory));
}

/// Whether nobody runs a step although its record names this process as the
/// owner. A copy in memory may be of the time before another process owned it.
bool StepService::IsOrphan(const StepRecord& aRecord) const
{
  const OwnedStepPtr step = mRunner.Find(aRecord.mId);
  const bool isComplete = step && step->mStopped && step->IsComplete();
  return !isComplete && !mRunner.IsRunning(aRecord) &&
         !mLoader.IsLoading(aRecord.mId) &&
         !mSubmitting.contains(aRecord.mId) &&
         !mUnknownCreates.contains(aRecord.mId);
}

/// Takes over several steps at a time, small ones first, which need not wait
/// for large ones. Returns false if that must be retried.
Awaitable<bool> StepService::TakeOverAll(std::vector<StepRecord> aRecords)
{
  std::sort(aRecords.begin(),
            aRecords.end(),
            [](const StepRecord& aLeft, const StepRecord& aRight) {
              return std::pair(aLeft.mChunkCount, aLeft.mSubmittedMs) <
                     std::pair(aRight.mChunkCount, aRight.mSubmittedMs);
            });
  bool complete = true;
  const std::function<Awaitable<void>(size_t)> takeOver =
    [&](size_t aNumber) -> Awaitable<void> {
    const bool taken = co_await TakeOver(aRecords[aNumber]);
    complete = complete && taken;
  };
  co_await ForEachConcurrently(
    mContext.mExecutor, aRecords.size(), kMaxTakeovers, takeOver);
  co_return complete;
}

/// Deletes what is stored of a step that ended long ago. What cannot be deleted
/// now is deleted by a later call.
Awaitable<void> StepService::DeleteExpired(StepRecord aRecord)
{
  const auto index = co_await mContext.mStepStore.LoadWholeIndex(aRecord);
  if (index.has_value()) {
    co_await mContext.mStepStore.Delete(aRecord, index->EntryCount());
  }
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
  const int64_t now = mContext.mWallClock();
  if (aDeleteExpired) {
    co_await mContext.mStepStore.DeleteAbandonedItems(
      now - mOptions.mAbandonedItemsRetention.count());
  }
  mNeedsRecovery = false;
  mDeclined.clear();
  mDemand.Update(*records);
  std::vector<StepRecord> orphans;
  std::set<std::string> withoutOwner;
  for (const StepRecord& record : *records) {
    if (record.mEnded) {
      if (aDeleteExpired &&
          now - record.mSubmittedMs > mOptions.mRetention.count()) {
        co_await DeleteExpired(record);
      }
      continue;
    }
    if (record.mOwner == mContext.mOwner) {
      if (IsOrphan(record)) {
        orphans.push_back(record);
      }
    } else if (!aLiveOwners.contains(record.mOwner)) {
      withoutOwner.insert(record.mId);
      if (aIsResponsible(record)) {
        orphans.push_back(record);
      }
    }
  }
  std::erase_if(mWanted, [&](const std::string& aId) {
    return !withoutOwner.contains(aId);
  });
  co_return co_await TakeOverAll(std::move(orphans));
}

} // namespace agatetide::steps
