#pragma once

#include "agatetide/base/memory_budget.hpp"
#include "agatetide/base/random.hpp"
#include "agatetide/policy/event_length.hpp"
#include "agatetide/policy/item_placement.hpp"
#include "agatetide/policy/replica_speeds.hpp"
#include "agatetide/policy/step_schedule.hpp"
#include "agatetide/request/forwarder.hpp"
#include "agatetide/steps/sample_text.hpp"
#include "agatetide/steps/step_store.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace agatetide::steps {

/// @brief Dependencies of StepRunner and StepService. Precondition: what the
/// references refer to outlives both.
struct StepContext
{
  boost::asio::any_io_executor mExecutor;
  const fleet::FleetView& mView;
  request::ReplicaPool& mPool;
  request::Forwarder& mForwarder;
  request::UpstreamStreamCall mStream;
  StepStore& mStepStore;
  Clock mClock;
  WallClock mWallClock;
  /// Name of this process as an owner of steps; see OwnerName().
  std::string mOwner;
  /// For the texts of samples that are not complete; null if unlimited.
  std::shared_ptr<MemoryBudget> mTextBudget;
  /// For the items of steps that run; null if unlimited.
  std::shared_ptr<MemoryBudget> mItemBudget;
  /// For large items that readers get from the store; null if unlimited.
  std::shared_ptr<MemoryBudget> mReadBudget;
  /// Must not be empty. For the choice of replicas.
  Random mRandom = ProcessRandom();
};

/// @brief The progress of one item: the sample generated so far, and the
/// stream that generates it.
struct ItemRun
{
  enum class State : uint8_t
  {
    /// Has no stream; waits for a replica or a retry.
    Waiting,
    Running,
    /// The text is complete.
    Scoring,
    /// The result is in the step's log, or pending.
    Done,
  };
  State mState = State::Waiting;
  SampleText mText;
  /// The distinct weight versions that generated mText.
  std::vector<int64_t> mVersions;
  /// The software version of the replicas that generated mText. Only replicas
  /// of this version can continue it.
  std::string mSoftwareVersion;
  /// When the item last had a stream with events.
  TimePoint mWaitingSince{};
  /// Responses with which a replica failed the item (status 500).
  unsigned mFailures = 0;
  /// No stream starts before this time.
  TimePoint mNotBefore{};
  /// The replica of the current or last stream.
  std::string mReplicaId;
  /// Cancels the current stream; null if there is none.
  std::shared_ptr<http::CancelHandle> mCancel;
  /// Ends the current scoring call when the step stops; null if there is none.
  std::shared_ptr<http::CallerConnection> mScoringCaller;
  /// Start of the current stream, and from its first event on the time of that
  /// event.
  TimePoint mStreamStart{};
  /// Events received from the current stream.
  unsigned mStreamEventCount = 0;
  /// Streams started for the item.
  unsigned mStreamCount = 0;
  /// Streams canceled in order to move the item to a faster replica.
  unsigned mMoveCount = 0;
  /// Time from the start of the current stream to its first event.
  double mPromptSeconds = 0.0;
  /// Speed of the current stream.
  policy::StreamWindow mWindow{ policy::PacedMoveOptions{}.mWindowSeconds };
  TimePoint mFirstStreamStart{};
  /// When the text became complete.
  TimePoint mTextEnd{};

  /// @brief Whether the replica could continue the text.
  bool Fits(const fleet::Replica& aReplica) const
  {
    return mText.Events().empty() ||
           mSoftwareVersion == aReplica.mSoftwareVersion;
  }

  /// @brief Drops the text, so that the item starts again.
  void ClearText();
};

/// @brief What is known of an append to the log of a step.
enum class AppendState : uint8_t
{
  /// All appends have ended with a known outcome.
  None,
  Sent,
  /// It may have taken effect although it got no answer.
  Unknown,
};

/// @brief A step that this process runs.
struct OwnedStep
{
  StepRecord mRecord;
  std::vector<StepItem> mItems;
  /// What mItems take from the budget besides their bodies, which count
  /// themselves.
  MemoryReservation mItemMemory;
  /// The bodies of mItems are only in the store.
  bool mBodiesDropped = false;
  /// Regions whose replicas may run the items; std::nullopt allows all. Set
  /// before items start and after each change of the configuration.
  std::optional<fleet::RegionSet> mAllowedRegions;
  /// Same indices as mItems.
  std::vector<ItemRun> mRuns;
  /// Indices of items in the order in which they start, for services without a
  /// pace.
  std::vector<size_t> mStartOrder;
  /// The groups of mItems in the order of the list.
  std::vector<policy::ScheduledGroup> mGroups;
  /// What to start, for services that report a pace.
  policy::StepPlan mPlan;
  TimePoint mPlannedAt{};
  /// The state of an item has changed since the plan was made.
  bool mPlanChanged = true;
  /// When the texts of all needed groups became complete.
  TimePoint mNeededFinishedAt{};
  /// Spare groups as of the last log line about them, and its time.
  std::vector<size_t> mLoggedSpare;
  TimePoint mSpareLoggedAt{};
  /// Ids of the replicas that have processed the prompt of a group, by group.
  std::map<std::string, std::set<std::string>> mPromptReplicas;
  /// Results that are known to be in the step's log, in its order.
  std::vector<ItemResult> mCommittedResults;
  /// Results that are not known to be in the log yet.
  std::vector<ItemResult> mPendingResults;
  /// The state of the append of the first pending results.
  AppendState mAppendState = AppendState::None;
  /// When an append that was sent should have had its answer.
  TimePoint mAppendOverdueAt{};
  /// The entries that hold mCommittedResults.
  LogIndex mLogIndex;
  /// When this process last appended to the log.
  TimePoint mCommittedAt{};
  /// The step is ended, complete or superseded.
  bool mStopped = false;
  /// Another process has changed the record and may own the step.
  bool mSuperseded = false;
  /// The log holds results that mCommittedResults lacks: another process owned
  /// the step for a time.
  bool mLogIsAhead = false;
  /// When this process began to run the step.
  TimePoint mAdoptedAt{};
  /// When the record was last checked against the store.
  TimePoint mRecordCheckedAt{};
  TimePoint mStoppedAt{};
  /// When the partial samples were last checkpointed.
  TimePoint mCheckpointedAt{};
  /// Number of events in the last checkpoint.
  size_t mCheckpointEventCount = 0;
  /// Timers of the running AwaitResults() calls.
  std::list<boost::asio::steady_timer*> mWaiters;
  std::unique_ptr<boost::asio::steady_timer> mCommitTimer;

  /// @brief Whether the log may hold results that mCommittedResults lacks, so
  /// that results must be read from the store: others may have read them there.
  /// A stopped step does not learn how its last append ended.
  bool MayLackResults(TimePoint aNow) const
  {
    return mSuperseded || mLogIsAhead || mAppendState == AppendState::Unknown ||
           (mAppendState == AppendState::Sent &&
            (mStopped || aNow >= mAppendOverdueAt));
  }

  /// @brief Sets the state of an item, so that the step is planned again.
  void SetState(ItemRun& aRun, ItemRun::State aState)
  {
    aRun.mState = aState;
    mPlanChanged = true;
  }

  /// @brief Frees the bodies of the items. Precondition: the step is stopped.
  void DropBodies();

  /// @brief Whether all results are in the log.
  bool IsComplete() const { return mCommittedResults.size() == mItems.size(); }

  /// @brief Whether, once the pending results are in the log, as many groups
  /// are complete as the trainer waits for. The trainer then continues, so the
  /// results are committed without delay.
  bool HasDesiredGroups() const;
};

using OwnedStepPtr = std::shared_ptr<OwnedStep>;

/// @brief Generates and scores the samples of the steps that this process
/// owns, and commits the results to the steps' logs. Not thread-safe; all calls
/// must come from the daemon's executor.
class StepRunner
{
public:
  explicit StepRunner(StepContext aContext);

  /// @brief Starts the periodic review of running steps. Call once.
  void Start();

  /// @brief Runs a step; replaces a stopped copy. Items with a result in the
  /// log are done; items with a partial sample resume from it. aItemMemory is
  /// what MemoryBytes() of the items takes from the budget.
  OwnedStepPtr Adopt(StepRecord aRecord,
                     std::vector<StepItem> aItems,
                     MemoryReservation aItemMemory,
                     LogPart aLog,
                     std::vector<PartialSample> aPartials);

  /// @brief Stores the partial samples of all running steps.
  Awaitable<void> Checkpoint();

  /// @brief The step if it runs here or stopped recently; null otherwise.
  OwnedStepPtr Find(std::string_view aId) const;

  /// @brief Whether the step runs here as its owner: not if the copy is of the
  /// time before the record was last changed.
  bool IsRunning(const StepRecord& aRecord) const
  {
    const OwnedStepPtr step = Find(aRecord.mId);
    return step && !step->mStopped &&
           step->mRecord.mRevision >= aRecord.mRevision;
  }

  /// @brief Stops the copy of the step if it is of the time before the record
  /// was last changed.
  void StopOldCopy(const StepRecord& aRecord);

  /// @brief Stops a step that is ended or complete, or whose record another
  /// process has changed (aSuperseded).
  void Stop(const OwnedStepPtr& aStep, bool aSuperseded);

  /// @brief Waits until more than aKnownCount results are in the log, the step
  /// has stopped or may lack results, or aMaxWait has passed.
  Awaitable<void> AwaitResults(OwnedStepPtr aStep,
                               size_t aKnownCount,
                               Milliseconds aMaxWait);

  /// @brief Requests a pass that starts waiting items as far as replicas have
  /// free slots. The pass runs after the current call of the event loop has
  /// ended, once for all requests until then, so that whoever calls this may be
  /// in the middle of a loop over what a pass reads or changes.
  void StartWaitingItems();

  /// @brief Number of items that have a stream.
  size_t RunningItemCount() const { return mRunningItemCount; }
  /// @brief Number of steps that run here or stopped recently.
  size_t StepCount() const { return mSteps.size(); }

private:
  Awaitable<void> ReviewLoop();
  Awaitable<void> CheckRecord(OwnedStepPtr aStep);
  Awaitable<void> CommitLoop(OwnedStepPtr aStep);
  Awaitable<AppendOutcome> AppendUntilSettled(OwnedStepPtr aStep,
                                              LogIndex aIndex,
                                              std::string aResults);
  void StartDueCheckpoints();
  Awaitable<void> RunCheckpoint(OwnedStepPtr aStep);
  Awaitable<void> CheckpointStep(OwnedStepPtr aStep);
  void RunStartPass();
  bool StartItemsOfStep(const OwnedStepPtr& aStep);
  bool UsesSchedule(const OwnedStep& aStep) const;
  bool IsCritical(const OwnedStep& aStep, size_t aIndex) const;
  /// Why a stream is moved, for the log.
  struct MoveReason
  {
    double mSecondsPerEvent = 0.0;
    double mOtherSecondsPerEvent = 0.0;
    /// Not estimated for critical items.
    policy::MoveBenefit mBenefit;
    bool mCritical = false;
  };
  void CancelToMove(OwnedStep& aStep, size_t aIndex, const MoveReason& aReason);
  void MoveCriticalItem(OwnedStep& aStep,
                        size_t aIndex,
                        double aOtherSecondsPerEvent);
  void RecordGroups(OwnedStep& aStep);
  void UpdatePlan(OwnedStep& aStep);
  void LogSpareGroups(OwnedStep& aStep);
  void StartScheduledItems(std::span<const OwnedStepPtr> aSteps);
  void StartNeededItems(std::span<const OwnedStepPtr> aSteps,
                        std::span<const policy::StepPlan* const> aPlans);
  void StartSpareGroups(const OwnedStepPtr& aStep);
  size_t StartGroup(const OwnedStepPtr& aStep,
                    const policy::SpareGroup& aGroup,
                    const fleet::Route& aRoute);
  policy::LoadCandidate MakeItemEstimate(
    const fleet::Replica& aReplica,
    const policy::ItemCandidate& aItem) const;
  std::optional<size_t> ChooseItemReplica(
    const std::vector<policy::ItemCandidate>& aCandidates,
    const std::vector<policy::LoadCandidate>& aEstimates) const;
  bool StartItem(const OwnedStepPtr& aStep,
                 size_t aIndex,
                 const fleet::Route& aRoute);
  Awaitable<void> RunItem(OwnedStepPtr aStep,
                          size_t aIndex,
                          request::ReplicaPool::Reservation aReservation,
                          fleet::Route aRoute);
  Awaitable<Result<request::UpstreamResponse>> StreamItem(
    const OwnedStep& aStep,
    size_t aIndex,
    const fleet::Replica& aReplica,
    const fleet::Route& aRoute,
    request::StreamOptions aOptions);
  request::UpstreamRequest MakeRequest(const OwnedStep& aStep,
                                       size_t aIndex,
                                       std::string aReplicaId,
                                       const fleet::Route& aRoute) const;
  void HandleStreamError(OwnedStep& aStep,
                         size_t aIndex,
                         const fleet::Replica& aReplica,
                         const Error& aError);
  void AbandonInvalidItem(const OwnedStepPtr& aStep,
                          size_t aIndex,
                          const Error& aError);
  void HandleResponse(const OwnedStepPtr& aStep,
                      size_t aIndex,
                      const fleet::Replica& aReplica,
                      const fleet::Route& aRoute,
                      const request::UpstreamResponse& aResponse);
  bool HandleEvent(OwnedStep& aStep,
                   size_t aIndex,
                   const fleet::Route& aRoute,
                   const fleet::Replica& aReplica,
                   request::StreamEvent aEvent);
  Awaitable<void> Score(OwnedStepPtr aStep, size_t aIndex);
  void FinishItem(const OwnedStepPtr& aStep,
                  size_t aIndex,
                  ItemState aState,
                  std::string aScore);
  void AbandonExpiredItems(const OwnedStepPtr& aStep);
  void MoveStragglers(const OwnedStepPtr& aStep);
  void MovePacedItem(OwnedStep& aStep,
                     size_t aIndex,
                     double aOtherSecondsPerEvent);
  const fleet::Route* FindRoute(const OwnedStep& aStep) const;
  bool HasWeights(const OwnedStep& aStep, const fleet::Replica& aReplica) const;
  /// Whether the location of the replica and its service allow it.
  bool MayUse(const OwnedStep& aStep,
              const fleet::Route& aRoute,
              const fleet::Replica& aReplica) const;
  bool MayRun(const OwnedStep& aStep, const fleet::Replica& aReplica) const;
  bool ShouldRestart(const OwnedStep& aStep,
                     const ItemRun& aRun,
                     const fleet::Route& aRoute) const;
  std::map<std::string, double, std::less<>> MedianSlowness(
    const OwnedStep& aStep) const;
  void ObserveSpeed(const std::string& aReplicaId, const ItemRun& aRun);
  void WakeWaiters(OwnedStep& aStep);
  void RemoveStoppedSteps();

  StepContext mContext;
  policy::ItemReplicaChoiceOptions mChoiceOptions;
  policy::ItemMoveOptions mMoveOptions;
  policy::PacedMoveOptions mPacedMoveOptions;
  policy::StepOrderPolicy mOrderPolicy = policy::StepOrderPolicy::NeededGroups;
  /// A group that was part of a step of this host.
  struct SeenGroup
  {
    std::string mFirstStep;
    TimePoint mLastSeen{};
  };
  /// By client account, model and group.
  std::map<std::string, SeenGroup, std::less<>> mSeenGroups;
  std::map<std::string, OwnedStepPtr, std::less<>> mSteps;
  /// Accounts and models whose incomplete groups have come again.
  std::set<std::pair<std::string, std::string>> mReturningModels;
  policy::ReplicaSpeeds mSpeeds;
  policy::EventLength mEventLength;
  size_t mRunningItemCount = 0;
  size_t mRunningCheckpoints = 0;
  /// A pass that starts waiting items was requested and has not begun.
  bool mStartPassPending = false;
  /// Slots of streams that have ended since the last pass. They count as taken
  /// in the next one, since their replicas may not have noticed the end.
  std::vector<request::ReplicaPool::Reservation> mEndedStreams;
};

} // namespace agatetide::steps
