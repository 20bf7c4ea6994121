#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/steps/log_index.hpp"
#include "agatetide/steps/step.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::steps {

/// @brief The results behind the first aCount.
std::span<const ItemResult> ResultsFrom(std::span<const ItemResult> aResults,
                                        size_t aCount);

/// @brief Consecutive results of a step, as far as they were read from its log.
/// Not thread-safe.
struct LogWindow
{
  /// Position of the first result.
  size_t mFirst = 0;
  std::vector<ItemResult> mResults;
  /// The log entry that follows them.
  uint32_t mNextEntry = 0;
  /// When the log was last read.
  TimePoint mReadAt{};
  /// Size of the texts.
  size_t mBytes = 0;

  /// Position that follows the last result.
  size_t End() const { return mFirst + mResults.size(); }

  /// The results from a position on. Precondition: aFrom >= mFirst.
  std::span<const ItemResult> From(size_t aFrom) const;
};
using LogWindowPtr = std::shared_ptr<LogWindow>;

/// @brief A step of another daemon, as far as it was read from the store. Not
/// thread-safe.
struct CachedStep
{
  StepRecord mRecord;
  std::vector<StepItem> mItems;
  size_t mItemBytes = 0;
  /// The results that were asked for last; never null.
  LogWindowPtr mLog = std::make_shared<LogWindow>();
  LogIndex mIndex;
  /// When the index was last read.
  TimePoint mIndexReadAt{};
  TimePoint mLastUsed{};

  size_t Bytes() const { return mItemBytes + mLog->mBytes; }
};
using CachedStepPtr = std::shared_ptr<CachedStep>;

/// @brief Steps of other daemons that were read from the store; keeps those
/// that were used last. Not thread-safe.
class StepCache
{
public:
  explicit StepCache(size_t aMaxBytes);

  /// @brief Returns the step with this id; null if it is not cached.
  CachedStepPtr Find(std::string_view aId) const;

  /// @brief Adds a step, unless one with its id is cached. Returns the cached
  /// one. Precondition: aStep is not null.
  CachedStepPtr Add(CachedStepPtr aStep);

  void Remove(std::string_view aId);

  /// @brief Removes the steps that were not used for the longest time, until
  /// the others are within the limit or one is left.
  void Trim();

private:
  size_t mMaxBytes;
  std::map<std::string, CachedStepPtr, std::less<>> mSteps;
};

} // namespace agatetide::steps
