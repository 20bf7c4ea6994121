#pragma once

#include "agatetide/base/steady_wall_clock.hpp"
#include "agatetide/duty/autoscaler.hpp"
#include "agatetide/duty/leadership.hpp"
#include "agatetide/duty/usage_ledger.hpp"
#include "agatetide/duty/version_updater.hpp"
#include "agatetide/entry/crash_records.hpp"
#include "agatetide/entry/fleet_watch.hpp"
#include "agatetide/entry/host_registry.hpp"
#include "agatetide/entry/operator_entries.hpp"
#include "agatetide/entry/peer_channel.hpp"
#include "agatetide/entry/replica_registrations.hpp"
#include "agatetide/entry/replica_relay.hpp"
#include "agatetide/entry/replica_router.hpp"
#include "agatetide/entry/step_recovery.hpp"
#include "agatetide/entry/step_router.hpp"
#include "agatetide/entry/store_router.hpp"
#include "agatetide/entry/stream_forwarder.hpp"
#include "agatetide/request/forwarder.hpp"
#include "agatetide/steps/step_service.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>

namespace agatetide::entry {

/// @brief The calls and encodings that connect the daemon to a platform.
struct PlatformHooks
{
  coordination::StoreCall mStore;
  coordination::WatchCall mWatch;
  request::UpstreamCall mCallReplica;
  request::UpstreamStreamCall mStreamFromReplica;
  request::ConnectCall mConnectToReplica;
  duty::VersionOrderCall mSendVersionOrder;
  duty::ReplicaStatusCall mReadReplicaStatus;
  duty::UsageReportCall mReportUsage;
  duty::CapacityOrderCall mSendCapacityOrder;
  /// Store prefixes of the operator's keys and of the replicas' registrations.
  std::string mOperatorPrefix;
  std::string mReplicaPrefix;
  DecodeOperatorCall mDecodeOperatorEntry;
  DecodeReplicaCall mDecodeReplica;
  /// Drops idle connections to replicas that ended, and returns how many of
  /// them failed.
  std::function<size_t()> mDropEndedConnections;
  /// The entry that reports that a host with a disk holds no data.
  std::function<coordination::StorePut(std::string_view aHost)>
    mEncodeHostRetired;
};

struct EntryOptions
{
  fleet::EntryHost mSelf;
  /// Listen address for other daemons; port 0 disables it.
  http::Endpoint mPeerListen;
  /// Connections that other daemons may open.
  size_t mMaxPeerConnections = 512;
  /// Region by availability zone.
  std::map<std::string, std::string, std::less<>> mRegions;
  /// Maximum time from the withdrawal of a key until requests with it are
  /// refused.
  Milliseconds mMaxKeyWithdrawalDelay{ 5000 };
  duty::UsageOptions mUsage;
  /// For the answers of other daemons.
  http::ResponseLimits mPeerResponses;
  /// For responses of replicas that other daemons pass on.
  http::ResponseLimits mRelayedResponses;
  /// For the texts of samples that are not complete; null if unlimited.
  std::shared_ptr<MemoryBudget> mTextBudget;
  /// For the items of the steps that run here; null if unlimited.
  std::shared_ptr<MemoryBudget> mItemBudget;
  /// For the connections of other hosts; null if unlimited.
  std::shared_ptr<http::ConnectionMemory> mConnectionMemory;
};

/// @brief The daemon of an entry host: creates its components, connects them
/// and runs their loops, all on one executor. Not thread-safe.
class EntryDaemon
{
public:
  /// @brief Errors: those of Leadership::Create() and PeerChannel::Create().
  static Result<std::unique_ptr<EntryDaemon>> Create(
    boost::asio::any_io_executor aExecutor,
    EntryOptions aOptions,
    PlatformHooks aHooks);

  /// @brief Starts all loops. Call once.
  void Start();

  /// @brief Resigns as leader and announces that this host accepts no new
  /// callers. Running steps continue, and attempts of other hosts that end
  /// before aEnd are sent.
  Awaitable<void> BeginDrain(TimePoint aEnd);

  /// @brief Stores the state that other hosts need to continue the work of this
  /// one, and deregisters it. Call it last, before the process exits.
  Awaitable<void> Shutdown();

  /// @brief Whether this host accepts new callers: it knows the configuration
  /// and the replicas, as far as they can be read, and is not about to stop.
  /// What a list that was read for long says may be too old at its end.
  bool IsReady() const
  {
    const bool isConfigUsable = mWasFresh || mOperatorEntries.ArePartial();
    return !mDraining && mView.Config() != nullptr && isConfigUsable &&
           mOperatorEntries.AreKnown() && mReplicas.AreKnown();
  }

  const fleet::FleetView& View() const { return mView; }
  request::ReplicaPool& Pool() { return mPool; }
  request::Forwarder& Forwarder() { return mForwarder; }
  ReplicaRegistrations& Replicas() { return mReplicas; }
  StreamForwarder& Streams() { return mStreams; }
  steps::StepService& Steps() { return mSteps; }
  StepRouter& Router() { return mStepRouter; }
  steps::StepRunner& Runner() { return mRunner; }

  /// @brief Counts a request of a client account. aStartTime is a time of
  /// Now().
  void CountUsage(const std::string& aAccount, TimePoint aStartTime);

  TimePoint Now() const { return mClock(); }

  /// @brief Called with each new configuration. May be empty.
  std::function<void(const fleet::ServiceConfig&)> mOnConfig;

private:
  EntryDaemon(boost::asio::any_io_executor aExecutor,
              EntryOptions aOptions,
              PlatformHooks aHooks);

  /// Watches a prefix of the store through mFleetWatch.
  Awaitable<void> WatchKeys(PrefixWatchOptions aOptions,
                            PrefixWatchHooks aHooks);
  Awaitable<void> WatchOperatorEntries();
  Awaitable<void> WatchReplicas();
  Awaitable<void> DutyLoop();
  Awaitable<void> UsageLoop();
  Awaitable<void> PathLoop();
  template<class T>
  Awaitable<Result<T>> CheckPathsAfter(Awaitable<Result<T>> aCall);
  Awaitable<void> ReportEmptiedHosts();
  void ShareRequestLimits();
  void ApplyReachability(bool aCutOff);
  request::UpstreamRequest ObserveReports(request::UpstreamRequest aRequest);
  /// The regions whose hosts may run the step; std::nullopt allows all.
  std::optional<fleet::RegionSet> RegionsOf(
    const steps::StepRecord& aRecord) const;
  StepRecoveryHooks MakeRecoveryHooks();
  Awaitable<Result<steps::SubmitOutcome>> SubmitForPeer(
    steps::StepSubmission aSubmission);

  boost::asio::any_io_executor mExecutor;
  EntryOptions mOptions;
  PlatformHooks mHooks;
  /// For timers and deadlines.
  Clock mClock;
  /// Also counts while this host is suspended. For the staleness of data that
  /// other hosts may change in the meantime.
  Clock mBootClock;
  SteadyWallClock mWallClock;
  std::string mOwner;
  fleet::FleetView mView;
  std::unique_ptr<PeerChannel> mPeerChannel;
  StoreRouter mStoreRouter;
  coordination::StoreCall mStore;
  FleetWatch mFleetWatch;
  request::ReplicaPool mPool;
  OperatorEntries mOperatorEntries;
  ReplicaRegistrations mReplicas;
  request::ReachabilityMonitor mReachability;
  /// Send attempts directly, and record what the responses say of replicas.
  request::UpstreamCall mCallReplica;
  request::UpstreamStreamCall mStreamFromReplica;
  RelayClient mRelayClient;
  RelayServer mRelayServer;
  ReplicaRouter mReplicaRouter;
  request::CrashDetector mCrashDetector;
  request::CrashSuspects mCrashSuspects;
  CrashRecords mCrashRecords;
  request::Forwarder mForwarder;
  StreamOrigins mStreamOrigins;
  StreamForwarder mStreams;
  steps::StepStore mStepStore;
  steps::StepContext mStepContext;
  steps::StepRunner mRunner;
  steps::StepService mSteps;
  StepRouter mStepRouter;
  HostRegistry mRegistry;
  StepRecovery mRecovery;
  duty::UsageLedger mUsage;
  std::optional<duty::Leadership> mLeadership;
  std::optional<duty::VersionUpdater> mVersionUpdater;
  std::optional<duty::Autoscaler> mAutoscaler;
  bool mDraining = false;
  /// Whether the configuration was fresh since the start.
  bool mWasFresh = false;
  std::set<std::string> mEmptiedHosts;
};

} // namespace agatetide::entry
