#include "agatetide/steps/step_runner.hpp"

#include "agatetide/base/event_log.hpp"
#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <numeric>

namespace agatetide::steps {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kReviewInterval{ 100 };
/// The record of a step is read again after this time without an append, so
/// that the runner soon notices that the step was ended or taken over.
constexpr std::chrono::milliseconds kRecordCheckInterval{ 900 };
/// Partial samples are stored this often, which bounds the generation that is
/// repeated after a takeover.
constexpr std::chrono::milliseconds kCheckpointInterval{ 1000 };
/// The partial samples of a step fit into one value of the store, which takes
/// up to 1 MiB of the text that encodes it. Those that do not fit are left out.
constexpr size_t kMaxCheckpointBytes = size_t{ 700 } << 10U;
/// Limits the copies of partial samples that wait for the store.
constexpr size_t kMaxRunningCheckpoints = 4;
/// What the encoding of partial samples adds to each event.
constexpr size_t kEventOverheadBytes = 8;
/// Results of a step are batched into one log entry for up to this long.
constexpr std::chrono::milliseconds kMaxCommitDelay{ 300 };
constexpr std::chrono::milliseconds kCommitRetryDelay{ 150 };
/// The store usually answers an append within this time. After it, results are
/// read from the store, since other hosts may have read the new entry there.
constexpr std::chrono::milliseconds kUsualAppendTime{ 500 };
/// What the encoding of a result adds to its texts, at most.
constexpr size_t kResultOverheadBytes = 64;
/// A stopped step stays in memory for this long, so that its results can
/// still be read without the store.
constexpr std::chrono::seconds kStoppedRetention{ 15 };
/// Items of stopped steps that are larger do not stay in memory.
constexpr size_t kMaxRetainedItemBytes = size_t{ 2 } << 20U;

/// Reserves room for further elements, and more when the vector grows, so that
/// adding them cannot fail.
template<class T>
void ReserveMore(std::vector<T>& aVector, size_t aCount)
{
  const size_t needed = aVector.size() + aCount;
  if (aVector.capacity() < needed) {
    aVector.reserve(std::max(needed, 2 * aVector.capacity()));
  }
}

int64_t InMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<Milliseconds>(aDuration).count();
}

/// Long items first, since the longest one decides when the step is complete.
std::vector<size_t> StartOrder(const std::vector<StepItem>& aItems)
{
  std::vector<size_t> order(aItems.size());
  std::iota(order.begin(), order.end(), size_t{ 0 });
  std::stable_sort(
    order.begin(), order.end(), [&](size_t aLeft, size_t aRight) {
      return aItems[aLeft].mExpectedTokens > aItems[aRight].mExpectedTokens;
    });
  return order;
}

size_t EncodedBytes(const ItemResult& aResult)
{
  return aResult.mId.size() + aResult.mText.size() + aResult.mScore.size() +
         aResult.mVersions.size() * sizeof(int64_t) + kResultOverheadBytes;
}

/// The number of results that the next log entry holds: as many as fit, and one
/// at least, which does (SampleText::kMaxBytes).
size_t EntryLength(std::span<const ItemResult> aPending)
{
  size_t bytes = 0;
  size_t count = 0;
  while (count < aPending.size()) {
    bytes += EncodedBytes(aPending[count]);
    if (count > 0 && bytes > kMaxEntryBytes) {
      break;
    }
    ++count;
  }
  return count;
}

} // namespace

void ItemRun::ClearText()
{
  mText.Clear();
  mVersions.clear();
  mSoftwareVersion.clear();
}

bool OwnedStep::HasDesiredGroups() const
{
  std::map<std::string_view, size_t> missing;
  for (size_t i = 0; i < mItems.size(); ++i) {
    missing[mItems[i].mGroup] +=
      mRuns[i].mState == ItemRun::State::Done ? 0 : 1;
  }
  const auto complete =
    std::count_if(missing.begin(), missing.end(), [](const auto& aGroup) {
      return aGroup.second == 0;
    });
  return static_cast<size_t>(complete) >=
         std::min<size_t>(mRecord.mDesiredGroups, missing.size());
}

void OwnedStep::DropBodies()
{
  for (StepItem& item : mItems) {
    item.mBody.Reset();
    if (item.mScoring) {
      item.mScoring->mBody.Reset();
    }
  }
  mBodiesDropped = true;
}

StepRunner::StepRunner(StepContext aContext)
  : mContext(std::move(aContext))
  , mSpeeds(mContext.mClock)
{
}

void StepRunner::Start()
{
  SpawnSupervised(
    mContext.mExecutor, "review_steps", [this] { return ReviewLoop(); });
}

OwnedStepPtr StepRunner::Find(std::string_view aId) const
{
  const auto found = mSteps.find(aId);
  return found == mSteps.end() ? nullptr : found->second;
}

OwnedStepPtr StepRunner::Adopt(StepRecord aRecord,
                               std::vector<StepItem> aItems,
                               MemoryReservation aItemMemory,
                               LogPart aLog,
                               std::vector<PartialSample> aPartials)
{
  auto step = std::make_shared<OwnedStep>();
  step->mRecord = std::move(aRecord);
  step->mItems = std::move(aItems);
  step->mItemMemory = CountBodies(step->mItems, std::move(aItemMemory));
  step->mStartOrder = StartOrder(step->mItems);
  step->mRuns.resize(step->mItems.size());
  RecordGroups(*step);
  step->mCommittedResults = std::move(aLog.mResults);
  step->mLogIndex.Add(aLog.mResultCounts);
  step->mAdoptedAt = mContext.mClock();
  step->mRecordCheckedAt = step->mAdoptedAt;
  step->mCommitTimer = std::make_unique<asio::steady_timer>(mContext.mExecutor);
  std::set<std::string_view> committed;
  for (const ItemResult& result : step->mCommittedResults) {
    committed.insert(result.mId);
  }
  std::map<std::string_view, PartialSample*> partials;
  for (PartialSample& partial : aPartials) {
    partials[partial.mId] = &partial;
  }
  for (size_t i = 0; i < step->mItems.size(); ++i) {
    const std::string& id = step->mItems[i].mId;
    step->mRuns[i].mText = SampleText(mContext.mTextBudget);
    if (committed.contains(id)) {
      step->mRuns[i].mState = ItemRun::State::Done;
    } else if (const auto partial = partials.find(id);
               partial != partials.end()) {
      ItemRun& run = step->mRuns[i];
      run.mText =
        SampleText(std::move(partial->second->mEvents), mContext.mTextBudget);
      run.mVersions = std::move(partial->second->mVersions);
      run.mSoftwareVersion = std::move(partial->second->mSoftwareVersion);
      run.mWaitingSince = step->mAdoptedAt;
    }
  }
  step->mCheckpointedAt = mContext.mClock();
  mSteps[step->mRecord.mId] = step;
  if (step->IsComplete() || step->mRecord.mEnded) {
    Stop(step, false);
  } else {
    SpawnSupervised(mContext.mExecutor, "commit_results", [this, step] {
      return CommitLoop(step);
    });
    StartWaitingItems();
  }
  return step;
}

void StepRunner::Stop(const OwnedStepPtr& aStep, bool aSuperseded)
{
  if (aStep->mStopped) {
    return;
  }
  aStep->mStopped = true;
  aStep->mSuperseded = aSuperseded;
  aStep->mStoppedAt = mContext.mClock();
  LogEvent("step_stopped")
    .Field("step", aStep->mRecord.mId)
    .Field("reason",
           aSuperseded           ? "superseded"
           : aStep->IsComplete() ? "whole"
                                 : "ended")
    .Field("listed", static_cast<uint64_t>(aStep->mCommittedResults.size()))
    .Field("items", static_cast<uint64_t>(aStep->mItems.size()))
    .Field("waiting",
           static_cast<uint64_t>(std::count_if(aStep->mRuns.begin(),
                                               aStep->mRuns.end(),
                                               [](const ItemRun& aRun) {
                                                 return aRun.mState ==
                                                        ItemRun::State::Waiting;
                                               })))
    .Write();
  for (ItemRun& run : aStep->mRuns) {
    if (run.mCancel) {
      (*run.mCancel)();
    }
    if (run.mScoringCaller) {
      run.mScoringCaller->MarkDisconnected();
    }
  }
  if (SizeInBytes(aStep->mItems) > kMaxRetainedItemBytes) {
    aStep->DropBodies();
  }
  aStep->mCommitTimer->cancel();
  WakeWaiters(*aStep);
}

void StepRunner::StopOldCopy(const StepRecord& aRecord)
{
  const OwnedStepPtr step = Find(aRecord.mId);
  if (step && step->mRecord.mRevision < aRecord.mRevision) {
    Stop(step, true);
  }
}

void StepRunner::WakeWaiters(OwnedStep& aStep)
{
  for (asio::steady_timer* waiter : aStep.mWaiters) {
    waiter->cancel();
  }
}

Awaitable<void> StepRunner::AwaitResults(OwnedStepPtr aStep,
                                         size_t aKnownCount,
                                         Milliseconds aMaxWait)
{
  const TimePoint deadline = mContext.mClock() + aMaxWait;
  asio::steady_timer timer(mContext.mExecutor);
  const auto waiter = aStep->mWaiters.insert(aStep->mWaiters.end(), &timer);
  while (aStep->mCommittedResults.size() <= aKnownCount && !aStep->mStopped &&
         !aStep->MayLackResults(mContext.mClock()) &&
         mContext.mClock() < deadline) {
    const bool sent = aStep->mAppendState == AppendState::Sent;
    timer.expires_at(sent ? std::min(deadline, aStep->mAppendOverdueAt)
                          : deadline);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  aStep->mWaiters.erase(waiter);
}

Awaitable<void> StepRunner::ReviewLoop()
{
  asio::steady_timer timer(mContext.mExecutor);
  for (;;) {
    timer.expires_after(kReviewInterval);
    co_await timer.async_wait(asio::use_awaitable);
    const auto steps = mSteps;
    for (const auto& [id, step] : steps) {
      if (step->mStopped) {
        continue;
      }
      AbandonExpiredItems(step);
      MoveStragglers(step);
      if (mContext.mClock() - step->mRecordCheckedAt > kRecordCheckInterval) {
        step->mRecordCheckedAt = mContext.mClock();
        asio::co_spawn(
          mContext.mExecutor, CheckRecord(step), LogFailure("check_record"));
      }
    }
    StartDueCheckpoints();
    RemoveStoppedSteps();
    StartWaitingItems();
  }
}

void StepRunner::RemoveStoppedSteps()
{
  std::erase_if(mSteps, [&](const auto& aItem) {
    const OwnedStep& step = *aItem.second;
    return step.mStopped && step.mWaiters.empty() &&
           mContext.mClock() - step.mStoppedAt > kStoppedRetention;
  });
}

/// Checkpoints steps, those first that have waited longest.
void StepRunner::StartDueCheckpoints()
{
  const TimePoint now = mContext.mClock();
  std::vector<OwnedStepPtr> due;
  for (const auto& [id, step] : mSteps) {
    if (!step->mStopped && now - step->mCheckpointedAt > kCheckpointInterval) {
      due.push_back(step);
    }
  }
  std::sort(due.begin(), due.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft->mCheckpointedAt < aRight->mCheckpointedAt;
  });
  due.resize(
    std::min(due.size(), kMaxRunningCheckpoints - mRunningCheckpoints));
  for (const OwnedStepPtr& step : due) {
    step->mCheckpointedAt = now;
    asio::co_spawn(
      mContext.mExecutor, RunCheckpoint(step), LogFailure("run_checkpoint"));
  }
}

Awaitable<void> StepRunner::RunCheckpoint(OwnedStepPtr aStep)
{
  ++mRunningCheckpoints;
  co_await CheckpointStep(std::move(aStep));
  --mRunningCheckpoints;
}

Awaitable<void> StepRunner::Checkpoint()
{
  const auto steps = mSteps;
  for (const auto& [id, step] : steps) {
    if (!step->mStopped) {
      co_await CheckpointStep(step);
    }
  }
}

Awaitable<void> StepRunner::CheckpointStep(OwnedStepPtr aStep)
{
  std::vector<PartialSample> samples;
  size_t events = 0;
  size_t bytes = 0;
  for (size_t i = 0; i < aStep->mItems.size(); ++i) {
    const ItemRun& run = aStep->mRuns[i];
    const size_t memory =
      run.mText.Bytes() + run.mText.Events().size() * kEventOverheadBytes;
    if (run.mState != ItemRun::State::Done && !run.mText.Events().empty() &&
        bytes + memory <= kMaxCheckpointBytes) {
      bytes += memory;
      samples.push_back({ aStep->mItems[i].mId,
                          run.mText.Events(),
                          run.mVersions,
                          run.mSoftwareVersion });
      events += run.mText.Events().size();
    }
  }
  if (events == 0 || events == aStep->mCheckpointEventCount) {
    co_return;
  }
  aStep->mCheckpointEventCount = events;
  const auto stored =
    co_await mContext.mStepStore.StorePartials(aStep->mRecord.mId, samples);
  if (stored.has_error()) {
    LogEvent("checkpoint_failed", LogLevel::Warning)
      .Field("step", aStep->mRecord.mId)
      .Field("error", FormatError(stored.error()))
      .Write();
  }
}

/// Reads the record from the store, and stops the step if it was ended, deleted
/// or taken over.
Awaitable<void> StepRunner::CheckRecord(OwnedStepPtr aStep)
{
  const int64_t revision = aStep->mRecord.mRevision;
  const auto record = co_await mContext.mStepStore.Load(aStep->mRecord.mId);
  if (record.has_error() || aStep->mStopped ||
      aStep->mRecord.mRevision != revision) {
    co_return;
  }
  if (!record->has_value() || (*record)->mOwner != mContext.mOwner) {
    Stop(aStep, true);
  } else if ((*record)->mEnded) {
    // The owner's name does not tell whether another process owned the step
    // for a time, and appended results.
    const auto log = co_await mContext.mStepStore.ReadLog(
      aStep->mRecord.mId, aStep->mLogIndex.EntryCount());
    aStep->mLogIsAhead = log.has_error() || log->EntryCount() > 0;
    Stop(aStep, false);
  }
}

const fleet::Route* StepRunner::FindRoute(const OwnedStep& aStep) const
{
  const auto& config = mContext.mView.Config();
  return config
           ? config->FindRoute(aStep.mRecord.mHttpHost, aStep.mRecord.mPath)
           : nullptr;
}

/// Abandons waiting items once the route's item lifetime has passed, so that
/// the step completes. Running streams are canceled; their items are
/// abandoned when a later review finds them waiting.
void StepRunner::AbandonExpiredItems(const OwnedStepPtr& aStep)
{
  const fleet::Route* route = FindRoute(*aStep);
  if (route == nullptr || mContext.mWallClock() - aStep->mRecord.mSubmittedMs <
                            route->mItemLifetime.count()) {
    return;
  }
  for (size_t i = 0; i < aStep->mRuns.size(); ++i) {
    ItemRun& run = aStep->mRuns[i];
    if (run.mState == ItemRun::State::Waiting) {
      FinishItem(aStep, i, ItemState::Abandoned, {});
    } else if (run.mCancel) {
      (*run.mCancel)();
    }
  }
}

void StepRunner::FinishItem(const OwnedStepPtr& aStep,
                            size_t aIndex,
                            ItemState aState,
                            std::string aScore)
{
  ItemRun& run = aStep->mRuns[aIndex];
  if (run.mState == ItemRun::State::Done) {
    return;
  }
  aStep->SetState(run, ItemRun::State::Done);
  const TimePoint now = mContext.mClock();
  LogEvent("sample")
    .Field("step", aStep->mRecord.mId)
    .Field("item", aStep->mItems[aIndex].mId)
    .Field("state", aState == ItemState::Completed ? "completed" : "dead")
    .Field("replica", run.mReplicaId)
    .Field("expected_tokens", aStep->mItems[aIndex].mExpectedTokens)
    .Field("events", static_cast<uint64_t>(run.mText.Events().size()))
    .Field("streams", run.mStreamCount)
    .Field("waited_ms",
           InMilliseconds(run.mFirstStreamStart - aStep->mAdoptedAt))
    .Field("text_ms", InMilliseconds(run.mTextEnd - run.mFirstStreamStart))
    .Field("score_ms", InMilliseconds(now - run.mTextEnd))
    .Write();
  ItemResult result;
  result.mId = aStep->mItems[aIndex].mId;
  result.mState = aState;
  if (aState == ItemState::Completed) {
    mEventLength.Observe(aStep->mItems[aIndex].mExpectedTokens,
                         run.mText.Events().size());
    result.mText = run.mText.Joined();
    result.mVersions = run.mVersions;
    result.mScore = std::move(aScore);
  }
  run.mText = {};
  aStep->mPendingResults.push_back(std::move(result));
  aStep->mCommitTimer->cancel();
}

/// Appends the last entry of aIndex to the log, again until its outcome is
/// known or the step stops.
Awaitable<AppendOutcome> StepRunner::AppendUntilSettled(OwnedStepPtr aStep,
                                                        LogIndex aIndex,
                                                        std::string aResults)
{
  asio::steady_timer timer(mContext.mExecutor);
  while (!aStep->mStopped) {
    if (aStep->mAppendState == AppendState::None) {
      aStep->mAppendState = AppendState::Sent;
      aStep->mAppendOverdueAt = mContext.mClock() + kUsualAppendTime;
      WakeWaiters(*aStep);
    }
    const AppendOutcome outcome =
      co_await mContext.mStepStore.Append(aStep->mRecord, aIndex, aResults);
    if (outcome == AppendOutcome::Appended ||
        outcome == AppendOutcome::Superseded) {
      aStep->mAppendState = AppendState::None;
      co_return outcome;
    }
    if (outcome == AppendOutcome::Unknown &&
        aStep->mAppendState != AppendState::Unknown) {
      LogEvent("append_unknown", LogLevel::Warning)
        .Field("step", aStep->mRecord.mId)
        .Field("entry", aStep->mLogIndex.EntryCount())
        .Field("listed", static_cast<uint64_t>(aStep->mCommittedResults.size()))
        .Write();
      aStep->mAppendState = AppendState::Unknown;
      WakeWaiters(*aStep);
    }
    if (aStep->mAppendState == AppendState::Sent) {
      aStep->mAppendState = AppendState::None;
    }
    timer.expires_after(kCommitRetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return AppendOutcome::Unknown;
}

/// Appends pending results to the log, one entry at a time.
Awaitable<void> StepRunner::CommitLoop(OwnedStepPtr aStep)
{
  while (!aStep->mStopped) {
    const TimePoint due = aStep->mCommittedAt + kMaxCommitDelay;
    const bool mustWait =
      aStep->mPendingResults.empty() ||
      (mContext.mClock() < due && !aStep->HasDesiredGroups());
    if (mustWait) {
      aStep->mCommitTimer->expires_at(
        aStep->mPendingResults.empty() ? TimePoint::max() : due);
      boost::system::error_code ignored;
      co_await aStep->mCommitTimer->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
      continue;
    }
    const auto batchEnd =
      aStep->mPendingResults.begin() +
      static_cast<std::ptrdiff_t>(EntryLength(aStep->mPendingResults));
    std::vector<ItemResult> batch(aStep->mPendingResults.begin(), batchEnd);
    // Nothing may fail between the append and the list of what was appended.
    ReserveMore(aStep->mCommittedResults, batch.size());
    std::string encoded = EncodeResults(batch);
    LogIndex index = aStep->mLogIndex;
    index.Add(batch.size());
    const AppendOutcome outcome =
      co_await AppendUntilSettled(aStep, index, std::move(encoded));
    if (outcome == AppendOutcome::Superseded) {
      Stop(aStep, true);
    }
    if (outcome != AppendOutcome::Appended) {
      co_return;
    }
    aStep->mRecordCheckedAt = mContext.mClock();
    aStep->mLogIndex = std::move(index);
    aStep->mPendingResults.erase(aStep->mPendingResults.begin(),
                                 aStep->mPendingResults.begin() +
                                   static_cast<std::ptrdiff_t>(batch.size()));
    for (ItemResult& result : batch) {
      aStep->mCommittedResults.push_back(std::move(result));
    }
    WakeWaiters(*aStep);
    if (aStep->IsComplete()) {
      Stop(aStep, false);
      co_return;
    }
    aStep->mCommittedAt = mContext.mClock();
  }
}

} // namespace agatetide::steps
