#pragma once

#include "agatetide/policy/model_assignment.hpp"
#include "agatetide/steps/step_runner.hpp"

#include <map>
#include <memory>
#include <set>
#include <span>

namespace agatetide::steps {

enum class SubmitOutcome
{
  Accepted,
  /// The step is not stored and will not run.
  Refused,
  /// The step may be stored, now or later.
  Unknown,
};

/// @brief Consecutive results of a step.
struct ResultPage
{
  /// Number of items of the step.
  size_t mTotalItems = 0;
  /// Position from which to read the next page.
  size_t mNextPosition = 0;
  std::vector<ItemResult> mResults;
};

struct StepServiceOptions
{
  /// Maximum size of the texts of a page with several results.
  size_t mMaxPageBytes = size_t{ 700 } << 10U;
  /// Limit of the memory for cached steps of other daemons.
  size_t mMaxCachedBytes = size_t{ 6 } << 20U;
  /// Ended steps are deleted this long after their submission.
  Milliseconds mRetention{ 180000 };
  /// Items that were stored for a step that was not created are deleted this
  /// long after its submission.
  Milliseconds mAbandonedItemsRetention{ 60000 };
  /// Steps count as demand for this long after their submission.
  Milliseconds mDemandWindow{ 20000 };
};

/// @brief Accepts steps, and serves the results of steps of all daemons. Reads
/// those of other daemons from the platform store. Not thread-safe; all calls
/// must come from the daemon's executor.
class StepService
{
public:
  /// Precondition: aContext and aRunner outlive the service.
  StepService(StepContext& aContext,
              StepRunner& aRunner,
              StepServiceOptions aOptions = {});

  /// @brief Stores a step and starts it; retries until aDeadline. A repeated
  /// submission is accepted, but does not create a second step.
  Awaitable<SubmitOutcome> Submit(StepSubmission aSubmission,
                                  TimePoint aDeadline);

  /// @brief Returns the results from position aFrom on; waits up to aMaxWait
  /// until there is one. Errors: NotFound if the client account has no step
  /// with this id; otherwise those of the store.
  Awaitable<Result<ResultPage>> Read(std::string aId,
                                     std::string aAccount,
                                     size_t aFrom,
                                     Milliseconds aMaxWait);

  /// @brief Returns the body of an item. Errors: as Read(); NotFound also if
  /// the step has no such item.
  Awaitable<Result<std::string>> ItemBody(std::string aId,
                                          std::string aAccount,
                                          std::string aItem);

  /// @brief Ends a step. If another daemon runs it, that one stops it with its
  /// next check of the record. Errors: as Read(); Unavailable if the record
  /// keeps changing. The value is always true.
  Awaitable<Result<bool>> End(std::string aId, std::string aAccount);

  /// @brief Takes over the steps whose owner is not in aLiveOwners and for
  /// which aIsResponsible returns true, and the steps of this process that do
  /// not run. Deletes expired steps if aDeleteExpired is set. Returns false if
  /// the steps could not all be read or taken over.
  Awaitable<bool> Recover(std::set<std::string> aLiveOwners,
                          std::function<bool(const StepRecord&)> aIsResponsible,
                          bool aDeleteExpired);

  /// @brief Whether a step owned by this process could not be loaded, so that
  /// Recover() must be called again.
  bool NeedsRecovery() const { return mNeedsRecovery; }

  /// @brief Expected tokens of recently submitted steps, by model, as of the
  /// last Recover(); weighted by lateness if DemandRule() is Gain.
  const std::map<std::string, double, std::less<>>& TokenDemand() const
  {
    return mTokenDemand;
  }

  /// @brief How replicas should be reassigned to meet TokenDemand(): by Gain if
  /// a service that runs recent steps reports a pace.
  policy::RebalanceRule DemandRule() const { return mDemandRule; }

  /// @brief Peak number of items of recent steps that would run at the same
  /// time if none had to wait, by service, as of the last Recover().
  const std::map<std::string, unsigned, std::less<>>& PeakItems() const
  {
    return mPeakItems;
  }

private:
  /// Consecutive results of a step, as far as they were read from its log.
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
  };
  using LogWindowPtr = std::shared_ptr<LogWindow>;

  /// A step of another daemon, as far as it was read from the store.
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
  Awaitable<Result<LogWindowPtr>> OpenLog(CachedStepPtr aStep, size_t aFrom);
  Awaitable<Result<LogRead>> ReadNewResults(std::string aId,
                                            LogWindowPtr aLog,
                                            ReadTrace& aTrace);
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
  Awaitable<void> ResolveUnknownCreate(std::string aId);
  Awaitable<void> ResolveUnknownClaim(std::string aId, int64_t aRevision);
  bool IsOrphan(const StepRecord& aRecord) const;
  Awaitable<bool> TakeOver(StepRecord aRecord);
  Awaitable<bool> AdoptStored(StepRecord aRecord);
  /// When a step was last seen open and first seen ended, since its submission.
  struct OpenTime
  {
    int64_t mOpenMs = 0;
    int64_t mEndedMs = 0;
  };

  void UpdateDemand(const std::vector<StepRecord>& aRecords);
  policy::RecentStep ObserveStep(const StepRecord& aRecord,
                                 const fleet::Route& aRoute);
  void UpdatePeakItems(const std::vector<StepRecord>& aRecords);
  size_t PageLength(std::span<const ItemResult> aResults) const;
  ResultPage MakePage(std::span<const ItemResult> aResults,
                      size_t aTotal,
                      size_t aFrom) const;
  void TrimCache();
  void LogMemoryShortage(std::string_view aEvent, const std::string& aId) const;

  StepContext& mContext;
  StepRunner& mRunner;
  StepServiceOptions mOptions;
  std::map<std::string, CachedStepPtr, std::less<>> mCache;
  /// Ids of steps that may be stored although creating them failed.
  std::set<std::string> mUnknownCreates;
  /// Ids of steps of which this process may become the owner although claiming
  /// them failed.
  std::set<std::string> mUnknownClaims;
  bool mNeedsRecovery = false;
  std::map<std::string, double, std::less<>> mTokenDemand;
  policy::RebalanceRule mDemandRule = policy::RebalanceRule::Share;
  /// By step id, for steps in the demand window.
  std::map<std::string, OpenTime, std::less<>> mOpenTimes;
  std::map<std::string, unsigned, std::less<>> mPeakItems;
};

} // namespace agatetide::steps
