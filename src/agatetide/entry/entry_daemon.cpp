#include "agatetide/entry/entry_daemon.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/event_log.hpp"
#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace agatetide::entry {

namespace asio = boost::asio;
using namespace coordination;

namespace {

/// Time allowed between the check of a request's key and the start of the
/// request at a replica, including a margin.
constexpr std::chrono::milliseconds kKeyWithdrawalMargin{ 700 };
/// Data is known to be fresh as of the start of a watch, so two watches and the
/// failure of the watched daemon must fit into the maximum staleness.
constexpr std::chrono::milliseconds kOperatorWatchTimeout{ 1400 };
/// A lost connection is detected within this time plus the margin of the watch.
constexpr std::chrono::milliseconds kReplicaWatchTimeout{ 1800 };
constexpr std::chrono::milliseconds kDutyInterval{ 100 };
/// Writes that one pass of the duties may send for retired hosts, so that the
/// leadership is renewed in time.
constexpr size_t kMaxEmptiedHostsPerPass = 4;
constexpr std::chrono::milliseconds kUsageInterval{ 250 };
constexpr std::chrono::milliseconds kPathInterval{ 500 };
constexpr std::chrono::milliseconds kRecoveryCallTimeout{ 500 };

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
    { daemon->mOptions.mPeerListen, daemon->mOptions.mMaxPeerConnections },
    { [watch = &daemon->mFleetWatch](PeerWatchRequest aRequest) {
       return watch->ServePeer(std::move(aRequest));
     },
      [router = &daemon->mStoreRouter](StoreRequest aRequest) {
        return router->ServePeer(std::move(aRequest));
      },
      [self = daemon.get()](steps::StepSubmission aSubmission) {
        return self->SubmitForPeer(std::move(aSubmission));
      },
      [relay = &daemon->mRelayServer](const http::Request& aRequest) {
        return relay->Handle(aRequest);
      },
      [self = daemon.get()] { self->mRecovery.Request(); },
      [self = daemon.get()](const StepOffer& aOffer) {
        return self->mRecovery.Accept(aOffer);
      },
      [pool = &daemon->mPool](size_t aMaxBytes) {
        return pool->ExportLoads(aMaxBytes);
      },
      [pool = &daemon->mPool](std::string_view aLoads,
                              std::string_view aSender) {
        pool->ImportLoads(aLoads, aSender);
      } },
    daemon->mOptions.mPeerResponses,
    daemon->mOptions.mConnectionMemory);
  if (peers.has_error()) {
    return peers.error();
  }
  daemon->mPeerChannel = std::move(*peers);
  daemon->mVersionUpdater.emplace(
    duty::VersionUpdaterOptions{},
    daemon->mExecutor,
    daemon->mView,
    *daemon->mLeadership,
    [self = daemon.get()](http::Endpoint aReplica, duty::VersionOrder aOrder) {
      return self->CheckPathsAfter(
        self->mHooks.mSendVersionOrder(std::move(aReplica), std::move(aOrder)));
    },
    [self = daemon.get()](http::Endpoint aReplica, std::string aReplicaId) {
      return self->CheckPathsAfter(self->mHooks.mReadReplicaStatus(
        std::move(aReplica), std::move(aReplicaId)));
    },
    daemon->mClock);
  daemon->mAutoscaler.emplace(duty::AutoscalerOptions{},
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
  , mStoreRouter({},
                 mBootClock,
                 mOptions.mSelf.mName,
                 mView,
                 mHooks.mStore,
                 [this](http::Endpoint aPeer,
                        StoreRequest aRequest,
                        Milliseconds aTimeout) {
                   return mPeerChannel->CallStore(
                     std::move(aPeer), std::move(aRequest), aTimeout);
                 })
  , mStore([this](StoreRequest aRequest) {
    return mStoreRouter.Call(std::move(aRequest));
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
                  return mPeerChannel->Watch(
                    std::move(aPeer), std::move(aRequest), aTimeout);
                })
  , mPool(mView, mClock, ProcessRandom(), mOptions.mSelf.mName)
  , mOperatorEntries(mHooks.mDecodeOperatorEntry, mView, mClock)
  , mReplicas(mHooks.mReplicaPrefix,
              mHooks.mDecodeReplica,
              mView,
              mPool.Limits(),
              mClock)
  , mReachability({},
                  mExecutor,
                  mView,
                  mHooks.mConnectToReplica,
                  mClock,
                  ProcessRandom())
  , mCallReplica([this](http::Endpoint aReplica,
                        request::UpstreamRequest aRequest,
                        std::shared_ptr<http::CancelHandle> aCancel) {
    return mHooks.mCallReplica(std::move(aReplica),
                               ObserveReports(std::move(aRequest)),
                               std::move(aCancel));
  })
  , mStreamFromReplica([this](http::Endpoint aReplica,
                              request::UpstreamRequest aRequest,
                              request::StreamOptions aStream) {
    return mHooks.mStreamFromReplica(std::move(aReplica),
                                     ObserveReports(std::move(aRequest)),
                                     std::move(aStream));
  })
  , mRelayClient(mExecutor, mOptions.mRelayedResponses)
  , mRelayServer({},
                 mExecutor,
                 mView,
                 mReachability,
                 mCallReplica,
                 mStreamFromReplica)
  , mReplicaRouter({},
                   mClock,
                   ProcessRandom(),
                   mOptions.mSelf.mName,
                   mView,
                   mReachability,
                   mCallReplica,
                   mStreamFromReplica,
                   [this](http::Endpoint aPeer,
                          http::Endpoint aReplica,
                          request::UpstreamRequest aRequest,
                          const request::StreamOptions* aStream,
                          std::shared_ptr<http::CancelHandle> aCancel) {
                     return mRelayClient.Send(
                       std::move(aPeer),
                       std::move(aReplica),
                       ObserveReports(std::move(aRequest)),
                       aStream,
                       std::move(aCancel));
                   })
  , mCrashDetector({},
                   mExecutor,
                   mView,
                   mReachability,
                   mHooks.mConnectToReplica,
                   mClock)
  , mCrashSuspects({},
                   mExecutor,
                   mCrashDetector,
                   mOptions.mSelf.mName,
                   mBootClock,
                   [this](request::CrashRecord aTrial) {
                     return mCrashRecords.ClaimTrial(std::move(aTrial));
                   })
  , mCrashRecords({}, mExecutor, mCrashSuspects.Table(), mStore, mBootClock)
  , mForwarder(
      mExecutor,
      mPool,
      mCrashSuspects,
      [this](http::Endpoint aReplica,
             request::UpstreamRequest aRequest,
             std::shared_ptr<http::CancelHandle> aCancel) {
        return mReplicaRouter.Call(
          std::move(aReplica), std::move(aRequest), std::move(aCancel));
      },
      mClock,
      ProcessRandom())
  , mStreamOrigins(mExecutor, mStore, mBootClock)
  , mStreams(mView, mForwarder, mStreamOrigins)
  , mStepStore(mStore, mHooks.mWatch)
  , mStepContext{ mExecutor,
                  mView,
                  mPool,
                  mForwarder,
                  [this](http::Endpoint aReplica,
                         request::UpstreamRequest aRequest,
                         request::StreamOptions aStream) {
                    return mReplicaRouter.Stream(std::move(aReplica),
                                                 std::move(aRequest),
                                                 std::move(aStream));
                  },
                  mStepStore,
                  mClock,
                  [this] { return mWallClock.Now(); },
                  mOwner,
                  mOptions.mTextBudget,
                  mOptions.mItemBudget,
                  mOptions.mConnectionMemory
                    ? mOptions.mConnectionMemory->Parts().mResponses
                    : nullptr }
  , mRunner(mStepContext)
  , mSteps(mStepContext, mRunner)
  , mStepRouter(
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
        return mPeerChannel->Submit(
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
  , mRecovery(mExecutor,
              mClock,
              mOptions.mSelf.mName,
              mView,
              mSteps,
              MakeRecoveryHooks())
  , mUsage(
      mOptions.mUsage,
      mStore,
      [this] { return mWallClock.Now(); },
      mOwner)
{
  mView.SetRegions(mOptions.mRegions);
  mView.SetMaxStaleness(mOptions.mMaxKeyWithdrawalDelay - kKeyWithdrawalMargin);
  mOperatorEntries.mOnConfig = [this](const fleet::ServiceConfig& aConfig) {
    if (mOnConfig) {
      mOnConfig(aConfig);
    }
  };
  mView.mOnChange = [this] { mRunner.StartWaitingItems(); };
  mRegistry.mOnListStart = [this] { mCrashRecords.BeginList(); };
  mRegistry.mOnPage = [this](std::span<const StoreEntry> aEntries) {
    mCrashRecords.PutPage(aEntries);
  };
  mRegistry.mOnListEnd = [this] { mCrashRecords.EndList(); };
  mRegistry.mOnChange = [this](const StoreChange& aChange) {
    mCrashRecords.ApplyChange(aChange);
  };
  mReachability.mOnChange = [this](bool aCutOff) {
    ApplyReachability(aCutOff);
  };
}

StepRecoveryHooks EntryDaemon::MakeRecoveryHooks()
{
  StepRecoveryHooks hooks;
  hooks.mMayLead = [this] { return mLeadership->MayAct(); };
  hooks.mRegionsOf = [this](const steps::StepRecord& aRecord) {
    return RegionsOf(aRecord);
  };
  hooks.mRequestRecovery = [this](http::Endpoint aPeer) {
    return mPeerChannel->RequestRecovery(std::move(aPeer),
                                         kRecoveryCallTimeout);
  };
  hooks.mOfferStep = [this](http::Endpoint aPeer, StepOffer aOffer) {
    return mPeerChannel->OfferStep(
      std::move(aPeer), std::move(aOffer), kRecoveryCallTimeout);
  };
  hooks.mOnSweep = [this] {
    mVersionUpdater->SetTokenDemand(mSteps.Demand().Tokens(),
                                    mSteps.Demand().Rule());
    mAutoscaler->SetPeakItems(mSteps.Demand().PeakItems());
  };
  return hooks;
}

void EntryDaemon::Start()
{
  mRunner.Start();
  const auto keep = [this](std::string_view aTask, auto aStart) {
    SpawnSupervised(mExecutor, aTask, std::move(aStart));
  };
  keep("watch_operator_entries", [this] { return WatchOperatorEntries(); });
  keep("watch_replicas", [this] { return WatchReplicas(); });
  keep("register", [this] { return mRegistry.MaintainRegistration(); });
  keep("watch_hosts", [this] { return mRegistry.WatchHosts(); });
  keep("duties", [this] { return DutyLoop(); });
  keep("usage", [this] { return UsageLoop(); });
  keep("recover_steps", [this] { return mRecovery.Run(); });
  keep("check_paths", [this] { return PathLoop(); });
  keep("crash_records", [this] { return mCrashRecords.Maintain(); });
}

Awaitable<void> EntryDaemon::BeginDrain(TimePoint aEnd)
{
  mDraining = true;
  mRecovery.Stop();
  mRelayServer.BeginDrain(aEnd);
  co_await mRegistry.BeginDrain();
  co_await mLeadership->Resign();
}

Awaitable<void> EntryDaemon::Shutdown()
{
  co_await mRunner.Checkpoint();
  co_await mUsage.Store(true);
  co_await mRegistry.Deregister();
}

/// Accepts a step that another daemon forwards.
Awaitable<Result<steps::SubmitOutcome>> EntryDaemon::SubmitForPeer(
  steps::StepSubmission aSubmission)
{
  // The sender may have an older configuration.
  if (!IsReady() ||
      !fleet::Includes(mView.Config()->AllowedRegions(aSubmission.mHttpHost,
                                                      aSubmission.mPath,
                                                      aSubmission.mAccount),
                       mView.Region())) {
    co_return steps::SubmitOutcome::Refused;
  }
  const StepRouterOptions options;
  co_return co_await mSteps.Submit(std::move(aSubmission),
                                   mClock() + options.mPeerTimeout -
                                     options.mPeerRoundTripMargin);
}

void EntryDaemon::CountUsage(const std::string& aAccount, TimePoint aStartTime)
{
  const auto age =
    std::chrono::duration_cast<Milliseconds>(mClock() - aStartTime);
  mUsage.Count(aAccount, mWallClock.Now() - age.count());
}

Awaitable<void> EntryDaemon::WatchKeys(PrefixWatchOptions aOptions,
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

Awaitable<void> EntryDaemon::WatchOperatorEntries()
{
  PrefixWatchOptions options;
  options.mPrefix = mHooks.mOperatorPrefix;
  options.mMaxWait = kOperatorWatchTimeout;
  PrefixWatchHooks hooks;
  hooks.mOnListStart = [this] { mOperatorEntries.BeginList(); };
  hooks.mOnPage = [this](std::span<const StoreEntry> aEntries) {
    mOperatorEntries.PutPage(aEntries);
  };
  hooks.mOnListEnd = [this] { mOperatorEntries.EndList(); };
  hooks.mOnPartialList = [this] { mOperatorEntries.EndPartialList(); };
  hooks.mOnChange = [this](const StoreChange& aChange) {
    mOperatorEntries.Apply(aChange);
  };
  hooks.mOnFresh = [this](TimePoint aAsOf) {
    mView.MarkFresh(aAsOf);
    mWasFresh = mWasFresh || mView.IsFresh();
  };
  hooks.mOnError = [this](const Error& aError) {
    if (!mReplicas.IsOutageRecent()) {
      LogEvent("store_lost", LogLevel::Warning)
        .Field("error", FormatError(aError))
        .Write();
    }
    mReplicas.RecordStoreFailure();
  };
  co_await WatchKeys(std::move(options), std::move(hooks));
}

Awaitable<void> EntryDaemon::WatchReplicas()
{
  PrefixWatchOptions options;
  options.mPrefix = mHooks.mReplicaPrefix;
  options.mMaxWait = kReplicaWatchTimeout;
  PrefixWatchHooks hooks;
  hooks.mOnListStart = [this] { mReplicas.BeginList(); };
  hooks.mOnPage = [this](std::span<const StoreEntry> aEntries) {
    mReplicas.PutPage(aEntries);
  };
  hooks.mOnListEnd = [this] { mReplicas.EndList(); };
  hooks.mOnPartialList = [this] { mReplicas.EndPartialList(); };
  hooks.mOnChange = [this](const StoreChange& aChange) {
    mReplicas.Apply(aChange);
  };
  hooks.mOnFresh = [this](TimePoint) { mReplicas.RemoveExpired(); };
  hooks.mOnError = [this](const Error&) { mReplicas.RecordStoreFailure(); };
  co_await WatchKeys(std::move(options), std::move(hooks));
}

Awaitable<void> EntryDaemon::DutyLoop()
{
  asio::steady_timer timer(mExecutor);
  for (;;) {
    timer.expires_after(kDutyInterval);
    co_await timer.async_wait(asio::use_awaitable);
    ShareRequestLimits();
    co_await mLeadership->Maintain();
    mVersionUpdater->Reconcile();
    mAutoscaler->Reconcile();
    if (mLeadership->MayAct()) {
      co_await ReportEmptiedHosts();
    }
  }
}

/// Makes a call to a replica, and checks the paths to replicas if it failed.
template<class T>
Awaitable<Result<T>> EntryDaemon::CheckPathsAfter(Awaitable<Result<T>> aCall)
{
  auto result = co_await std::move(aCall);
  if (result.has_error() && request::MayBePathFailure(result.error())) {
    co_await mReachability.CheckAfterFailure();
  }
  co_return result;
}

/// Checks the paths to replicas when idle connections failed, so that a host
/// without requests notices that it is cut off, too.
Awaitable<void> EntryDaemon::PathLoop()
{
  asio::steady_timer timer(mExecutor);
  for (;;) {
    timer.expires_after(kPathInterval);
    co_await timer.async_wait(asio::use_awaitable);
    if (mHooks.mDropEndedConnections() > 0) {
      co_await mReachability.CheckAfterFailure();
    }
  }
}

/// Tells the other hosts whether this one reaches replicas. Replicas that
/// failed because of the cut are usable through other hosts at once.
void EntryDaemon::ApplyReachability(bool aCutOff)
{
  mRegistry.AnnounceCutOff(aCutOff);
  mPool.UnblockAll();
}

request::UpstreamRequest EntryDaemon::ObserveReports(
  request::UpstreamRequest aRequest)
{
  aRequest.mOnReport = [this,
                        replica = aRequest.mReplicaId,
                        next = std::move(aRequest.mOnReport)](
                         const request::ReplicaReport& aReport) {
    mPool.Limits().Record(replica, { aReport.mRequestLimit, aReport.mSentAt });
    if (aReport.mLoad) {
      mPool.RecordHeaderLoad(replica, *aReport.mLoad);
    }
    if (aReport.mDraining) {
      mReplicas.RecordDraining(replica);
    }
    if (next) {
      next(aReport);
    }
  };
  return aRequest;
}

/// Announces which limited replicas this host uses, and divides their limits
/// among the hosts that use them.
void EntryDaemon::ShareRequestLimits()
{
  mRegistry.AnnounceRequestLimits(mPool.Limits().Announcement());
  mPool.Limits().UpdateShares(mRegistry.AnnouncedReplicas());
}

/// Reports hosts as empty immediately, since hosts with a disk hold no data
/// that must be preserved.
Awaitable<void> EntryDaemon::ReportEmptiedHosts()
{
  const std::set<std::string> hosts = mOperatorEntries.DiskHostsToRetire();
  size_t writes = 0;
  for (const std::string& host : hosts) {
    if (mEmptiedHosts.contains(host)) {
      continue;
    }
    if (++writes > kMaxEmptiedHostsPerPass) {
      co_return;
    }
    TransactionRequest write;
    write.mPuts.push_back(mHooks.mEncodeHostRetired(host));
    StoreRequest request = std::move(write);
    const auto written = co_await mStore(std::move(request));
    if (written.has_error()) {
      LogEvent("host_emptied_not_reported", LogLevel::Warning)
        .Field("host", host)
        .Field("error", FormatError(written.error()))
        .Write();
      co_return;
    }
    mEmptiedHosts.insert(host);
    LogEvent("host_emptied").Field("host", host).Write();
  }
}

Awaitable<void> EntryDaemon::UsageLoop()
{
  asio::steady_timer timer(mExecutor);
  for (;;) {
    timer.expires_after(kUsageInterval);
    co_await timer.async_wait(asio::use_awaitable);
    co_await mUsage.Store(false);
    if (mLeadership->MayAct()) {
      co_await mUsage.Report(*mLeadership, mHooks.mReportUsage);
    }
  }
}

std::optional<fleet::RegionSet> EntryDaemon::RegionsOf(
  const steps::StepRecord& aRecord) const
{
  const auto& config = mView.Config();
  return config ? config->AllowedRegions(
                    aRecord.mHttpHost, aRecord.mPath, aRecord.mAccount)
                : std::nullopt;
}

} // namespace agatetide::entry
