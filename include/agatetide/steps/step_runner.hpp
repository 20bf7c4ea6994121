#pragma once

#include "agatetide/policy/item_placement.hpp"
#include "agatetide/policy/replica_speeds.hpp"
#include "agatetide/request/forwarder.hpp"
#include "agatetide/steps/sample_text.hpp"
#include "agatetide/steps/step_store.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace agatetide::steps {

/// @brief What the running of steps needs. All references outlive it.
struct StepContext
{
  boost::asio::any_io_executor mExecutor;
  const fleet::FleetView& mView;
  request::ReplicaPool& mPool;
  request::Forwarder& mForwarder;
  request::UpstreamStreamCall mStream;
  StepStore& mStore;
  Clock mClock;
  WallClock mWallClock;
  /// This process as the owner of steps.
  std::string mOwner;
};

/// @brief A sample that is being generated.
struct ItemWork
{
  enum class State : uint8_t
  {
    Waiting,
    Running,
    Scoring,
    /// The result is listed or will be.
    Done,
  };
  State mState = State::Waiting;
  /// Data of the events so far.
  SampleText mText;
  std::vector<int64_t> mVersions;
  /// Answers of replicas that the item failed.
  unsigned mFailures = 0;
  /// Not tried again before.
  TimePoint mNotBefore{};
  /// The replica of the last stream.
  std::string mReplica;
  std::shared_ptr<http::AbortHandle> mAbort;
  TimePoint mStreamStart{};
  unsigned mStreamEvents = 0;
  /// Streams that were started.
  unsigned mStreams = 0;
  /// Start of the first stream, and end of the last one.
  TimePoint mFirstStart{};
  TimePoint mTextEnd{};
};

/// @brief A step that this process runs.
struct OwnedStep
{
  StepRecord mRecord;
  std::vector<StepItem> mItems;
  std::vector<ItemWork> mWork;
  /// Indices of items in the order in which they start.
  std::vector<size_t> mOrder;
  /// Replicas that have read the prompt of a group.
  std::map<std::string, std::set<std::string>> mPromptReplicas;
  std::vector<ItemResult> mListed;
  std::vector<ItemResult> mPending;
  uint32_t mNextEntry = 0;
  /// When the log was last extended.
  TimePoint mCommitted{};
  /// The step was ended, is whole, or belongs to another process.
  bool mStopped = false;
  bool mSuperseded = false;
  /// When this process began to run the step.
  TimePoint mAdopted{};
  /// When the store last confirmed the record.
  TimePoint mConfirmed{};
  TimePoint mStoppedAt{};
  /// When the partial samples were last kept, and their events.
  TimePoint mCheckpoint{};
  size_t mCheckpointEvents = 0;
  std::list<boost::asio::steady_timer*> mWaiters;
  std::unique_ptr<boost::asio::steady_timer> mCommitTimer;

  bool Whole() const { return mListed.size() == mItems.size(); }

  /// @brief Whether the pending results make as many groups whole as the
  /// trainer waits for, or more: it reads on as soon as they are listed.
  bool CompletesGroups() const;
};

using OwnedStepPtr = std::shared_ptr<OwnedStep>;

/// @brief Generates, scores and lists the samples of the steps that this
/// process owns. Not thread-safe: owned by the executor of the daemon.
class StepRunner
{
public:
  explicit StepRunner(StepContext aContext);

  /// @brief Starts the review of running steps. Call once.
  void Start();

  /// @brief Runs a step from what its log and its partial samples hold.
  OwnedStepPtr Adopt(StepRecord aRecord,
                     std::vector<StepItem> aItems,
                     LogPart aLog,
                     std::vector<PartialSample> aPartials);

  /// @brief Keeps the partial samples of all running steps in the store.
  Awaitable<void> Checkpoint();

  /// @brief The step, as long as its results are kept here; null otherwise.
  OwnedStepPtr Find(std::string_view aId) const;

  /// @brief Stops a step whose end or loss became known.
  void Stop(const OwnedStepPtr& aStep, bool aSuperseded);

  /// @brief Waits until more than aKnown results are listed, the step has
  /// stopped, or aWait has passed.
  Awaitable<void> AwaitResults(OwnedStepPtr aStep,
                               size_t aKnown,
                               Milliseconds aWait);

  /// @brief Starts the items that can be placed.
  void StartWaitingItems();

  size_t Running() const { return mRunningItems; }
  size_t Steps() const { return mSteps.size(); }

private:
  Awaitable<void> Review();
  Awaitable<void> Confirm(OwnedStepPtr aStep);
  Awaitable<void> Commit(OwnedStepPtr aStep);
  Awaitable<void> CheckpointStep(OwnedStepPtr aStep);
  bool PumpStep(const OwnedStepPtr& aStep);
  bool StartItem(const OwnedStepPtr& aStep,
                 size_t aIndex,
                 const fleet::Route& aRoute);
  Awaitable<void> RunItem(OwnedStepPtr aStep,
                          size_t aIndex,
                          request::ReplicaPool::Use aUse,
                          fleet::Route aRoute);
  request::UpstreamRequest MakeRequest(const OwnedStep& aStep,
                                       size_t aIndex,
                                       std::string aReplicaId) const;
  void TakeBreak(OwnedStep& aStep,
                 size_t aIndex,
                 const fleet::Replica& aReplica,
                 const Error& aError);
  void TakeAnswer(const OwnedStepPtr& aStep,
                  size_t aIndex,
                  const fleet::Replica& aReplica,
                  const fleet::Route& aRoute,
                  const request::UpstreamResponse& aAnswer);
  bool TakeEvent(OwnedStep& aStep,
                 size_t aIndex,
                 const fleet::Route& aRoute,
                 const fleet::Replica& aReplica,
                 request::StreamEvent aEvent);
  Awaitable<void> Score(OwnedStepPtr aStep, size_t aIndex);
  void Finish(const OwnedStepPtr& aStep,
              size_t aIndex,
              ItemState aState,
              std::string aScore);
  void GiveUpOld(const OwnedStepPtr& aStep);
  void MoveStragglers(const OwnedStepPtr& aStep);
  const fleet::Route* RouteOf(const OwnedStep& aStep) const;
  bool MayRun(const OwnedStep& aStep, const fleet::Replica& aReplica) const;
  void ObserveSpeed(const std::string& aReplicaId, const ItemWork& aWork);
  void Wake(OwnedStep& aStep);
  void ForgetStopped();

  StepContext mContext;
  policy::ItemPlacementOptions mPlacement;
  policy::ItemMoveOptions mMoves;
  std::map<std::string, OwnedStepPtr, std::less<>> mSteps;
  policy::ReplicaSpeeds mSpeeds;
  size_t mRunningItems = 0;
};

} // namespace agatetide::steps
