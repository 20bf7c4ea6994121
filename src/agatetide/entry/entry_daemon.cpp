#include "agatetide/entry/entry_daemon.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace agatetide::entry {

namespace asio = boost::asio;
using namespace coordination;

namespace {

/// Time between the check of a key and the start of its request at a
/// replica, with a margin.
constexpr std::chrono::milliseconds kRevocationMargin{ 700 };
/// The confirmation of a watch counts from its start, so two of them and the
/// failure of the daemon that is asked must fit into the time for which a copy
/// is trusted.
constexpr std::chrono::milliseconds kOperatorWatch{ 1400 };
/// A lost connection is noticed within this time and the watch's margin.
constexpr std::chrono::milliseconds kReplicaWatch{ 1800 };
constexpr std::chrono::milliseconds kDutyInterval{ 100 };
constexpr std::chrono::milliseconds kCountInterval{ 250 };
/// The leader looks for steps without an owner this often.
constexpr std::chrono::milliseconds kRecoverInterval{ 4000 };
/// A change of the hosts is acted on after this time, since several often
/// change together.
constexpr std::chrono::milliseconds kRecoverDelay{ 400 };
/// Registrations that went while the store was away come back within this
/// time if their replica lives.
constexpr std::chrono::milliseconds kLapseTime{ 2300 };
/// An outage counts as recent for this long after the last failed call.
constexpr std::chrono::milliseconds kOutageMemory{ 3000 };

} // namespace

Result<std::unique_ptr<EntryDaemon>> EntryDaemon::Create(
  asio::any_io_executor aExecutor,
  EntryOptions aOptions,
  PlatformHooks aHooks)
{
  std::unique_ptr<EntryDaemon> daemon(new EntryDaemon(
    std::move(aExecutor), std::move(aOptions), std::move(aHooks)));
  auto leadership =
    duty::Leadership::Create({},
                             daemon->mStore,
                             daemon->mBootClock,
                             daemon->mOptions.mSelf.mName,
                             daemon->mOptions.mSelf.mIncarnation,
                             daemon->mView);
  if (leadership.has_error()) {
    return leadership.error();
  }
  daemon->mLeadership.emplace(std::move(*leadership));
  auto peers = PeerChannel::Create(
    daemon->mExecutor,
    daemon->mOptions.mPeerListen,
    { [watch = &daemon->mFleetWatch](PeerWatchRequest aRequest) {
       return watch->Serve(std::move(aRequest));
     },
      [path = &daemon->mStorePath](StoreRequest aRequest) {
        return path->Serve(std::move(aRequest));
      },
      [self = daemon.get()](steps::StepSubmission aSubmission) {
        return self->SubmitForPeer(std::move(aSubmission));
      } });
  if (peers.has_error()) {
    return peers.error();
  }
  daemon->mPeers = std::move(*peers);
  daemon->mMover.emplace(duty::VersionUpdaterOptions{},
                         daemon->mExecutor,
                         daemon->mView,
                         *daemon->mLeadership,
                         daemon->mHooks.mSendVersionOrder,
                         daemon->mHooks.mReadReplicaStatus,
                         daemon->mClock);
  daemon->mCapacity.emplace(duty::AutoscalerOptions{},
                            daemon->mExecutor,
                            daemon->mView,
                            *daemon->mLeadership,
                            daemon->mHooks.mSendCapacityOrder,
                            daemon->mClock);
  return daemon;
}

EntryDaemon::EntryDaemon(asio::any_io_executor aExecutor,
                         EntryOptions aOptions,
                         PlatformHooks aHooks)
  : mExecutor(std::move(aExecutor))
  , mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mClock(SteadyClock())
  , mBootClock(BootClock())
  , mWallClock(mBootClock, SystemClock())
  , mOwner(steps::OwnerName(mOptions.mSelf.mName, mOptions.mSelf.mIncarnation))
  , mView(mBootClock, mOptions.mSelf.mAvailabilityZone, mOptions.mSelf.mRegion)
  , mStorePath({},
               mBootClock,
               mOptions.mSelf.mName,
               mView,
               mHooks.mStore,
               [this](http::Endpoint aPeer,
                      StoreRequest aRequest,
                      Milliseconds aTimeout) {
                 return mPeers->CallStore(
                   std::move(aPeer), std::move(aRequest), aTimeout);
               })
  , mStore([this](StoreRequest aRequest) {
    return mStorePath.Call(std::move(aRequest));
  })
  , mFleetWatch({},
                mExecutor,
                mBootClock,
                mOptions.mSelf.mName,
                mView,
                mHooks.mWatch,
                [this](http::Endpoint aPeer,
                       PeerWatchRequest aRequest,
                       Milliseconds aTimeout) {
                  return mPeers->Watch(
                    std::move(aPeer), std::move(aRequest), aTimeout);
                })
  , mPool(mView, mClock, ProcessRandom())
  , mForwarder(mExecutor, mPool, mHooks.mCall, mClock, ProcessRandom())
  , mStepStore(mStore, mHooks.mWatch)
  , mStepContext{ mExecutor,      mView,
                  mPool,          mForwarder,
                  mHooks.mStream, mStepStore,
                  mClock,         [this] { return mWallClock.Now(); },
                  mOwner }
  , mRunner(mStepContext)
  , mSteps(mStepContext, mRunner)
  , mPlacer(
      {},
      mClock,
      mOptions.mSelf.mName,
      mView,
      [this](steps::StepSubmission aSubmission, TimePoint aDeadline) {
        return mSteps.Submit(std::move(aSubmission), aDeadline);
      },
      [this](http::Endpoint aPeer,
             steps::StepSubmission aSubmission,
             Milliseconds aTimeout) {
        return mPeers->Submit(
          std::move(aPeer), std::move(aSubmission), aTimeout);
      })
  , mRegistry(
      {},
      mOptions.mSelf,
      mView,
      mStore,
      [this](WatchRequest aRequest) {
        return mFleetWatch.Watch(std::move(aRequest));
      },
      mBootClock)
  , mTakeover({}, mClock, mOptions.mSelf.mName)
  , mUsage(
      mOptions.mUsage,
      mStore,
      [this] { return mWallClock.Now(); },
      mOwner)
{
  mView.SetRegions(mOptions.mRegions);
  mView.SetMaxStaleness(mOptions.mMaxRevocationDelay - kRevocationMargin);
  mView.mOnChange = [this] { mRunner.StartWaitingItems(); };
}

void EntryDaemon::Start()
{
  mRunner.Start();
  asio::co_spawn(mExecutor, FollowOperator(), asio::detached);
  asio::co_spawn(mExecutor, FollowReplicas(), asio::detached);
  asio::co_spawn(mExecutor, mRegistry.Register(), asio::detached);
  asio::co_spawn(mExecutor, mRegistry.Follow(), asio::detached);
  asio::co_spawn(mExecutor, Lead(), asio::detached);
  asio::co_spawn(mExecutor, CountLoop(), asio::detached);
  asio::co_spawn(mExecutor, RecoverLoop(), asio::detached);
}

Awaitable<void> EntryDaemon::BeginDrain()
{
  mDraining = true;
  co_await mRegistry.BeginDrain();
  co_await mLeadership->Resign();
}

Awaitable<void> EntryDaemon::Shutdown()
{
  co_await mRunner.Checkpoint();
  co_await mUsage.Store(true);
  co_await mRegistry.Deregister();
}

/// Accepts a step that another daemon passes on.
Awaitable<Result<steps::SubmitOutcome>> EntryDaemon::SubmitForPeer(
  steps::StepSubmission aSubmission)
{
  if (!Ready()) {
    co_return steps::SubmitOutcome::Refused;
  }
  const StepPlacerOptions placing;
  co_return co_await mSteps.Submit(std::move(aSubmission),
                                   mClock() + placing.mPeerTimeout -
                                     placing.mPeerMargin);
}

void EntryDaemon::CountUsage(const std::string& aAccount, TimePoint aBegan)
{
  const auto age = std::chrono::duration_cast<Milliseconds>(mClock() - aBegan);
  mUsage.Count(aAccount, mWallClock.Now() - age.count());
}

Awaitable<void> EntryDaemon::Follow(PrefixWatchOptions aOptions,
                                    PrefixWatchHooks aHooks)
{
  return WatchPrefix(
    std::move(aOptions),
    std::move(aHooks),
    mStore,
    [this](WatchRequest aRequest) {
      return mFleetWatch.Watch(std::move(aRequest));
    },
    mBootClock);
}

Awaitable<void> EntryDaemon::FollowOperator()
{
  PrefixWatchOptions options;
  options.mPrefix = mHooks.mOperatorPrefix;
  options.mWait = kOperatorWatch;
  PrefixWatchHooks hooks;
  hooks.mReset = [this](const std::vector<StoreEntry>& aEntries) {
    for (const StoreEntry& entry : aEntries) {
      TakeOperatorEntry(entry);
    }
  };
  hooks.mChange = [this](const StoreChange& aChange) {
    if (!aChange.mRemoved) {
      TakeOperatorEntry(aChange.mEntry);
    }
  };
  hooks.mConfirmed = [this](TimePoint aProof) { mView.MarkFresh(aProof); };
  hooks.mFailed = [this](const Error& aError) {
    if (mClock() - mStoreFailed > kOutageMemory) {
      Event("store_lost", LogLevel::Warning)
        .Field("error", FormatError(aError))
        .Write();
    }
    mStoreFailed = mClock();
  };
  co_await Follow(std::move(options), std::move(hooks));
}

void EntryDaemon::TakeOperatorEntry(const StoreEntry& aEntry)
{
  const auto decoded = mHooks.mDecodeOperatorEntry(aEntry);
  if (decoded.has_error()) {
    Event("operator_entry_ignored", LogLevel::Warning)
      .Field("key", aEntry.mKey)
      .Field("error", FormatError(decoded.error()))
      .Write();
    return;
  }
  if (decoded->mConfig && mView.UpdateConfig(decoded->mConfig)) {
    Event("config")
      .Field("version", decoded->mConfig->mVersion)
      .Field("revision", aEntry.mModRevision)
      .Write();
    if (mOnConfig) {
      mOnConfig(*decoded->mConfig);
    }
  }
  if (decoded->mVersion) {
    Event("version_named")
      .Field("model", decoded->mVersion->mModel)
      .Field("version", decoded->mVersion->mVersion)
      .Write();
    mView.RecordPublishedVersion(decoded->mVersion->mModel,
                                 decoded->mVersion->mVersion);
  }
  if (decoded->mHostToEmpty) {
    mHostsToEmpty.insert(*decoded->mHostToEmpty);
  }
}

Awaitable<void> EntryDaemon::FollowReplicas()
{
  PrefixWatchOptions options;
  options.mPrefix = mHooks.mReplicaPrefix;
  options.mWait = kReplicaWatch;
  PrefixWatchHooks hooks;
  hooks.mReset = [this](const std::vector<StoreEntry>& aEntries) {
    ResetReplicas(aEntries);
  };
  hooks.mChange = [this](const StoreChange& aChange) {
    ChangeReplica(aChange);
  };
  hooks.mConfirmed = [this](TimePoint) { RemoveLapsedReplicas(); };
  hooks.mFailed = [this](const Error&) { mStoreFailed = mClock(); };
  co_await Follow(std::move(options), std::move(hooks));
}

void EntryDaemon::TakeReplica(const StoreEntry& aEntry)
{
  auto replica = mHooks.mDecodeReplica(aEntry);
  if (replica.has_error()) {
    Event("replica_ignored", LogLevel::Warning)
      .Field("key", aEntry.mKey)
      .Field("error", FormatError(replica.error()))
      .Write();
    return;
  }
  const fleet::Replica* known = mView.FindReplica(replica->mId);
  if (known == nullptr || known->mDraining != replica->mDraining) {
    Event("replica")
      .Field("replica", replica->mId)
      .Field("upstream", replica->mService)
      .Field("availability_zone", replica->mAvailabilityZone)
      .Field("preemptible", replica->mPreemptible)
      .Field("draining", replica->mDraining)
      .Write();
  }
  mLapsedReplicas.erase(replica->mId);
  mView.PutReplica(std::move(*replica));
}

void EntryDaemon::ResetReplicas(const std::vector<StoreEntry>& aEntries)
{
  std::set<std::string_view> present;
  for (const StoreEntry& entry : aEntries) {
    present.insert(
      std::string_view(entry.mKey).substr(mHooks.mReplicaPrefix.size()));
    TakeReplica(entry);
  }
  for (const auto& [id, replica] : mView.Replicas()) {
    if (!present.contains(id)) {
      mLapsedReplicas.try_emplace(id, mClock() + kLapseTime);
    }
  }
  RemoveLapsedReplicas();
}

void EntryDaemon::ChangeReplica(const StoreChange& aChange)
{
  if (!aChange.mRemoved) {
    TakeReplica(aChange.mEntry);
    return;
  }
  const std::string id =
    aChange.mEntry.mKey.substr(mHooks.mReplicaPrefix.size());
  const bool outage =
    mStoreFailed != TimePoint{} && mClock() - mStoreFailed < kOutageMemory;
  mLapsedReplicas.try_emplace(id, outage ? mClock() + kLapseTime : mClock());
  RemoveLapsedReplicas();
}

void EntryDaemon::RemoveLapsedReplicas()
{
  for (auto lapsed = mLapsedReplicas.begin();
       lapsed != mLapsedReplicas.end();) {
    if (mClock() < lapsed->second) {
      ++lapsed;
      continue;
    }
    Event("replica_gone").Field("replica", lapsed->first).Write();
    mView.RemoveReplica(lapsed->first);
    lapsed = mLapsedReplicas.erase(lapsed);
  }
}

Awaitable<void> EntryDaemon::Lead()
{
  asio::steady_timer timer(mExecutor);
  for (;;) {
    timer.expires_after(kDutyInterval);
    co_await timer.async_wait(asio::use_awaitable);
    co_await mLeadership->Maintain();
    mMover->Review();
    mCapacity->Review();
    if (mLeadership->MayAct()) {
      co_await AnswerEmptiedHosts();
    }
  }
}

/// Hosts with a disk hold nothing that must last, so they are empty at once.
Awaitable<void> EntryDaemon::AnswerEmptiedHosts()
{
  const std::set<std::string> hosts = mHostsToEmpty;
  for (const std::string& host : hosts) {
    if (mHostsEmptied.contains(host)) {
      continue;
    }
    TransactionRequest write;
    write.mPuts.push_back(mHooks.mEncodeHostEmptied(host));
    StoreRequest request = std::move(write);
    const auto written = co_await mStore(std::move(request));
    if (written.has_value()) {
      mHostsEmptied.insert(host);
      Event("host_emptied").Field("host", host).Write();
    }
  }
}

Awaitable<void> EntryDaemon::CountLoop()
{
  asio::steady_timer timer(mExecutor);
  for (;;) {
    timer.expires_after(kCountInterval);
    co_await timer.async_wait(asio::use_awaitable);
    co_await mUsage.Store(false);
    if (mLeadership->MayAct()) {
      co_await mUsage.Report(*mLeadership, mHooks.mReportUsage);
    }
  }
}

/// Steps whose owner has gone are taken over by one daemon of their region;
/// the leader takes what is left.
Awaitable<void> EntryDaemon::RecoverLoop()
{
  asio::steady_timer timer(mExecutor);
  TimePoint last = mClock();
  while (!mDraining) {
    timer.expires_after(kRecoverDelay);
    co_await timer.async_wait(asio::use_awaitable);
    mTakeover.Update(mView.Hosts());
    const bool sweep =
      mLeadership->MayAct() && mClock() - last >= kRecoverInterval;
    if (!mTakeover.Due() && !mSteps.NeedsRecovery() && !sweep) {
      continue;
    }
    std::set<std::string> live;
    for (const auto& [name, host] : mView.Hosts()) {
      live.insert(steps::OwnerName(name, host.mIncarnation));
    }
    std::function<bool(const steps::StepRecord&)> mine =
      [this, sweep](const steps::StepRecord& aRecord) {
        return sweep ||
               mTakeover.Takes(aRecord.mId, aRecord.mOwner, aRecord.mRegion);
      };
    const bool seen =
      co_await mSteps.Recover(std::move(live), std::move(mine), sweep);
    if (seen) {
      mTakeover.Done();
    }
    if (sweep) {
      last = mClock();
      mMover->SetDemand(mSteps.TokenDemand());
      mCapacity->SetDemand(mSteps.PeakItems());
    }
  }
}

} // namespace agatetide::entry
