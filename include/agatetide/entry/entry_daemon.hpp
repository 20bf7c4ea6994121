#pragma once

#include "agatetide/base/steady_wall_clock.hpp"
#include "agatetide/duty/autoscaler.hpp"
#include "agatetide/duty/leadership.hpp"
#include "agatetide/duty/usage_ledger.hpp"
#include "agatetide/duty/version_updater.hpp"
#include "agatetide/entry/fleet_watch.hpp"
#include "agatetide/entry/host_registry.hpp"
#include "agatetide/entry/peer_channel.hpp"
#include "agatetide/entry/step_placer.hpp"
#include "agatetide/entry/store_router.hpp"
#include "agatetide/entry/takeover_plan.hpp"
#include "agatetide/request/forwarder.hpp"
#include "agatetide/steps/step_service.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>

namespace agatetide::entry {

/// @brief The newest version of a model, as its trainer named it.
struct PublishedVersion
{
  std::string mModel;
  int64_t mVersion = 0;
};

/// @brief One value that the operator or a trainer wrote; at most one field
/// is set.
struct OperatorEntry
{
  std::shared_ptr<const fleet::ServiceConfig> mConfig;
  std::optional<PublishedVersion> mVersion;
  /// A host with a disk that is to be emptied.
  std::optional<std::string> mHostToEmpty;
};

/// @brief Connects the daemon to a platform.
struct PlatformHooks
{
  coordination::StoreCall mStore;
  coordination::WatchCall mWatch;
  request::UpstreamCall mCall;
  request::UpstreamStreamCall mStream;
  duty::SendVersionOrder mSendVersionOrder;
  duty::ReadReplicaStatus mReadReplicaStatus;
  duty::ReportUsage mReportUsage;
  duty::SendCapacityOrder mSendCapacityOrder;
  /// Keys of the operator and of replicas in the store.
  std::string mOperatorPrefix;
  std::string mReplicaPrefix;
  /// Errors: InvalidArgument when the value cannot be read.
  std::function<Result<OperatorEntry>(const coordination::StoreEntry&)>
    mDecodeOperatorEntry;
  std::function<Result<fleet::Replica>(const coordination::StoreEntry&)>
    mDecodeReplica;
  /// What to write when a host with a disk is empty.
  std::function<coordination::StorePut(std::string_view aHost)>
    mEncodeHostEmptied;
};

struct EntryOptions
{
  fleet::EntryHost mSelf;
  /// Where other daemons are answered; port 0 means nowhere.
  http::Endpoint mPeerListen;
  /// Region by availability zone.
  std::map<std::string, std::string, std::less<>> mRegions;
  /// A withdrawn key stops working within this time.
  Milliseconds mMaxRevocationDelay{ 5000 };
  duty::UsageOptions mUsage;
};

/// @brief The parts of a daemon on an entry host, wired together. All run on
/// one executor. Not thread-safe.
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

  /// @brief Gives duties up and asks for no new callers. Steps go on.
  Awaitable<void> BeginDrain();

  /// @brief Stores what other hosts need to go on, and takes this host out of
  /// the registry, as the last act of the process.
  Awaitable<void> Shutdown();

  /// @brief Whether callers may be sent here.
  bool Ready() const { return !mDraining && mView.Config() != nullptr; }

  const fleet::FleetView& View() const { return mView; }
  request::Forwarder& Forwarder() { return mForwarder; }
  steps::StepService& Steps() { return mSteps; }
  StepPlacer& Placer() { return mPlacer; }
  steps::StepRunner& Runner() { return mRunner; }

  /// @brief Counts a request of a client account that began at a time of
  /// this daemon's clock.
  void CountUsage(const std::string& aAccount, TimePoint aStartTime);

  TimePoint Now() const { return mClock(); }

  /// @brief Called with each configuration that is taken. May be empty.
  std::function<void(const fleet::ServiceConfig&)> mOnConfig;

private:
  EntryDaemon(boost::asio::any_io_executor aExecutor,
              EntryOptions aOptions,
              PlatformHooks aHooks);

  /// Follows keys of the store, through another daemon of the zone if any.
  Awaitable<void> WatchKeys(PrefixWatchOptions aOptions,
                            PrefixWatchHooks aHooks);
  Awaitable<void> WatchOperatorEntries();
  Awaitable<void> WatchReplicas();
  Awaitable<void> DutyLoop();
  Awaitable<void> UsageLoop();
  Awaitable<void> RecoverLoop();
  void ApplyOperatorEntry(const coordination::StoreEntry& aEntry);
  void ApplyReplica(const coordination::StoreEntry& aEntry);
  void ResetReplicas(const std::vector<coordination::StoreEntry>& aEntries);
  void ApplyReplicaChange(const coordination::StoreChange& aChange);
  void RemoveExpiredReplicas();
  Awaitable<void> ReportEmptiedHosts();
  Awaitable<Result<steps::SubmitOutcome>> SubmitForPeer(
    steps::StepSubmission aSubmission);

  boost::asio::any_io_executor mExecutor;
  EntryOptions mOptions;
  PlatformHooks mHooks;
  /// For timers and deadlines.
  Clock mClock;
  /// For the age of what other hosts may change while this one is suspended.
  Clock mBootClock;
  SteadyWallClock mWallClock;
  std::string mOwner;
  fleet::FleetView mView;
  std::unique_ptr<PeerChannel> mPeerChannel;
  StoreRouter mStoreRouter;
  coordination::StoreCall mStore;
  FleetWatch mFleetWatch;
  request::ReplicaPool mPool;
  request::Forwarder mForwarder;
  steps::StepStore mStepStore;
  steps::StepContext mStepContext;
  steps::StepRunner mRunner;
  steps::StepService mSteps;
  StepPlacer mPlacer;
  HostRegistry mRegistry;
  TakeoverPlan mTakeoverPlan;
  duty::UsageLedger mUsage;
  std::optional<duty::Leadership> mLeadership;
  std::optional<duty::VersionUpdater> mVersionUpdater;
  std::optional<duty::Autoscaler> mAutoscaler;
  bool mDraining = false;
  TimePoint mLastStoreFailure{};
  /// Replicas whose registration went while the store was away.
  std::map<std::string, TimePoint, std::less<>> mExpiredReplicas;
  std::set<std::string> mHostsToEmpty;
  std::set<std::string> mEmptiedHosts;
};

} // namespace agatetide::entry
