#include "agatetide/steps/step_loader.hpp"

#include <memory>
#include <utility>

namespace agatetide::steps {

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

Awaitable<Result<LoadedStep>> StepLoader::Load(StepRecord aRecord,
                                               MemoryReservation aMemory)
{
  const std::string id = aRecord.mId;
  mLoading.insert(id);
  const std::shared_ptr<void> ended(nullptr,
                                    [this, id](void*) { mLoading.erase(id); });
  co_return co_await LoadParts(std::move(aRecord), std::move(aMemory));
}

Awaitable<Result<LoadedStep>> StepLoader::LoadParts(StepRecord aRecord,
                                                    MemoryReservation aMemory)
{
  LoadedStep step;
  step.mRecord = std::move(aRecord);
  auto items = co_await mContext.mStepStore.LoadItems(step.mRecord);
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
