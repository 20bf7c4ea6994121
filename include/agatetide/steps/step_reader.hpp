#pragma once

#include "agatetide/steps/shared_loads.hpp"
#include "agatetide/steps/step_cache.hpp"
#include "agatetide/steps/step_runner.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::steps {

/// @brief The error for a step that a client account does not have.
Error StepNotFound(std::string_view aId);

/// @brief Consecutive results of a step.
struct ResultPage
{
  /// Number of items of the step.
  size_t mTotalItems = 0;
  /// Position from which to read the next page.
  size_t mNextPosition = 0;
  std::vector<ItemResult> mResults;
};

struct StepReaderOptions
{
  /// Maximum size of the texts of a page with several results.
  size_t mMaxPageBytes = size_t{ 700 } << 10U;
  /// Known results with texts of this size are a page without a look at the log
  /// for more.
  size_t mSufficientPageBytes = size_t{ 350 } << 10U;
  /// Limit of the memory for cached steps of other daemons.
  size_t mMaxCachedBytes = size_t{ 6 } << 20U;
};

/// @brief Serves the results and items of steps of all daemons: those of this
/// one from its memory, others from the platform store. Not thread-safe; all
/// calls must come from the daemon's executor.
class StepReader
{
public:
  /// Precondition: aContext and aRunner outlive the reader.
  StepReader(StepContext& aContext,
             StepRunner& aRunner,
             StepReaderOptions aOptions = {});

  /// @brief Returns the results from position aFrom on; waits up to aMaxWait
  /// until there is one. Errors: NotFound if the client account has no step
  /// with this id; otherwise those of the store.
  Awaitable<Result<ResultPage>> Read(std::string aId,
                                     std::string aAccount,
                                     size_t aFrom,
                                     Milliseconds aMaxWait);

  /// @brief Returns the body of an item, which its readers share. Errors: as
  /// Read(); NotFound also if the step has no such item; Unavailable if there
  /// is no memory for it now.
  Awaitable<Result<SharedBytes>> ItemBody(std::string aId,
                                          std::string aAccount,
                                          std::string aItem);

  /// @brief Drops what was read of a step that this daemon runs from now on.
  void Forget(std::string_view aId);

private:
  /// What a read of results did, for the log.
  struct ReadTrace
  {
    /// Where the step was found: in the memory of its owner, in the cache of
    /// other hosts' steps, or in the store.
    const char* mSource = "owner";
    unsigned mLogReads = 0;
    uint32_t mLogEntries = 0;
    /// Size of the texts in these entries.
    size_t mLogBytes = 0;
  };

  /// What a read of the log brought.
  struct LogRead
  {
    /// Whether there were new entries.
    bool mHadEntries = false;
    /// Revision of the store at the time of the read.
    int64_t mRevision = 0;
  };

  Awaitable<Result<CachedStepPtr>> Lookup(std::string aId,
                                          std::string aAccount,
                                          bool aWithIndex);
  Awaitable<Result<std::optional<StepRecord>>> LoadRecord(CachedStepPtr aStep,
                                                          std::string aId,
                                                          bool aWithIndex);
  Awaitable<Result<std::optional<StepRecord>>> LoadIndex(CachedStepPtr aStep,
                                                         std::string aId);
  Awaitable<Result<SharedBytes>> LoadLargeItem(StepRecord aRecord,
                                               std::string aItem);
  bool MustLoadIndex(const CachedStep& aStep, size_t aFrom) const;
  Awaitable<Result<LogWindowPtr>> OpenLog(CachedStepPtr aStep, size_t aFrom);
  Awaitable<Result<LogRead>> ReadNewResults(std::string aId,
                                            LogWindowPtr aLog,
                                            ReadTrace& aTrace);
  bool MustRefresh(const LogWindow& aLog, size_t aFrom, size_t aTotal) const;
  Awaitable<Result<ResultPage>> ReadPage(std::string aId,
                                         std::string aAccount,
                                         size_t aFrom,
                                         Milliseconds aMaxWait,
                                         ReadTrace& aTrace);
  Awaitable<Result<ResultPage>> ReadFromStore(std::string aId,
                                              std::string aAccount,
                                              size_t aFrom,
                                              Milliseconds aMaxWait,
                                              ReadTrace& aTrace);
  size_t PageLength(std::span<const ItemResult> aResults) const;
  ResultPage MakePage(std::span<const ItemResult> aResults,
                      size_t aTotal,
                      size_t aFrom) const;

  StepContext& mContext;
  StepRunner& mRunner;
  StepReaderOptions mOptions;
  StepCache mCache;
  /// Loads of items of large steps, by step and item.
  SharedLoads mLoads;
};

} // namespace agatetide::steps
