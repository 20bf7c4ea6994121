#include "agatetide/steps/step_runner.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <numeric>

namespace agatetide::steps {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kReviewInterval{ 100 };
/// A record that was not confirmed for this long is read again, so that the
/// end of a step is noticed soon.
constexpr std::chrono::milliseconds kConfirmInterval{ 900 };
/// Partial samples are kept this often, so that a take-over repeats little.
constexpr std::chrono::milliseconds kCheckpointInterval{ 1000 };
/// Longest pause between two entries of a step's log.
constexpr std::chrono::milliseconds kCommitPause{ 300 };
constexpr std::chrono::milliseconds kCommitRetryPause{ 150 };
/// Bytes of results in one entry of the log.
constexpr size_t kEntryBytes = size_t{ 600 } << 10U;
/// Results of a stopped step are kept in memory for this long.
constexpr std::chrono::seconds kStoppedRetention{ 15 };

int64_t InMilliseconds(Duration aTime)
{
  return std::chrono::duration_cast<Milliseconds>(aTime).count();
}

/// Long items first, since the longest one decides when the step is whole.
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

} // namespace

bool OwnedStep::CompletesGroups() const
{
  std::map<std::string_view, size_t> missing;
  for (size_t i = 0; i < mItems.size(); ++i) {
    missing[mItems[i].mGroup] +=
      mWork[i].mState == ItemWork::State::Done ? 0 : 1;
  }
  const auto whole =
    std::count_if(missing.begin(), missing.end(), [](const auto& aItem) {
      return aItem.second == 0;
    });
  return static_cast<size_t>(whole) >=
         std::min<size_t>(mRecord.mDesiredGroups, missing.size());
}

StepRunner::StepRunner(StepContext aContext)
  : mContext(std::move(aContext))
  , mSpeeds(mContext.mClock)
{
}

void StepRunner::Start()
{
  asio::co_spawn(mContext.mExecutor, Review(), asio::detached);
}

OwnedStepPtr StepRunner::Find(std::string_view aId) const
{
  const auto found = mSteps.find(aId);
  return found == mSteps.end() ? nullptr : found->second;
}

OwnedStepPtr StepRunner::Adopt(StepRecord aRecord,
                               std::vector<StepItem> aItems,
                               LogPart aLog,
                               std::vector<PartialSample> aPartials)
{
  auto step = std::make_shared<OwnedStep>();
  step->mRecord = std::move(aRecord);
  step->mItems = std::move(aItems);
  step->mOrder = StartOrder(step->mItems);
  step->mWork.resize(step->mItems.size());
  step->mListed = std::move(aLog.mResults);
  step->mNextEntry = aLog.mEntries;
  step->mAdopted = mContext.mClock();
  step->mConfirmed = step->mAdopted;
  step->mCommitTimer = std::make_unique<asio::steady_timer>(mContext.mExecutor);
  std::set<std::string_view> listed;
  for (const ItemResult& result : step->mListed) {
    listed.insert(result.mId);
  }
  std::map<std::string_view, PartialSample*> partials;
  for (PartialSample& partial : aPartials) {
    partials[partial.mId] = &partial;
  }
  for (size_t i = 0; i < step->mItems.size(); ++i) {
    const std::string& id = step->mItems[i].mId;
    if (listed.contains(id)) {
      step->mWork[i].mState = ItemWork::State::Done;
    } else if (const auto partial = partials.find(id);
               partial != partials.end()) {
      step->mWork[i].mText = SampleText(std::move(partial->second->mEvents));
      step->mWork[i].mVersions = std::move(partial->second->mVersions);
    }
  }
  step->mCheckpoint = mContext.mClock();
  mSteps[step->mRecord.mId] = step;
  if (step->Whole() || step->mRecord.mEnded) {
    Stop(step, false);
  } else {
    asio::co_spawn(mContext.mExecutor, Commit(step), asio::detached);
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
  Event("step_stopped")
    .Field("step", aStep->mRecord.mId)
    .Field("reason",
           aSuperseded      ? "superseded"
           : aStep->Whole() ? "whole"
                            : "ended")
    .Field("listed", static_cast<uint64_t>(aStep->mListed.size()))
    .Field("items", static_cast<uint64_t>(aStep->mItems.size()))
    .Write();
  for (ItemWork& work : aStep->mWork) {
    if (work.mAbort) {
      (*work.mAbort)();
    }
  }
  aStep->mCommitTimer->cancel();
  Wake(*aStep);
}

void StepRunner::Wake(OwnedStep& aStep)
{
  for (asio::steady_timer* waiter : aStep.mWaiters) {
    waiter->cancel();
  }
}

Awaitable<void> StepRunner::AwaitResults(OwnedStepPtr aStep,
                                         size_t aKnown,
                                         Milliseconds aWait)
{
  const TimePoint limit = mContext.mClock() + aWait;
  asio::steady_timer timer(mContext.mExecutor);
  const auto place = aStep->mWaiters.insert(aStep->mWaiters.end(), &timer);
  while (aStep->mListed.size() <= aKnown && !aStep->mStopped &&
         mContext.mClock() < limit) {
    timer.expires_after(limit - mContext.mClock());
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  aStep->mWaiters.erase(place);
}

Awaitable<void> StepRunner::Review()
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
      GiveUpOld(step);
      MoveStragglers(step);
      if (mContext.mClock() - step->mConfirmed > kConfirmInterval) {
        step->mConfirmed = mContext.mClock();
        asio::co_spawn(mContext.mExecutor, Confirm(step), asio::detached);
      }
      if (mContext.mClock() - step->mCheckpoint > kCheckpointInterval) {
        step->mCheckpoint = mContext.mClock();
        asio::co_spawn(
          mContext.mExecutor, CheckpointStep(step), asio::detached);
      }
    }
    ForgetStopped();
    StartWaitingItems();
  }
}

void StepRunner::ForgetStopped()
{
  std::erase_if(mSteps, [&](const auto& aItem) {
    const OwnedStep& step = *aItem.second;
    return step.mStopped && step.mWaiters.empty() &&
           mContext.mClock() - step.mStoppedAt > kStoppedRetention;
  });
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
  for (size_t i = 0; i < aStep->mItems.size(); ++i) {
    const ItemWork& work = aStep->mWork[i];
    if (work.mState != ItemWork::State::Done && !work.mText.Events().empty()) {
      samples.push_back(
        { aStep->mItems[i].mId, work.mText.Events(), work.mVersions });
      events += work.mText.Events().size();
    }
  }
  if (events == 0 || events == aStep->mCheckpointEvents) {
    co_return;
  }
  aStep->mCheckpointEvents = events;
  const auto stored =
    co_await mContext.mStore.StorePartials(aStep->mRecord.mId, samples);
  if (stored.has_error()) {
    Event("checkpoint_failed", LogLevel::Warning)
      .Field("step", aStep->mRecord.mId)
      .Field("error", FormatError(stored.error()))
      .Write();
  }
}

/// Reads the record again, to notice that the step was ended or taken over.
Awaitable<void> StepRunner::Confirm(OwnedStepPtr aStep)
{
  const int64_t revision = aStep->mRecord.mRevision;
  const auto record = co_await mContext.mStore.Load(aStep->mRecord.mId);
  if (record.has_error() || aStep->mStopped ||
      aStep->mRecord.mRevision != revision) {
    co_return;
  }
  if (!record->has_value() || (*record)->mOwner != mContext.mOwner) {
    Stop(aStep, true);
  } else if ((*record)->mEnded) {
    Stop(aStep, false);
  }
}

const fleet::Route* StepRunner::RouteOf(const OwnedStep& aStep) const
{
  const auto& config = mContext.mView.Config();
  return config ? config->FindRoute(aStep.mRecord.mHost, aStep.mRecord.mPath)
                : nullptr;
}

/// Items that may be given up are listed as dead, so that the step ends.
void StepRunner::GiveUpOld(const OwnedStepPtr& aStep)
{
  const fleet::Route* route = RouteOf(*aStep);
  if (route == nullptr || mContext.mWallClock() - aStep->mRecord.mSubmitted <
                            route->mRetention.count()) {
    return;
  }
  for (size_t i = 0; i < aStep->mWork.size(); ++i) {
    ItemWork& work = aStep->mWork[i];
    if (work.mState == ItemWork::State::Waiting) {
      Finish(aStep, i, ItemState::Dead, {});
    } else if (work.mAbort) {
      (*work.mAbort)();
    }
  }
}

void StepRunner::Finish(const OwnedStepPtr& aStep,
                        size_t aIndex,
                        ItemState aState,
                        std::string aScore)
{
  ItemWork& work = aStep->mWork[aIndex];
  if (work.mState == ItemWork::State::Done) {
    return;
  }
  work.mState = ItemWork::State::Done;
  const TimePoint now = mContext.mClock();
  Event("sample")
    .Field("step", aStep->mRecord.mId)
    .Field("item", aStep->mItems[aIndex].mId)
    .Field("state", aState == ItemState::Completed ? "completed" : "dead")
    .Field("replica", work.mReplica)
    .Field("expected_tokens", aStep->mItems[aIndex].mExpectedTokens)
    .Field("events", static_cast<uint64_t>(work.mText.Events().size()))
    .Field("streams", work.mStreams)
    .Field("waited_ms", InMilliseconds(work.mFirstStart - aStep->mAdopted))
    .Field("text_ms", InMilliseconds(work.mTextEnd - work.mFirstStart))
    .Field("score_ms", InMilliseconds(now - work.mTextEnd))
    .Write();
  ItemResult result;
  result.mId = aStep->mItems[aIndex].mId;
  result.mState = aState;
  if (aState == ItemState::Completed) {
    result.mText = work.mText.Joined();
    result.mVersions = work.mVersions;
    result.mScore = std::move(aScore);
  }
  work.mText = {};
  aStep->mPending.push_back(std::move(result));
  aStep->mCommitTimer->cancel();
}

/// Lists pending results, one entry of the log at a time.
Awaitable<void> StepRunner::Commit(OwnedStepPtr aStep)
{
  asio::steady_timer pause(mContext.mExecutor);
  while (!aStep->mStopped) {
    const TimePoint due = aStep->mCommitted + kCommitPause;
    const bool wait = aStep->mPending.empty() ||
                      (mContext.mClock() < due && !aStep->CompletesGroups());
    if (wait) {
      aStep->mCommitTimer->expires_at(aStep->mPending.empty() ? TimePoint::max()
                                                              : due);
      boost::system::error_code ignored;
      co_await aStep->mCommitTimer->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
      continue;
    }
    std::vector<ItemResult> batch;
    size_t bytes = 0;
    while (batch.size() < aStep->mPending.size() && bytes < kEntryBytes) {
      bytes += aStep->mPending[batch.size()].mText.size();
      batch.push_back(aStep->mPending[batch.size()]);
    }
    const std::string encoded = EncodeResults(batch);
    AppendOutcome outcome = AppendOutcome::Retry;
    while (outcome == AppendOutcome::Retry && !aStep->mStopped) {
      outcome = co_await mContext.mStore.Append(
        aStep->mRecord, aStep->mNextEntry, encoded);
      if (outcome == AppendOutcome::Retry) {
        pause.expires_after(kCommitRetryPause);
        co_await pause.async_wait(asio::use_awaitable);
      }
    }
    if (outcome == AppendOutcome::Superseded) {
      Stop(aStep, true);
    }
    if (outcome != AppendOutcome::Listed) {
      co_return;
    }
    aStep->mConfirmed = mContext.mClock();
    ++aStep->mNextEntry;
    aStep->mPending.erase(aStep->mPending.begin(),
                          aStep->mPending.begin() +
                            static_cast<std::ptrdiff_t>(batch.size()));
    for (ItemResult& result : batch) {
      aStep->mListed.push_back(std::move(result));
    }
    Wake(*aStep);
    if (aStep->Whole()) {
      Stop(aStep, false);
      co_return;
    }
    aStep->mCommitted = mContext.mClock();
  }
}

} // namespace agatetide::steps
