#pragma once

#include "agatetide/steps/step_runner.hpp"

#include <map>
#include <set>

namespace agatetide::steps {

enum class SubmitOutcome
{
  Accepted,
  /// Nothing of the step runs.
  Refused,
  /// The step may be kept now or later.
  Unknown,
};

struct ResultPage
{
  size_t mTotalItems = 0;
  size_t mNextPosition = 0;
  std::vector<ItemResult> mResults;
};

struct StepServiceOptions
{
  /// Bytes of texts in one answer; the rest follows in the next.
  size_t mMaxAnswerBytes = size_t{ 700 } << 10U;
  /// Bytes of steps of other daemons that are kept in memory.
  size_t mMaxCachedBytes = size_t{ 6 } << 20U;
  /// Ended steps are forgotten this long after their submission.
  Milliseconds mRetention{ 180000 };
  /// Steps that were handed in since count as demand.
  Milliseconds mDemandTime{ 20000 };
};

/// @brief Accepts steps, and answers for any step of any daemon from the
/// platform store. Not thread-safe: owned by the executor of the daemon.
class StepService
{
public:
  StepService(StepContext& aContext,
              StepRunner& aRunner,
              StepServiceOptions aOptions = {});

  /// @brief Keeps a step and starts it. The same submission is accepted once.
  Awaitable<SubmitOutcome> Submit(StepSubmission aSubmission,
                                  TimePoint aDeadline);

  /// @brief Results from position aFrom on; waits up to aWait for one.
  /// Errors: NotFound for an unknown step of this client account;
  /// Unavailable when the store cannot tell.
  Awaitable<Result<ResultPage>> Read(std::string aId,
                                     std::string aAccount,
                                     size_t aFrom,
                                     Milliseconds aWait);

  /// @brief The body of an item. Errors: as Read().
  Awaitable<Result<std::string>> ItemBody(std::string aId,
                                          std::string aAccount,
                                          std::string aItem);

  /// @brief Ends a step; no item of it starts a while after. Errors: as
  /// Read().
  Awaitable<Result<bool>> End(std::string aId, std::string aAccount);

  /// @brief Takes over the steps whose owner is not among the live
  /// processes and for which aMine holds; forgets old steps when aCollect
  /// holds. Returns whether all records could be read.
  Awaitable<bool> Recover(std::set<std::string> aLive,
                          std::function<bool(const StepRecord&)> aMine,
                          bool aCollect);

  /// @brief Whether a step of this process could not be started, so that
  /// Recover() has to be called again.
  bool NeedsRecovery() const { return mUnfinished; }

  /// @brief Expected tokens of the steps that were handed in lately, by
  /// model, as of the last Recover().
  const std::map<std::string, double, std::less<>>& TokenDemand() const
  {
    return mDemand;
  }

  /// @brief Items that run at once when none has to wait, by service, as of
  /// the last Recover().
  const std::map<std::string, unsigned, std::less<>>& PeakItems() const
  {
    return mItemsAtOnce;
  }

private:
  /// What is known of a step of another daemon.
  struct CachedStep
  {
    StepRecord mRecord;
    std::vector<StepItem> mItems;
    std::vector<ItemResult> mResults;
    uint32_t mEntries = 0;
    size_t mBytes = 0;
    TimePoint mUsed{};
  };
  using CachedStepPtr = std::shared_ptr<CachedStep>;

  Awaitable<Result<CachedStepPtr>> Lookup(std::string aId,
                                          std::string aAccount);
  Awaitable<Result<bool>> Extend(CachedStepPtr aStep, int64_t& aRevision);
  Awaitable<Result<ResultPage>> ReadStored(std::string aId,
                                           std::string aAccount,
                                           size_t aFrom,
                                           Milliseconds aWait);
  Awaitable<void> ResolveUnknown(std::string aId);
  Awaitable<bool> TakeOver(StepRecord aRecord);
  Awaitable<bool> AdoptStored(StepRecord aRecord);
  void CountItems(const std::vector<StepRecord>& aRecords);
  ResultPage Answer(const std::vector<ItemResult>& aResults,
                    size_t aTotal,
                    size_t aFrom) const;
  void TrimCache();

  StepContext& mContext;
  StepRunner& mRunner;
  StepServiceOptions mOptions;
  std::map<std::string, CachedStepPtr, std::less<>> mCache;
  std::set<std::string> mUnresolved;
  bool mUnfinished = false;
  std::map<std::string, double, std::less<>> mDemand;
  std::map<std::string, unsigned, std::less<>> mItemsAtOnce;
};

} // namespace agatetide::steps
