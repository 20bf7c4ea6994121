#include "agatetide/steps/step_cache.hpp"

#include <algorithm>

namespace agatetide::steps {

std::span<const ItemResult> ResultsFrom(std::span<const ItemResult> aResults,
                                        size_t aCount)
{
  return aResults.subspan(std::min(aCount, aResults.size()));
}

std::span<const ItemResult> LogWindow::From(size_t aFrom) const
{
  return ResultsFrom(mResults, aFrom - mFirst);
}

StepCache::StepCache(size_t aMaxBytes)
  : mMaxBytes(aMaxBytes)
{
}

CachedStepPtr StepCache::Find(std::string_view aId) const
{
  const auto found = mSteps.find(aId);
  return found == mSteps.end() ? nullptr : found->second;
}

CachedStepPtr StepCache::Add(CachedStepPtr aStep)
{
  const std::string id = aStep->mRecord.mId;
  return mSteps.try_emplace(id, std::move(aStep)).first->second;
}

void StepCache::Remove(std::string_view aId)
{
  const auto found = mSteps.find(aId);
  if (found != mSteps.end()) {
    mSteps.erase(found);
  }
}

void StepCache::Trim()
{
  size_t bytes = 0;
  for (const auto& [id, step] : mSteps) {
    bytes += step->Bytes();
  }
  while (bytes > mMaxBytes && mSteps.size() > 1) {
    const auto oldest = std::min_element(
      mSteps.begin(), mSteps.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second->mLastUsed < aRight.second->mLastUsed;
      });
    bytes -= oldest->second->Bytes();
    mSteps.erase(oldest);
  }
}

} // namespace agatetide::steps
