#include "agatetide/steps/step_loader.hpp"

#include "agatetide/base/event_log.hpp"
#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace agatetide::steps {

namespace asio = boost::asio;

namespace {

/// The record is read this often while a step is loaded, so that a load which
/// nobody needs any more ends soon.
constexpr std::chrono::milliseconds kRecordCheckInterval{ 900 };
/// The last check of the record is repeated at this interval until the store
/// answers, for at most this time.
constexpr std::chrono::milliseconds kConfirmRetryDelay{ 200 };
constexpr std::chrono::seconds kConfirmTimeout{ 10 };

} // namespace

/// A step that is being loaded. Canceling the timer ends the checks of its
/// record.
struct StepLoader::LoadState
{
  explicit LoadState(const asio::any_io_executor& aExecutor)
    : mTimer(aExecutor)
  {
  }

  /// The step was ended, or another process owns it.
  bool mCanceled = false;
  bool mFinished = false;
  asio::steady_timer mTimer;
};

StepLoader::StepLoader(const StepContext& aContext)
  : mContext(aContext)
{
}

std::optional<MemoryReservation> StepLoader::Reserve(
  const StepRecord& aRecord) const
{
  MemoryReservation memory(mContext.mItemBudget);
  if (!memory.Grow(StepStore::LoadedBytesLimit(aRecord))) {
    return std::nullopt;
  }
  return memory;
}

bool StepLoader::CanHold(size_t aBytes) const
{
  return MemoryReservation(mContext.mItemBudget).Grow(aBytes);
}

void StepLoader::Cancel(std::string_view aId)
{
  if (const auto found = mLoading.find(aId); found != mLoading.end()) {
    found->second->mCanceled = true;
  }
}

/// Whether this process is still to run the step.
bool StepLoader::IsOurs(const std::optional<StepRecord>& aRecord) const
{
  return aRecord && !aRecord->mEnded && aRecord->mOwner == mContext.mOwner;
}

Awaitable<Result<std::optional<LoadedStep>>> StepLoader::Load(
  StepRecord aRecord,
  MemoryReservation aMemory)
{
  const std::string id = aRecord.mId;
  const auto state = std::make_shared<LoadState>(mContext.mExecutor);
  mLoading.emplace(id, state);
  const std::shared_ptr<void> ended(nullptr, [this, id, state](void*) {
    state->mFinished = true;
    state->mTimer.cancel();
    mLoading.erase(id);
  });
  asio::co_spawn(mContext.mExecutor,
                 CheckWhileLoading(id, state),
                 LogFailure("check_while_loading"));
  auto loaded =
    co_await LoadParts(std::move(aRecord), std::move(aMemory), state);
  if (loaded.has_value() && !state->mCanceled) {
    const auto confirmed = co_await Confirm(loaded->mRecord, state);
    if (confirmed.has_error()) {
      co_return confirmed.error();
    }
    state->mCanceled = state->mCanceled || !*confirmed;
  }
  if (state->mCanceled) {
    LogEvent("step_load_ended").Field("step", id).Write();
    co_return std::optional<LoadedStep>();
  }
  if (loaded.has_error()) {
    co_return loaded.error();
  }
  co_return std::optional(std::move(*loaded));
}

/// Ends a load when the record says that this process is not to run the step.
Awaitable<void> StepLoader::CheckWhileLoading(std::string aId,
                                              std::shared_ptr<LoadState> aState)
{
  while (!aState->mFinished && !aState->mCanceled) {
    aState->mTimer.expires_after(kRecordCheckInterval);
    boost::system::error_code ignored;
    co_await aState->mTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    if (aState->mFinished) {
      break;
    }
    const auto record = co_await mContext.mStepStore.Load(aId);
    aState->mCanceled =
      aState->mCanceled || (record.has_value() && !IsOurs(*record));
  }
}

/// Whether this process is still to run a step that it has loaded. Only a
/// record that was read after all else shows that. Errors: those of the store;
/// Unavailable if the record has changed, and what was loaded may be old.
Awaitable<Result<bool>> StepLoader::Confirm(StepRecord aRecord,
                                            std::shared_ptr<LoadState> aState)
{
  const TimePoint deadline = mContext.mClock() + kConfirmTimeout;
  asio::steady_timer timer(mContext.mExecutor);
  for (;;) {
    const auto record = co_await mContext.mStepStore.Load(aRecord.mId);
    if (record.has_value() && !IsOurs(*record)) {
      co_return false;
    }
    if (record.has_value() && (*record)->mRevision == aRecord.mRevision) {
      co_return !aState->mCanceled;
    }
    if (record.has_value()) {
      co_return Error{ ErrorKind::Unavailable,
                       "the record has changed while the step was loaded",
                       "load it again" };
    }
    if (aState->mCanceled || mContext.mClock() >= deadline) {
      co_return record.error();
    }
    timer.expires_after(kConfirmRetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

Awaitable<Result<LoadedStep>> StepLoader::LoadParts(
  StepRecord aRecord,
  MemoryReservation aMemory,
  std::shared_ptr<LoadState> aState)
{
  LoadedStep step;
  step.mRecord = std::move(aRecord);
  const StepStore::IsCanceled isCanceled = [aState] {
    return aState->mCanceled;
  };
  auto items = co_await mContext.mStepStore.LoadItems(step.mRecord, isCanceled);
  if (items.has_error()) {
    co_return items.error();
  }
  const size_t bytes = MemoryBytes(*items);
  if (!aMemory.GrowTo(bytes)) {
    co_return Error{ ErrorKind::ResourceExhausted,
                     "the items of other steps take the memory of this host",
                     "run the step on another host" };
  }
  aMemory.ShrinkTo(bytes);
  step.mItems = std::move(*items);
  step.mMemory = std::move(aMemory);
  auto log = co_await mContext.mStepStore.ReadWholeLog(step.mRecord);
  if (log.has_error()) {
    co_return log.error();
  }
  step.mLog = std::move(*log);
  // An error is ignored, since without partial samples the items are only
  // generated from the beginning.
  auto partials = co_await mContext.mStepStore.LoadPartials(step.mRecord.mId);
  if (partials.has_value()) {
    step.mPartials = std::move(*partials);
  }
  co_return step;
}

} // namespace agatetide::steps
