#include "agatetide/daemon/daemon.hpp"

#include "agatetide/base/task.hpp"
#include "agatetide/daemon/api.hpp"
#include "agatetide/daemon/control.hpp"
#include "agatetide/http/server.hpp"
#include "agatetide/process/signals.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>

namespace agatetide::daemon {

namespace asio = boost::asio;

namespace {

constexpr size_t kViewQueueCapacity = 64;
constexpr size_t kReportQueueCapacity = 16384;
/// Time until all daemons know that this host drains, also when datagrams are
/// lost. Until then their Locate responses may contain it.
constexpr std::chrono::milliseconds kDrainPropagationTime{ 2000 };
/// Limits the calls of the traffic thread that wait for the control thread.
constexpr size_t kMaxPendingControlCalls = 4096;
/// What the last responses and the departure from the other daemons may take
/// besides the times of the settings.
constexpr std::chrono::milliseconds kStopMargin{ 10000 };

Error ControlBusy()
{
  return { ErrorKind::ResourceExhausted,
           "too many requests wait for the control thread",
           "retry later" };
}

/// Upstream connections use the address that callers connect to as their
/// source. With a wildcard listen address the system chooses the source.
http::ClientOptions UpstreamClientOptions(const Settings& aSettings)
{
  http::ClientOptions options;
  options.mDeadlineShowsSilence = false;
  const std::string& address = aSettings.mCallerListen.mAddress;
  if (address != "0.0.0.0" && address != "::") {
    options.mLocalAddress = address;
  }
  return options;
}

/// Counts a call as pending for the lifetime of the object.
class PendingCall
{
public:
  explicit PendingCall(std::atomic<size_t>& aCount)
    : mCount(aCount)
    , mWithinLimit(aCount.fetch_add(1) < kMaxPendingControlCalls)
  {
  }
  ~PendingCall() { mCount.fetch_sub(1); }
  PendingCall(const PendingCall&) = delete;
  PendingCall& operator=(const PendingCall&) = delete;

  /// Whether the call may run.
  bool WithinLimit() const { return mWithinLimit; }

private:
  std::atomic<size_t>& mCount;
  bool mWithinLimit;
};

} // namespace

struct Daemon::State
{
  State(const Settings& aSettings,
        process::Process& aProcess,
        size_t aMaxDescriptors)
    : mSettings(aSettings)
    , mProcess(aProcess)
    , mMaxDescriptors(aMaxDescriptors)
    , mControlWork(mControlContext.get_executor())
    , mTraffic{ mTrafficContext.get_executor(),
                aSettings,
                SteadyClock(),
                SystemClock(),
                ProcessRandom(),
                http::Client::Create(mTrafficContext.get_executor(),
                                     UpstreamClientOptions(aSettings)),
                {},
                {},
                {},
                {},
                {} }
    , mViewQueue(
        kViewQueueCapacity,
        [this] { asio::post(mTrafficContext, [this] { DrainViews(); }); })
    , mReportQueue(kReportQueueCapacity, [this] {
      asio::post(mControlContext, [this] { DrainReports(); });
    })
  {
  }

  void DrainViews()
  {
    mViewQueue.Drain(
      [this](TrafficViewPtr aView) { mTraffic.mView = std::move(aView); });
  }

  void DrainReports()
  {
    mReportQueue.Drain([this](const TrafficReport& aReport) {
      mControl->HandleReport(aReport);
    });
  }

  /// Runs a coroutine on the control thread and resumes on the traffic
  /// thread.
  template<class T>
  Awaitable<Result<T>> RunOnControlThread(
    std::function<Awaitable<Result<T>>()> aOperation)
  {
    const PendingCall call(mPendingControlCalls);
    if (!call.WithinLimit()) {
      co_return ControlBusy();
    }
    co_return co_await asio::co_spawn(
      mControlContext, std::move(aOperation), asio::use_awaitable);
  }

  ControlCalls MakeControlCalls()
  {
    using namespace coordination;
    ControlCalls calls;
    calls.mAdmit = [this](AdmissionKey aKey, AdmissionRecord aRecord) {
      return RunOnControlThread<Admission>(
        [=, this] { return mControl->Admit(aKey, aRecord); });
    };
    calls.mChange = [this](ConfigWrite aWrite) {
      return RunOnControlThread<int64_t>(
        [=, this] { return mControl->ChangeConfig(aWrite); });
    };
    calls.mAskPeer =
      [this](std::string aAddress, PeerRequest aRequest, TimePoint aDeadline) {
        return RunOnControlThread<PeerReply>([=, this] {
          return mControl->AskPeer(aAddress, aRequest, aDeadline);
        });
      };
    calls.mSealedWindows = [this](unsigned aCount) {
      return RunOnControlThread<std::vector<std::string>>(
        [=, this] { return mControl->SealedWindows(aCount); });
    };
    calls.mReport = [this](TrafficReport aReport) {
      return mReportQueue.Push(std::move(aReport));
    };
    return calls;
  }

  Result<bool> Open()
  {
    ControlHooks hooks;
    hooks.mPublishView = [this](TrafficViewPtr aView) {
      mViewQueue.Push(std::move(aView));
    };
    hooks.mHandlePeerRequest = [this](coordination::PeerRequest aRequest) {
      return asio::co_spawn(
        mTrafficContext,
        [this, request = std::move(aRequest)] {
          return mApi->HandlePeerRequest(request);
        },
        asio::use_awaitable);
    };
    auto control =
      Control::Create(mControlContext, mSettings, std::move(hooks));
    if (control.has_error()) {
      return control.error();
    }
    mControl = std::move(*control);
    mTraffic.mControl = MakeControlCalls();
    auto view = std::make_shared<TrafficView>();
    view->mConfig =
      MakeSnapshot(std::make_shared<coordination::ConfigState>(), nullptr);
    view->mSelf = mControl->Self();
    mTraffic.mView = std::move(view);
    mApi.emplace(mTraffic, [this] {
      return ServerState{ mServer->RunningRequestCount(),
                          mServer->ConnectionCount(),
                          mServer->Counters() };
    });
    http::ServerOptions options;
    options.mAddress = mSettings.mCallerListen.mAddress;
    options.mPort = mSettings.mCallerListen.mPort;
    // A flood of callers leaves enough for the store, peers and upstreams.
    options.mMaxConnections =
      std::min(options.mMaxConnections, mMaxDescriptors / 2);
    auto server = http::Server::Create(
      mTrafficContext.get_executor(), options, [this](http::Request aRequest) {
        return mApi->Handle(std::move(aRequest));
      });
    if (server.has_error()) {
      return server.error();
    }
    mServer = std::move(*server);
    return true;
  }

  /// Shuts down gracefully: announces the drain, waits until cached Locate
  /// responses with this host have expired, then until no request runs (at most
  /// Settings::mDrainTimeout), and stops both threads.
  Awaitable<void> Drain()
  {
    LogEvent("drain").Field("phase", "started").Write();
    asio::post(mControlContext, [this] { mControl->BeginDrain(); });
    mServer->DisableKeepAlive();
    co_await Pause(mSettings.mAddressLifetime + kDrainPropagationTime);
    mServer->StopAccepting();
    const TimePoint deadline = mTraffic.mClock() + mSettings.mDrainTimeout;
    while ((mServer->RunningRequestCount() > 0 || mApi->Busy()) &&
           mTraffic.mClock() < deadline) {
      co_await Pause(Milliseconds(20));
    }
    LogEvent("drain")
      .Field("phase", "finished")
      .Field("running", static_cast<uint64_t>(mServer->RunningRequestCount()))
      .Write();
    co_await asio::co_spawn(
      mControlContext, mControl->Leave(), asio::use_awaitable);
    mControlContext.stop();
    mTrafficContext.stop();
  }

  Awaitable<void> Pause(Milliseconds aTime)
  {
    asio::steady_timer timer(mTrafficContext, aTime);
    co_await timer.async_wait(asio::use_awaitable);
  }

  Awaitable<void> WatchSignals()
  {
    for (;;) {
      HandleSignal(co_await mSignals.async_wait(asio::use_awaitable));
    }
  }

  void HandleSignal(int aSignal)
  {
    if (aSignal == SIGHUP) {
      LogEvent("reload").Field("changes", "none at run time").Write();
      return;
    }
    if (mStopping) {
      mProcess.EndNow(process::EndCause::SecondSignal, aSignal);
    }
    mProcess.BeginStop(aSignal,
                       mSettings.mAddressLifetime + kDrainPropagationTime +
                         mSettings.mDrainTimeout + kStopMargin);
    asio::co_spawn(mTrafficContext, Drain(), LogFailure("drain"));
    mStopping = true;
  }

  const Settings& mSettings;
  process::Process& mProcess;
  const size_t mMaxDescriptors;
  bool mStopping = false;
  asio::io_context mControlContext{ 1 };
  asio::io_context mTrafficContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> mControlWork;
  asio::signal_set mSignals{ mTrafficContext, SIGTERM, SIGINT, SIGHUP };
  TrafficContext mTraffic;
  Ring<TrafficViewPtr> mViewQueue;
  Ring<TrafficReport> mReportQueue;
  std::atomic<size_t> mPendingControlCalls{ 0 };
  std::unique_ptr<Control> mControl;
  std::optional<Api> mApi;
  std::unique_ptr<http::Server> mServer;
};

Result<std::unique_ptr<Daemon>> Daemon::Create(const Settings& aSettings,
                                               process::Process& aProcess,
                                               size_t aMaxDescriptors)
{
  auto state = std::make_unique<State>(aSettings, aProcess, aMaxDescriptors);
  const auto opened = state->Open();
  if (opened.has_error()) {
    return opened.error();
  }
  return std::unique_ptr<Daemon>(new Daemon(std::move(state)));
}

Daemon::Daemon(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

Daemon::~Daemon() = default;

void Daemon::Run()
{
  State& state = *mState;
  asio::post(state.mControlContext, [&] { state.mControl->Start(); });
  std::thread control(
    [&] { state.mProcess.RunLoop(state.mControlContext, "control"); });
  SpawnSupervised(state.mTrafficContext.get_executor(), "signals", [&state] {
    return state.WatchSignals();
  });
  process::UnblockSignals();
  LogEvent("started")
    .Field("callers", state.mSettings.mCallerListen.mAddress)
    .Field("port", static_cast<unsigned>(state.mSettings.mCallerListen.mPort))
    .Field("availability_zone", state.mSettings.mAvailabilityZone)
    .Write();
  state.mProcess.RunLoop(state.mTrafficContext, "traffic", [&state] {
    return "requests=" + std::to_string(state.mServer->RunningRequestCount()) +
           " connections=" + std::to_string(state.mServer->ConnectionCount());
  });
  control.join();
}

} // namespace agatetide::daemon
