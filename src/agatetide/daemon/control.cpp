#include "agatetide/daemon/control.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/clients/etcd_store.hpp"
#include "agatetide/clients/platform_client.hpp"
#include "agatetide/daemon/crash_evidence.hpp"
#include "agatetide/daemon/peer_link.hpp"
#include "agatetide/daemon/placement_duty.hpp"
#include "agatetide/daemon/upstream_duty.hpp"
#include "agatetide/daemon/usage_duty.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace agatetide::daemon {

namespace asio = boost::asio;
using namespace coordination;

namespace {

constexpr std::chrono::milliseconds kHeadInterval{ 500 };
constexpr std::chrono::milliseconds kViewInterval{ 100 };
constexpr std::chrono::milliseconds kPeerTimeout{ 2000 };
/// A daemon that is not the relay reads the head itself when its proof is
/// older than this.
constexpr std::chrono::milliseconds kProofRefresh{ 2500 };
constexpr std::chrono::milliseconds kConfirmationTime{ 12000 };
constexpr std::chrono::milliseconds kConfirmationPoll{ 25 };
/// Acknowledgements carry evidence about other hosts while the store's proof
/// is older than this.
constexpr std::chrono::milliseconds kEvidenceProofAge{ 1500 };
constexpr size_t kEvidencePerAck = 48;
/// Hosts that are probed in each poll while a change is confirmed.
constexpr size_t kProbesPerPoll = 8;
constexpr Milliseconds kRegisterJitter{ 200 };
constexpr std::string_view kHostPrefix = "host/";
constexpr std::chrono::milliseconds kHostListInterval{ 1000 };
/// How often the cost of control is logged.
constexpr std::chrono::milliseconds kCostInterval{ 5000 };
constexpr int64_t kAdmissionRetentionSeconds = int64_t{ 24 } * 3600;
constexpr std::chrono::hours kAdmissionLeasePeriod{ 1 };
constexpr const char* kQuarantineTopic = "quarantine";
constexpr const char* kCrashTopic = "crash";
constexpr const char* kAcquittalTopic = "acquittal";
constexpr int64_t kCrashMemoryMs = int64_t{ 10 } * 60 * 1000;
constexpr size_t kCrashesToQuarantine = 2;
constexpr uint64_t kQuarantineMs = uint64_t{ 24 } * 3600 * 1000;

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
    auto trust = ReadLease::Create(MakeSelf(mSettings, 0).mAddress,
                                   { mSettings.mReadLeaseDuration },
                                   mClock);
    if (trust.has_error()) {
      return trust.error();
    }
    mTrust.emplace(std::move(*trust));
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
    mRelay.emplace(std::move(*relay));
    mOrders.emplace(*mDutyContext, std::move(*orders));
    mUsage.emplace(*mDutyContext, *mLink, std::move(*usage));
    mUpstreams.emplace(*mDutyContext, std::move(*upstreams));
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
    hooks.mOnProbeAck = [this](const ProbeResult& aProof) {
      mTrust->RecordProbeResult(aProof);
    };
    hooks.mOnConfigVersion = [this](const std::string& aAddress,
                                    int64_t aVersion) {
      OnVersion(aAddress, aVersion);
    };
    hooks.mFillConfigFields = [this](Datagram& aDatagram) {
      aDatagram.mConfigVersion = mLog.Version();
      const auto age = mTrust->Staleness(mLog.Version());
      aDatagram.mStalenessMs = age ? age->count() : -1;
      aDatagram.mStoreContact = mTrust->HasStoreContact();
      if (aDatagram.mKind == DatagramKind::ProbeAck &&
          (!age || *age > kEvidenceProofAge)) {
        aDatagram.mRelayedAcks =
          mTrust->AcksToRelay(mLog.Version(), kEvidencePerAck, mRandom);
      }
      aDatagram.mFreshSinceStart = mTrust->FreshSinceStart();
    };
    return hooks;
  }

  /// A new quarantine is in force at once: its request may arrive here next.
  void OnDatagram(const Datagram& aDatagram)
  {
    mMembership->Receive(aDatagram);
    const bool quarantine =
      std::any_of(aDatagram.mRecords.begin(),
                  aDatagram.mRecords.end(),
                  [](const GossipRecord& aFact) {
                    return aFact.mTopic == kQuarantineTopic;
                  });
    if (quarantine &&
        mMembership->Records(kQuarantineTopic).size() != mQuarantines) {
      PublishView();
    }
  }

  void OnVersion(const std::string& aAddress, int64_t aVersion)
  {
    if (aVersion > mLog.Version() && !mFetching) {
      mFetching = true;
      asio::co_spawn(mExecutor, FetchFromPeer(aAddress), asio::detached);
    }
  }

  Awaitable<void> FetchFromPeer(std::string aAddress)
  {
    PeerRequest request;
    request.mKind = "config";
    request.mVersion = mLog.Version();
    auto reply =
      co_await mLink->SendRequest(aAddress, request, mClock() + kPeerTimeout);
    if (reply.has_value() && reply->mFound) {
      ApplyChanges(reply->mChanges, "peer " + aAddress);
    } else if (reply.has_value()) {
      co_await ReadWholeState();
    }
    mFetching = false;
  }

  void ApplyChanges(const std::vector<ConfigChange>& aChanges,
                    const std::string& aSource)
  {
    const auto applied = mLog.Apply(aChanges);
    if (applied.has_value() && *applied) {
      UseState(aSource);
    }
  }

  void UseState(const std::string& aSource)
  {
    mSnapshot = MakeSnapshot(mLog.State(), mSnapshot.get());
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
    mTrust->SetHosts(std::move(hosts), mLog.Version());
    for (const std::string& address : mSettings.mSeeds) {
      MemberUpdate seed;
      seed.mAddress = address;
      seeds.push_back(std::move(seed));
    }
    mMembership->SetSeeds(seeds);
    LogEvent("config_applied")
      .Field("version", mLog.Version())
      .Field("source", aSource)
      .Write();
    PublishView();
  }

  Awaitable<bool> ReadWholeState()
  {
    auto state = co_await ReadConfigState(mStore);
    if (state.has_value() && mLog.Replace(std::move(*state))) {
      UseState("store, whole state");
    }
    co_return state.has_value();
  }

  /// Reads the head and what is missing. A successful read is a proof.
  Awaitable<void> ReadHead()
  {
    const TimePoint sent = mClock();
    const auto version = co_await ReadConfigVersion(mStore);
    if (version.has_error()) {
      if (mStoreErrors.Allow(mClock())) {
        LogEvent("store_error", LogLevel::Warning)
          .Field("error", FormatError(version.error()))
          .Field("suppressed", mStoreErrors.ResetSuppressedCount())
          .Write();
      }
      co_return;
    }
    if (*version > mLog.Version()) {
      auto changes = co_await ReadConfigChanges(mStore, mLog.Version());
      const bool whole =
        changes.has_value() &&
        (changes->empty() || changes->front().mVersion > mLog.Version() + 1);
      if (whole) {
        co_await ReadWholeState();
      } else if (changes.has_value()) {
        ApplyChanges(*changes, "store");
      }
    }
    mTrust->RecordStoreRead(sent, *version);
  }

  Awaitable<void> RelayLoop()
  {
    for (;;) {
      co_await mRelay->Maintain();
      const auto age = mTrust->Staleness(mLog.Version());
      if (mRelay->IsHeld() || !age || *age > kProofRefresh) {
        co_await ReadHead();
      }
      co_await Sleep(kHeadInterval);
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

  Awaitable<void> CostLoop()
  {
    for (;;) {
      co_await Sleep(kCostInterval);
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

  Awaitable<void> HostListLoop()
  {
    if (mSettings.mPlatformEndpoint.mAddress.empty()) {
      co_return;
    }
    for (;;) {
      co_await Sleep(kHostListInterval);
      const auto list = co_await clients::ReadReplicaList(
        *mClient, mSettings.mPlatformEndpoint, mClock() + kPeerTimeout);
      if (list.has_error()) {
        continue;
      }
      mListedDraining.clear();
      for (const auto& upstream : *list) {
        if (upstream.mDraining) {
          mListedDraining.insert(upstream.mAddress);
        }
      }
    }
  }

  /// Registers this host until the configuration names it as it is.
  Awaitable<void> RegisterLoop()
  {
    for (;;) {
      const MemberUpdate& self = mMembership->Self();
      v1::ConfigObject object;
      object.mutable_host()->set_address(self.mAddress);
      object.mutable_host()->set_caller_address(self.mCallerAddress);
      object.mutable_host()->set_availability_zone(self.mAvailabilityZone);
      object.mutable_host()->set_region(self.mRegion);
      const std::string value = object.SerializeAsString();
      const auto found = mLog.State()->mObjects.find("host/" + self.mAddress);
      const bool current =
        found != mLog.State()->mObjects.end() && found->second.mValue == value;
      if (!current) {
        ConfigWrite write{
          SecureHex(8), "host/" + self.mAddress, false, value, kAnyVersion
        };
        const auto written = co_await WriteHost(std::move(write));
        LogEvent("register_host")
          .Field("result",
                 written.has_error() ? FormatError(written.error()) : "stored")
          .Write();
        co_await ReadHead();
        if (written.has_error() &&
            written.error().mKind == ErrorKind::Conflict) {
          // Another host was registered first; the jitter spreads the rest.
          co_await Sleep(Milliseconds(UniformBelow(
            mRandom, static_cast<uint64_t>(kRegisterJitter.count()))));
          continue;
        }
      }
      co_await Sleep(std::chrono::seconds(1));
    }
  }

  /// Writes a host object. Majorities of successive host sets intersect only
  /// if the version before each change of the set is accepted, so this waits
  /// for that and lets the change follow exactly that version.
  Awaitable<Result<ConfigChange>> WriteHost(ConfigWrite aWrite)
  {
    co_await ReadHead();
    aWrite.mExpectedConfigVersion = mLog.Version();
    const auto confirmed = co_await Confirm(aWrite.mExpectedConfigVersion);
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
        co_await Sleep(kAdmissionLeasePeriod);
      } else {
        co_await Sleep(std::chrono::seconds(1));
      }
    }
  }

  /// Decodes the shared facts, or copies them from the last view when none
  /// has changed. Decoding 1,200 load reports ten times a second took more
  /// processor time than all other control work.
  void FillFacts(TrafficView& aView)
  {
    if (mLastView && mFactRevision == mMembership->RecordsRevision()) {
      aView.mLoads = mLastView->mLoads;
      aView.mQuarantined = mLastView->mQuarantined;
      aView.mDutyHolders = mLastView->mDutyHolders;
      return;
    }
    mFactRevision = mMembership->RecordsRevision();
    aView.mLoads = mUpstreams->Loads();
    for (const GossipRecord& fact : mMembership->Records(kQuarantineTopic)) {
      aView.mQuarantined.insert(std::strtoull(fact.mKey.c_str(), nullptr, 16));
    }
    for (const GossipRecord& fact : mMembership->Records(kLeaseTopic)) {
      aView.mDutyHolders[fact.mKey] = fact.mValue;
    }
  }

  void PublishView()
  {
    auto view = std::make_shared<TrafficView>();
    view->mConfig = mSnapshot;
    view->mFreshUntil = mTrust->ValidUntil(mLog.Version());
    view->mStoreContact = mTrust->HasStoreContact();
    view->mSelf = mMembership->Self();
    view->mDraining = view->mSelf.mDraining;
    for (const auto& [address, member] : mMembership->Members()) {
      view->mMembers.push_back(member);
    }
    FillFacts(*view);
    view->mDrainingReplicas = mListedDraining;
    for (const auto& [address, load] : view->mLoads) {
      if (load.mDraining) {
        view->mDrainingReplicas.insert(address);
      }
    }
    mQuarantines = view->mQuarantined.size();
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
      reply.mVersion = mLog.Version();
      if (auto changes = mLog.ChangesAfter(aRequest.mVersion)) {
        reply.mFound = true;
        reply.mChanges = std::move(*changes);
      }
      co_return reply;
    }
    if (aRequest.mKind == "usage") {
      mUsage->Merge(aRequest.mBody);
      co_return PeerReply{ true, 0, {}, "" };
    }
    co_return co_await mHooks.mHandlePeerRequest(std::move(aRequest));
  }

  /// Crash reports of all daemons meet by gossip: each crash is one fact.
  void CountCrash(uint64_t aFingerprint, const std::string& aReplica)
  {
    const std::string key = FormatFingerprint(aFingerprint);
    const int64_t now = mWallClock();
    GossipRecord crash;
    crash.mTopic = kCrashTopic;
    crash.mKey = CrashRecordKey(aFingerprint, aReplica, SecureHex(4));
    crash.mSequence = static_cast<uint64_t>(now);
    crash.mLifetimeMs = kCrashMemoryMs;
    mMembership->Publish(crash);
    const GossipRecord* acquittal =
      mMembership->FindRecord(kAcquittalTopic, key);
    const int64_t since = std::max(
      now - kCrashMemoryMs,
      acquittal == nullptr ? 0 : static_cast<int64_t>(acquittal->mSequence));
    const auto facts = mMembership->Records(kCrashTopic);
    const size_t crashes = CountCrashes(facts, aFingerprint, since);
    LogEvent("upstream_crash", LogLevel::Warning)
      .Field("fingerprint", key)
      .Field("upstream", aReplica)
      .Field("crashes", static_cast<uint64_t>(crashes))
      .Write();
    if (crashes >= kCrashesToQuarantine) {
      GossipRecord quarantine;
      quarantine.mTopic = kQuarantineTopic;
      quarantine.mKey = key;
      quarantine.mSequence = static_cast<uint64_t>(now);
      quarantine.mLifetimeMs = kQuarantineMs;
      mMembership->Publish(quarantine);
      LogEvent("quarantine", LogLevel::Warning)
        .Field("fingerprint", key)
        .Write();
      PublishView();
    }
    // The caller may send the request again through another host at once.
    mMembership->ProbeAll();
  }

  void Acquit(uint64_t aFingerprint)
  {
    GossipRecord acquittal;
    acquittal.mTopic = kAcquittalTopic;
    acquittal.mKey = FormatFingerprint(aFingerprint);
    acquittal.mSequence = static_cast<uint64_t>(mWallClock());
    mMembership->Publish(acquittal);
  }

  Awaitable<Result<int64_t>> Confirm(int64_t aVersion)
  {
    PendingChange acceptance{ aVersion, mClock(), std::nullopt };
    const TimePoint limit = mClock() + kConfirmationTime;
    while (!mTrust->IsAccepted(acceptance, mLog.Version())) {
      if (mClock() > limit) {
        co_return Error{ ErrorKind::NotConfirmed,
                         "the change is stored as version " +
                           std::to_string(aVersion) +
                           " but not confirmed in force on all hosts",
                         "repeat the call with the same change id, or check "
                         "agatetidectl status",
                         Execution::Unknown };
      }
      // A probe carries the new version, which makes the host fetch it, and
      // its acknowledgement shows that it has.
      const auto behind = mTrust->HostsBehind(aVersion);
      for (size_t i = 0; i < std::min(behind.size(), kProbesPerPoll); ++i) {
        mMembership->ProbeNow(behind[UniformBelow(mRandom, behind.size())]);
      }
      co_await Sleep(kConfirmationPoll);
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
  ConfigLog mLog;
  std::shared_ptr<const ConfigSnapshot> mSnapshot =
    MakeSnapshot(std::make_shared<ConfigState>(), nullptr);
  std::optional<ReadLease> mTrust;
  std::unique_ptr<PeerLink> mLink;
  std::optional<Membership> mMembership;
  std::optional<DutyContext> mDutyContext;
  std::optional<DutyLease> mRelay;
  std::optional<PlacementDuty> mOrders;
  std::optional<UsageDuty> mUsage;
  std::optional<UpstreamDuty> mUpstreams;
  std::set<std::string, std::less<>> mListedDraining;
  TrafficViewPtr mLastView;
  uint64_t mFactRevision = 0;
  int64_t mAdmissionLease = 0;
  bool mFetching = false;
  /// Quarantined fingerprints in the last view.
  size_t mQuarantines = 0;
  LogLimiter mStoreErrors{ std::chrono::seconds(5) };
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
  const auto spawn = [&](Awaitable<void> aLoop) {
    asio::co_spawn(state.mExecutor, std::move(aLoop), asio::detached);
  };
  spawn(state.MembershipLoop());
  spawn(state.RelayLoop());
  spawn(state.RegisterLoop());
  spawn(state.ViewLoop());
  spawn(state.HostListLoop());
  spawn(state.CostLoop());
  spawn(state.AdmissionLeaseLoop());
  spawn(state.mOrders->Run());
  spawn(state.mUsage->Run());
  spawn(state.mUpstreams->Run());
}

void Control::BeginDrain()
{
  mState->mMembership->SetDraining();
  mState->mMembership->ProbeAll();
  mState->PublishView();
}

Awaitable<void> Control::Leave()
{
  co_await mState->mRelay->Release();
  co_await mState->mOrders->Release();
  co_await mState->mUsage->Release();
  co_await mState->mUpstreams->Release();
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
    co_await mState->ReadHead();
    co_return co_await mState->Confirm(stored->mVersion);
  }
  const auto written = co_await WriteConfig(mState->mStore, std::move(aWrite));
  if (written.has_error()) {
    co_return written.error();
  }
  co_await mState->ReadHead();
  co_return co_await mState->Confirm(written->mVersion);
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
    mState->mUsage->Count(aReport);
  } else if (aReport.mKind == TrafficReport::Kind::SuspicionCleared) {
    mState->Acquit(aReport.mFingerprint);
  } else {
    mState->CountCrash(aReport.mFingerprint, aReport.mReplica);
  }
}

Awaitable<Result<std::vector<std::string>>> Control::SealedWindows(
  unsigned aCount)
{
  return mState->mUsage->SealedWindows(aCount);
}

const MemberUpdate& Control::Self() const
{
  return mState->mMembership->Self();
}

} // namespace agatetide::daemon
