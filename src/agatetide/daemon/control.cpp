#include "agatetide/daemon/control.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/task.hpp"
#include "agatetide/clients/etcd_store.hpp"
#include "agatetide/clients/platform_client.hpp"
#include "agatetide/daemon/crash_evidence.hpp"
#include "agatetide/daemon/peer_link.hpp"
#include "agatetide/daemon/placement_duty.hpp"
#include "agatetide/daemon/upstream_duty.hpp"
#include "agatetide/daemon/usage_duty.hpp"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>

namespace agatetide::daemon {

namespace asio = boost::asio;
using namespace coordination;

namespace {

/// How often the relay lease is maintained and the store may be read.
constexpr std::chrono::milliseconds kConfigPollInterval{ 500 };
constexpr std::chrono::milliseconds kViewInterval{ 100 };
constexpr std::chrono::milliseconds kPeerTimeout{ 2000 };
/// A daemon without the relay lease reads the store itself when its copy of the
/// configuration is staler than this.
constexpr std::chrono::milliseconds kMaxRelayedStaleness{ 2500 };
constexpr std::chrono::milliseconds kConfirmationTimeout{ 12000 };
constexpr std::chrono::milliseconds kConfirmationPollInterval{ 25 };
/// Probe acknowledgements relay those of other hosts while the local copy of
/// the configuration is staler than this.
constexpr std::chrono::milliseconds kAckRelayStaleness{ 1500 };
constexpr size_t kMaxRelayedAcks = 48;
/// Hosts that are probed in each poll while a change is waited for.
constexpr size_t kMaxProbesPerPoll = 8;
constexpr Milliseconds kMaxRegistrationJitter{ 200 };
constexpr std::string_view kHostPrefix = "host/";
constexpr std::chrono::milliseconds kUpstreamListInterval{ 1000 };
/// How often the traffic of the control plane is logged.
constexpr std::chrono::milliseconds kControlCostInterval{ 5000 };
constexpr int64_t kAdmissionRetentionSeconds = int64_t{ 24 } * 3600;
/// How often new admission records get a new store lease.
constexpr std::chrono::hours kAdmissionLeaseInterval{ 1 };
constexpr const char* kQuarantineTopic = "quarantine";
constexpr const char* kCrashTopic = "crash";
constexpr const char* kSuspicionClearedTopic = "acquittal";
/// Crashes count towards a quarantine for this time.
constexpr int64_t kCrashLifetimeMs = int64_t{ 10 } * 60 * 1000;
constexpr uint64_t kQuarantineLifetimeMs = uint64_t{ 24 } * 3600 * 1000;

/// This daemon's entry in the membership.
MemberUpdate MakeSelf(const Settings& aSettings, int64_t aNowMs)
{
  MemberUpdate self;
  self.mAddress = aSettings.mDaemonAdvertise.mAddress + ":" +
                  std::to_string(aSettings.mDaemonAdvertise.mPort);
  self.mCallerAddress = aSettings.mCallerListen.mAddress + ":" +
                        std::to_string(aSettings.mCallerListen.mPort);
  self.mAvailabilityZone = aSettings.mAvailabilityZone;
  self.mRegion = aSettings.mRegion;
  self.mIncarnation = static_cast<uint64_t>(aNowMs);
  return self;
}

/// Calls the store and counts the call.
Awaitable<Result<StoreReply>> CallCounted(StoreCall aStore,
                                          StoreRequest aRequest,
                                          ControlCounters& aCounters)
{
  const bool read = std::holds_alternative<RangeRequest>(aRequest);
  ++(read ? aCounters.mStoreReads : aCounters.mStoreWrites);
  auto reply = co_await aStore(std::move(aRequest));
  if (reply.has_error()) {
    ++aCounters.mStoreErrors;
  }
  co_return reply;
}

} // namespace

struct Control::State
{
  State(asio::io_context& aContext,
        const Settings& aSettings,
        ControlHooks aHooks)
    : mExecutor(aContext.get_executor())
    , mSettings(aSettings)
    , mHooks(std::move(aHooks))
    , mClock(SteadyClock())
    , mWallClock(SystemClock())
    , mRandom(ProcessRandom())
    , mClient(http::Client::Create(mExecutor))
  {
    mStore =
      [this,
       store = clients::MakeEtcdStore(*mClient, { mSettings.mStoreEndpoints })](
        StoreRequest aRequest) {
        return CallCounted(store, std::move(aRequest), mCounters);
      };
  }

  Result<bool> Open()
  {
    auto readLease = ReadLease::Create(MakeSelf(mSettings, 0).mAddress,
                                       { mSettings.mReadLeaseDuration },
                                       mClock);
    if (readLease.has_error()) {
      return readLease.error();
    }
    mReadLease.emplace(std::move(*readLease));
    auto link = PeerLink::Create(
      mExecutor,
      mSettings,
      { [this](const Datagram& aDatagram) { OnDatagram(aDatagram); },
        [this](PeerRequest aRequest) {
          return HandlePeerRequest(std::move(aRequest));
        } });
    if (link.has_error()) {
      return link.error();
    }
    mLink = std::move(*link);
    auto membership = Membership::Create(MakeSelf(mSettings, mWallClock()),
                                         MembershipOptions{},
                                         MakeMembershipHooks(),
                                         mClock,
                                         mRandom);
    if (membership.has_error()) {
      return membership.error();
    }
    mMembership.emplace(std::move(*membership));
    return OpenDuties();
  }

  Result<bool> OpenDuties()
  {
    mDutyContext.emplace(DutyContext{ mExecutor,
                                      mClock,
                                      mWallClock,
                                      mRandom,
                                      mStore,
                                      *mClient,
                                      *mMembership,
                                      mSettings,
                                      [this] { return mSnapshot; } });
    const std::string& zone = mSettings.mAvailabilityZone;
    auto relay = DutyLease::Create(*mDutyContext, "relay/" + zone);
    auto orders = DutyLease::Create(*mDutyContext, "orders");
    auto usage = DutyLease::Create(*mDutyContext, "usage");
    auto upstreams = DutyLease::Create(*mDutyContext, "upstreams/" + zone);
    for (const auto* lease : { &relay, &orders, &usage, &upstreams }) {
      if (lease->has_error()) {
        return lease->error();
      }
    }
    mRelayLease.emplace(std::move(*relay));
    mPlacementDuty.emplace(*mDutyContext, std::move(*orders));
    mUsageDuty.emplace(*mDutyContext, *mLink, std::move(*usage));
    mUpstreamDuty.emplace(*mDutyContext, std::move(*upstreams));
    return true;
  }

  MembershipHooks MakeMembershipHooks()
  {
    MembershipHooks hooks;
    hooks.mSend = [this](const std::string& aAddress,
                         const Datagram& aDatagram) {
      mLink->SendDatagram(aAddress, aDatagram);
    };
    hooks.mOnChange = [](const Member& aMember) {
      LogEvent("member")
        .Field("address", aMember.mInfo.mAddress)
        .Field("state", static_cast<unsigned>(aMember.mInfo.mState))
        .Field("incarnation", aMember.mInfo.mIncarnation)
        .Field("draining", aMember.mInfo.mDraining)
        .Write();
    };
    hooks.mOnProbeAck = [this](const ProbeResult& aResult) {
      mReadLease->RecordProbeResult(aResult);
    };
    hooks.mOnConfigVersion = [this](const std::string& aAddress,
                                    int64_t aVersion) {
      OnConfigVersion(aAddress, aVersion);
    };
    hooks.mFillConfigFields = [this](Datagram& aDatagram) {
      aDatagram.mConfigVersion = mConfigLog.Version();
      const auto staleness = mReadLease->Staleness(mConfigLog.Version());
      aDatagram.mStalenessMs = staleness ? staleness->count() : -1;
      aDatagram.mStoreContact = mReadLease->HasStoreContact();
      if (aDatagram.mKind == DatagramKind::ProbeAck &&
          (!staleness || *staleness > kAckRelayStaleness)) {
        aDatagram.mRelayedAcks = mReadLease->AcksToRelay(
          mConfigLog.Version(), kMaxRelayedAcks, mRandom);
      }
      aDatagram.mFreshSinceStart = mReadLease->FreshSinceStart();
    };
    return hooks;
  }

  /// Publishes a view at once when a quarantine arrives, since the quarantined
  /// request may be sent to this host next.
  void OnDatagram(const Datagram& aDatagram)
  {
    mMembership->Receive(aDatagram);
    const bool quarantine =
      std::any_of(aDatagram.mRecords.begin(),
                  aDatagram.mRecords.end(),
                  [](const GossipRecord& aRecord) {
                    return aRecord.mTopic == kQuarantineTopic;
                  });
    if (quarantine &&
        mMembership->Records(kQuarantineTopic).size() != mQuarantinedCount) {
      PublishView();
    }
  }

  /// Fetches the configuration from a peer that has a newer version.
  void OnConfigVersion(const std::string& aAddress, int64_t aVersion)
  {
    if (aVersion > mConfigLog.Version() && !mFetching) {
      mFetching = true;
      asio::co_spawn(
        mExecutor, FetchFromPeer(aAddress), LogFailure("fetch_from_peer"));
    }
  }

  Awaitable<void> FetchFromPeer(std::string aAddress)
  {
    PeerRequest request;
    request.mKind = "config";
    request.mVersion = mConfigLog.Version();
    auto reply =
      co_await mLink->SendRequest(aAddress, request, mClock() + kPeerTimeout);
    if (reply.has_value() && reply->mFound) {
      ApplyChanges(reply->mChanges, "peer " + aAddress);
    } else if (reply.has_value()) {
      co_await ReadFullState();
    }
    mFetching = false;
  }

  void ApplyChanges(const std::vector<ConfigChange>& aChanges,
                    const std::string& aSource)
  {
    const auto applied = mConfigLog.Apply(aChanges);
    if (applied.has_value() && *applied) {
      AdoptState(aSource);
    }
  }

  /// Applies a new state of the configuration log to this daemon.
  void AdoptState(const std::string& aSource)
  {
    mSnapshot = MakeSnapshot(mConfigLog.State(), mSnapshot.get());
    std::set<std::string> hosts;
    std::vector<MemberUpdate> seeds;
    for (const auto& [address, host] : mSnapshot->mHosts) {
      hosts.insert(address);
      MemberUpdate seed;
      seed.mAddress = address;
      seed.mCallerAddress = host.caller_address();
      seed.mAvailabilityZone = host.availability_zone();
      seed.mRegion = host.region();
      seeds.push_back(std::move(seed));
    }
    mReadLease->SetHosts(std::move(hosts), mConfigLog.Version());
    for (const std::string& address : mSettings.mSeeds) {
      MemberUpdate seed;
      seed.mAddress = address;
      seeds.push_back(std::move(seed));
    }
    mMembership->SetSeeds(seeds);
    LogEvent("config_applied")
      .Field("version", mConfigLog.Version())
      .Field("source", aSource)
      .Write();
    PublishView();
  }

  Awaitable<bool> ReadFullState()
  {
    auto state = co_await ReadConfigState(mStore);
    if (state.has_value() && mConfigLog.Replace(std::move(*state))) {
      AdoptState("store, full state");
    }
    co_return state.has_value();
  }

  /// Reads the configuration version and the missing changes from the store. A
  /// successful read renews the read lease.
  Awaitable<void> SyncWithStore()
  {
    const TimePoint sent = mClock();
    const auto version = co_await ReadConfigVersion(mStore);
    if (version.has_error()) {
      if (mStoreErrorLog.Allow(mClock())) {
        LogEvent("store_error", LogLevel::Warning)
          .Field("error", FormatError(version.error()))
          .Field("suppressed", mStoreErrorLog.ResetSuppressedCount())
          .Write();
      }
      co_return;
    }
    if (*version > mConfigLog.Version()) {
      auto changes = co_await ReadConfigChanges(mStore, mConfigLog.Version());
      const bool needsFullState =
        changes.has_value() && (changes->empty() || changes->front().mVersion >
                                                      mConfigLog.Version() + 1);
      if (needsFullState) {
        co_await ReadFullState();
      } else if (changes.has_value()) {
        ApplyChanges(*changes, "store");
      }
    }
    mReadLease->RecordStoreRead(sent, *version);
  }

  /// Keeps the configuration fresh. The holder of the zone's relay lease reads
  /// the store; the other daemons get the changes and the staleness from peers.
  Awaitable<void> ConfigLoop()
  {
    for (;;) {
      co_await mRelayLease->Maintain();
      const auto staleness = mReadLease->Staleness(mConfigLog.Version());
      if (mRelayLease->IsHeld() || !staleness ||
          *staleness > kMaxRelayedStaleness) {
        co_await SyncWithStore();
      }
      co_await Sleep(kConfigPollInterval);
    }
  }

  Awaitable<void> MembershipLoop()
  {
    for (;;) {
      mMembership->Tick();
      co_await Sleep(MembershipOptions{}.mProbeInterval);
    }
  }

  Awaitable<void> ViewLoop()
  {
    for (;;) {
      PublishView();
      co_await Sleep(kViewInterval);
    }
  }

  Awaitable<void> ControlCostLoop()
  {
    for (;;) {
      co_await Sleep(kControlCostInterval);
      const PeerLinkCounters& link = mLink->Counters();
      LogEvent("control_cost")
        .Field("bytes_sent", link.mBytesSent)
        .Field("datagrams_sent", link.mDatagramsSent)
        .Field("datagrams_received", link.mDatagramsReceived)
        .Field("datagrams_invalid", link.mDatagramsInvalid)
        .Field("peer_requests", link.mRequests)
        .Field("store_reads", mCounters.mStoreReads)
        .Field("store_writes", mCounters.mStoreWrites)
        .Write();
    }
  }

  /// Reads from the platform which upstreams are leaving.
  Awaitable<void> UpstreamListLoop()
  {
    if (mSettings.mPlatformEndpoint.mAddress.empty()) {
      co_return;
    }
    for (;;) {
      co_await Sleep(kUpstreamListInterval);
      const auto list = co_await clients::ReadReplicaList(
        *mClient, mSettings.mPlatformEndpoint, mClock() + kPeerTimeout);
      if (list.has_error()) {
        continue;
      }
      mDrainingReplicas.clear();
      for (const auto& upstream : *list) {
        if (upstream.mDraining) {
          mDrainingReplicas.insert(upstream.mAddress);
        }
      }
    }
  }

  /// Keeps this host's object in the configuration up to date.
  Awaitable<void> RegistrationLoop()
  {
    for (;;) {
      const MemberUpdate& self = mMembership->Self();
      v1::ConfigObject object;
      object.mutable_host()->set_address(self.mAddress);
      object.mutable_host()->set_caller_address(self.mCallerAddress);
      object.mutable_host()->set_availability_zone(self.mAvailabilityZone);
      object.mutable_host()->set_region(self.mRegion);
      const std::string value = object.SerializeAsString();
      const auto found =
        mConfigLog.State()->mObjects.find("host/" + self.mAddress);
      const bool current = found != mConfigLog.State()->mObjects.end() &&
                           found->second.mValue == value;
      if (!current) {
        ConfigWrite write{
          SecureHex(8), "host/" + self.mAddress, false, value, kAnyVersion
        };
        const auto written = co_await WriteHost(std::move(write));
        LogEvent("register_host")
          .Field("result",
                 written.has_error() ? FormatError(written.error()) : "stored")
          .Write();
        co_await SyncWithStore();
        if (written.has_error() &&
            written.error().mKind == ErrorKind::Conflict) {
          // Another host has registered meanwhile. The jitter spreads the
          // retries of hosts that start together.
          co_await Sleep(Milliseconds(UniformBelow(
            mRandom, static_cast<uint64_t>(kMaxRegistrationJitter.count()))));
          continue;
        }
      }
      co_await Sleep(std::chrono::seconds(1));
    }
  }

  /// Writes a host object. Majorities of two successive host sets are certain
  /// to intersect only if the version before the change of the set is in force.
  /// So this waits for that, and the write fails unless it directly follows
  /// that version.
  Awaitable<Result<ConfigChange>> WriteHost(ConfigWrite aWrite)
  {
    co_await SyncWithStore();
    aWrite.mExpectedConfigVersion = mConfigLog.Version();
    const auto confirmed =
      co_await WaitUntilInForce(aWrite.mExpectedConfigVersion);
    if (confirmed.has_error()) {
      co_return confirmed.error();
    }
    co_return co_await WriteConfig(mStore, std::move(aWrite));
  }

  Awaitable<void> AdmissionLeaseLoop()
  {
    for (;;) {
      const auto granted =
        co_await mStore(LeaseGrantRequest{ kAdmissionRetentionSeconds });
      if (granted.has_value()) {
        mAdmissionLease = granted->mLeaseId;
        co_await Sleep(kAdmissionLeaseInterval);
      } else {
        co_await Sleep(std::chrono::seconds(1));
      }
    }
  }

  /// Fills in the decoded gossip records, copied from the last view if no
  /// record has changed: decoding 1,200 load reports ten times a second took
  /// more CPU time than all other work of the control thread.
  void FillGossipRecords(TrafficView& aView)
  {
    if (mLastView && mRecordsRevision == mMembership->RecordsRevision()) {
      aView.mLoads = mLastView->mLoads;
      aView.mQuarantined = mLastView->mQuarantined;
      aView.mDutyHolders = mLastView->mDutyHolders;
      return;
    }
    mRecordsRevision = mMembership->RecordsRevision();
    aView.mLoads = mUpstreamDuty->Loads();
    for (const GossipRecord& record : mMembership->Records(kQuarantineTopic)) {
      aView.mQuarantined.insert(
        std::strtoull(record.mKey.c_str(), nullptr, 16));
    }
    for (const GossipRecord& record : mMembership->Records(kLeaseTopic)) {
      aView.mDutyHolders[record.mKey] = record.mValue;
    }
  }

  void PublishView()
  {
    auto view = std::make_shared<TrafficView>();
    view->mConfig = mSnapshot;
    view->mFreshUntil = mReadLease->ValidUntil(mConfigLog.Version());
    view->mStoreContact = mReadLease->HasStoreContact();
    view->mSelf = mMembership->Self();
    view->mDraining = view->mSelf.mDraining;
    for (const auto& [address, member] : mMembership->Members()) {
      view->mMembers.push_back(member);
    }
    FillGossipRecords(*view);
    view->mDrainingReplicas = mDrainingReplicas;
    for (const auto& [address, load] : view->mLoads) {
      if (load.mDraining) {
        view->mDrainingReplicas.insert(address);
      }
    }
    mQuarantinedCount = view->mQuarantined.size();
    const PeerLinkCounters& link = mLink->Counters();
    view->mCounters = { mCounters.mStoreReads,   mCounters.mStoreWrites,
                        mCounters.mStoreErrors,  link.mDatagramsSent,
                        link.mDatagramsReceived, link.mDatagramsInvalid,
                        link.mBytesSent,         link.mRequests,
                        link.mRequestsInvalid };
    mLastView = view;
    mHooks.mPublishView(std::move(view));
  }

  Awaitable<PeerReply> HandlePeerRequest(PeerRequest aRequest)
  {
    if (aRequest.mKind == "config") {
      PeerReply reply;
      reply.mVersion = mConfigLog.Version();
      if (auto changes = mConfigLog.ChangesAfter(aRequest.mVersion)) {
        reply.mFound = true;
        reply.mChanges = std::move(*changes);
      }
      co_return reply;
    }
    if (aRequest.mKind == "usage") {
      mUsageDuty->Merge(aRequest.mBody);
      co_return PeerReply{ true, 0, {}, "" };
    }
    co_return co_await mHooks.mHandlePeerRequest(std::move(aRequest));
  }

  /// Publishes an upstream crash as a gossip record, and a quarantine once the
  /// records of all daemons show enough crashes of the request.
  void CountCrash(uint64_t aFingerprint, const std::string& aReplica)
  {
    const std::string key = FormatFingerprint(aFingerprint);
    const int64_t now = mWallClock();
    GossipRecord crash;
    crash.mTopic = kCrashTopic;
    crash.mKey = CrashRecordKey(aFingerprint, aReplica, SecureHex(4));
    crash.mSequence = static_cast<uint64_t>(now);
    crash.mLifetimeMs = kCrashLifetimeMs;
    mMembership->Publish(crash);
    const GossipRecord* cleared =
      mMembership->FindRecord(kSuspicionClearedTopic, key);
    const int64_t since = std::max(
      now - kCrashLifetimeMs,
      cleared == nullptr ? 0 : static_cast<int64_t>(cleared->mSequence));
    const auto records = mMembership->Records(kCrashTopic);
    const size_t crashes = CountCrashes(records, aFingerprint, since);
    LogEvent("upstream_crash", LogLevel::Warning)
      .Field("fingerprint", key)
      .Field("upstream", aReplica)
      .Field("crashes", static_cast<uint64_t>(crashes))
      .Write();
    if (IsQuarantined(crashes)) {
      GossipRecord quarantine;
      quarantine.mTopic = kQuarantineTopic;
      quarantine.mKey = key;
      quarantine.mSequence = static_cast<uint64_t>(now);
      quarantine.mLifetimeMs = kQuarantineLifetimeMs;
      mMembership->Publish(quarantine);
      LogEvent("quarantine", LogLevel::Warning)
        .Field("fingerprint", key)
        .Write();
      PublishView();
    }
    // Spread the records now, since the caller may retry the request through
    // another host at once.
    mMembership->ProbeAll();
  }

  /// Tells all daemons that earlier crashes do not count against a request.
  void ClearSuspicion(uint64_t aFingerprint)
  {
    GossipRecord cleared;
    cleared.mTopic = kSuspicionClearedTopic;
    cleared.mKey = FormatFingerprint(aFingerprint);
    cleared.mSequence = static_cast<uint64_t>(mWallClock());
    mMembership->Publish(cleared);
  }

  /// Waits until a version is in force on all hosts.
  Awaitable<Result<int64_t>> WaitUntilInForce(int64_t aVersion)
  {
    PendingChange change{ aVersion, mClock(), std::nullopt };
    const TimePoint deadline = mClock() + kConfirmationTimeout;
    while (!mReadLease->IsAccepted(change, mConfigLog.Version())) {
      if (mClock() > deadline) {
        co_return Error{ ErrorKind::NotConfirmed,
                         "the change is stored as version " +
                           std::to_string(aVersion) +
                           " but not confirmed in force on all hosts",
                         "repeat the call with the same change id, or check "
                         "agatetidectl status",
                         Execution::Unknown };
      }
      // A probe carries the new version, so that the host fetches it. A later
      // acknowledgement shows that the host has it.
      const auto behind = mReadLease->HostsBehind(aVersion);
      for (size_t i = 0; i < std::min(behind.size(), kMaxProbesPerPoll); ++i) {
        mMembership->ProbeNow(behind[UniformBelow(mRandom, behind.size())]);
      }
      co_await Sleep(kConfirmationPollInterval);
    }
    co_return aVersion;
  }

  asio::any_io_executor mExecutor;
  const Settings& mSettings;
  ControlHooks mHooks;
  Clock mClock;
  WallClock mWallClock;
  Random mRandom;
  std::unique_ptr<http::Client> mClient;
  ControlCounters mCounters;
  StoreCall mStore;
  ConfigLog mConfigLog;
  std::shared_ptr<const ConfigSnapshot> mSnapshot =
    MakeSnapshot(std::make_shared<ConfigState>(), nullptr);
  std::optional<ReadLease> mReadLease;
  std::unique_ptr<PeerLink> mLink;
  std::optional<Membership> mMembership;
  std::optional<DutyContext> mDutyContext;
  std::optional<DutyLease> mRelayLease;
  std::optional<PlacementDuty> mPlacementDuty;
  std::optional<UsageDuty> mUsageDuty;
  std::optional<UpstreamDuty> mUpstreamDuty;
  /// Replica addresses that the platform lists as draining.
  std::set<std::string, std::less<>> mDrainingReplicas;
  TrafficViewPtr mLastView;
  /// Revision of the gossip records in mLastView.
  uint64_t mRecordsRevision = 0;
  /// Store lease of new admission records; 0 until the first one is granted.
  int64_t mAdmissionLease = 0;
  /// Whether FetchFromPeer() runs.
  bool mFetching = false;
  /// Number of quarantined fingerprints in the last view.
  size_t mQuarantinedCount = 0;
  LogLimiter mStoreErrorLog{ std::chrono::seconds(5) };
};

Result<std::unique_ptr<Control>> Control::Create(asio::io_context& aContext,
                                                 const Settings& aSettings,
                                                 ControlHooks aHooks)
{
  auto state = std::make_unique<State>(aContext, aSettings, std::move(aHooks));
  const auto opened = state->Open();
  if (opened.has_error()) {
    return opened.error();
  }
  return std::unique_ptr<Control>(new Control(std::move(state)));
}

Control::Control(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

Control::~Control() = default;

void Control::Start()
{
  State& state = *mState;
  std::vector<MemberUpdate> seeds;
  for (const std::string& address : state.mSettings.mSeeds) {
    MemberUpdate seed;
    seed.mAddress = address;
    seeds.push_back(seed);
  }
  state.mMembership->SetSeeds(seeds);
  state.mLink->Start();
  const auto keep = [&state](std::string_view aTask, auto aStart) {
    SpawnSupervised(state.mExecutor, aTask, std::move(aStart));
  };
  keep("membership", [&state] { return state.MembershipLoop(); });
  keep("config", [&state] { return state.ConfigLoop(); });
  keep("registration", [&state] { return state.RegistrationLoop(); });
  keep("view", [&state] { return state.ViewLoop(); });
  keep("upstream_list", [&state] { return state.UpstreamListLoop(); });
  keep("control_cost", [&state] { return state.ControlCostLoop(); });
  keep("admission_lease", [&state] { return state.AdmissionLeaseLoop(); });
  keep("placement", [&state] { return state.mPlacementDuty->Run(); });
  keep("usage", [&state] { return state.mUsageDuty->Run(); });
  keep("upstreams", [&state] { return state.mUpstreamDuty->Run(); });
}

void Control::BeginDrain()
{
  mState->mMembership->SetDraining();
  mState->mMembership->ProbeAll();
  mState->PublishView();
}

Awaitable<void> Control::Leave()
{
  co_await mState->mRelayLease->Release();
  co_await mState->mPlacementDuty->Release();
  co_await mState->mUsageDuty->Release();
  co_await mState->mUpstreamDuty->Release();
  mState->mMembership->Leave();
  const PeerLinkCounters& counters = mState->mLink->Counters();
  LogEvent("peer_totals")
    .Field("peer_datagrams_sent", counters.mDatagramsSent)
    .Field("peer_bytes_sent", counters.mBytesSent)
    .Write();
}

Awaitable<Result<int64_t>> Control::ChangeConfig(ConfigWrite aWrite)
{
  if (aWrite.mObject.starts_with(kHostPrefix)) {
    const auto stored = co_await mState->WriteHost(std::move(aWrite));
    if (stored.has_error()) {
      co_return stored.error();
    }
    co_await mState->SyncWithStore();
    co_return co_await mState->WaitUntilInForce(stored->mVersion);
  }
  const auto written = co_await WriteConfig(mState->mStore, std::move(aWrite));
  if (written.has_error()) {
    co_return written.error();
  }
  co_await mState->SyncWithStore();
  co_return co_await mState->WaitUntilInForce(written->mVersion);
}

Awaitable<Result<Admission>> Control::Admit(AdmissionKey aKey,
                                            AdmissionRecord aRecord)
{
  if (mState->mAdmissionLease == 0) {
    co_return Error{ ErrorKind::Unavailable,
                     "the platform store has not been reached since the start",
                     "send the request again with the same request id" };
  }
  co_return co_await coordination::Admit(mState->mStore,
                                         std::move(aKey),
                                         std::move(aRecord),
                                         mState->mAdmissionLease);
}

Awaitable<Result<PeerReply>> Control::AskPeer(std::string aAddress,
                                              PeerRequest aRequest,
                                              TimePoint aDeadline)
{
  return mState->mLink->SendRequest(
    std::move(aAddress), std::move(aRequest), aDeadline);
}

void Control::HandleReport(const TrafficReport& aReport)
{
  if (aReport.mKind == TrafficReport::Kind::Usage) {
    mState->mUsageDuty->Count(aReport);
  } else if (aReport.mKind == TrafficReport::Kind::SuspicionCleared) {
    mState->ClearSuspicion(aReport.mFingerprint);
  } else {
    mState->CountCrash(aReport.mFingerprint, aReport.mReplica);
  }
}

Awaitable<Result<std::vector<std::string>>> Control::SealedWindows(
  unsigned aCount)
{
  return mState->mUsageDuty->SealedWindows(aCount);
}

const MemberUpdate& Control::Self() const
{
  return mState->mMembership->Self();
}

} // namespace agatetide::daemon
