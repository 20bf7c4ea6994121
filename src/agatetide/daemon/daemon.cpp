#include "agatetide/daemon/daemon.hpp"

#include "agatetide/daemon/api.hpp"
#include "agatetide/daemon/control.hpp"
#include "agatetide/http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>

namespace agatetide::daemon {

namespace asio = boost::asio;

namespace {

constexpr size_t kViewRing = 64;
constexpr size_t kReportRing = 16384;
/// Other daemons may name this host in address answers until they have heard
/// that it drains, which takes about this long when datagrams are lost.
constexpr std::chrono::milliseconds kDrainSpread{ 2000 };
/// Calls of the traffic thread that may wait for the control thread at once.
constexpr size_t kMaxControlCalls = 4096;

/// Connections that callers may hold. They get half of the descriptors, so
/// that a flood of callers leaves some for the store, peers and upstreams.
size_t MaxCallerConnections()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return 512;
  }
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<size_t>(limit.rlim_cur / 2);
}

Error ControlBusy()
{
  return { ErrorKind::ResourceExhausted,
           "the control thread has too many open requests",
           "retry later" };
}

/// Upstreams see requests come from the address that callers use. An
/// unspecified listen address leaves the choice to the system.
http::ClientOptions UpstreamClientOptions(const Settings& aSettings)
{
  http::ClientOptions options;
  const std::string& address = aSettings.mCallerListen.mAddress;
  if (address != "0.0.0.0" && address != "::") {
    options.mLocalAddress = address;
  }
  return options;
}

/// Counts the calls that wait for the other thread.
class CallSlot
{
public:
  explicit CallSlot(std::atomic<size_t>& aOpen)
    : mOpen(aOpen)
    , mGranted(aOpen.fetch_add(1) < kMaxControlCalls)
  {
  }
  ~CallSlot() { mOpen.fetch_sub(1); }
  CallSlot(const CallSlot&) = delete;
  CallSlot& operator=(const CallSlot&) = delete;

  bool Granted() const { return mGranted; }

private:
  std::atomic<size_t>& mOpen;
  bool mGranted;
};

} // namespace

struct Daemon::State
{
  explicit State(const Settings& aSettings)
    : mSettings(aSettings)
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
    , mViews(kViewRing,
             [this] { asio::post(mTrafficContext, [this] { DrainViews(); }); })
    , mReports(kReportRing, [this] {
      asio::post(mControlContext, [this] { DrainReports(); });
    })
  {
  }

  void DrainViews()
  {
    mViews.Drain(
      [this](TrafficViewPtr aView) { mTraffic.mView = std::move(aView); });
  }

  void DrainReports()
  {
    mReports.Drain([this](const TrafficReport& aReport) {
      mControl->HandleReport(aReport);
    });
  }

  /// Runs a coroutine on the control thread and resumes on the traffic
  /// thread.
  template<class T>
  Awaitable<Result<T>> OnControl(
    std::function<Awaitable<Result<T>>()> aOperation)
  {
    const CallSlot slot(mControlCalls);
    if (!slot.Granted()) {
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
      return OnControl<Admission>(
        [=, this] { return mControl->Admit(aKey, aRecord); });
    };
    calls.mChange = [this](ConfigWrite aWrite) {
      return OnControl<int64_t>(
        [=, this] { return mControl->ChangeConfig(aWrite); });
    };
    calls.mAskPeer =
      [this](std::string aAddress, PeerRequest aRequest, TimePoint aDeadline) {
        return OnControl<PeerReply>([=, this] {
          return mControl->AskPeer(aAddress, aRequest, aDeadline);
        });
      };
    calls.mSealedWindows = [this](unsigned aCount) {
      return OnControl<std::vector<std::string>>(
        [=, this] { return mControl->SealedWindows(aCount); });
    };
    calls.mReport = [this](TrafficReport aReport) {
      return mReports.Push(std::move(aReport));
    };
    return calls;
  }

  Result<bool> Open()
  {
    ControlHooks hooks;
    hooks.mPublishView = [this](TrafficViewPtr aView) {
      mViews.Push(std::move(aView));
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
    options.mMaxConnections =
      std::min(options.mMaxConnections, MaxCallerConnections());
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

  /// Leaves the address answers, waits until callers no longer hold an
  /// answer that names this host and nothing runs, then stops.
  Awaitable<void> Drain()
  {
    LogEvent("drain").Field("phase", "started").Write();
    asio::post(mControlContext, [this] { mControl->BeginDrain(); });
    mServer->DisableKeepAlive();
    co_await Pause(mSettings.mAddressLifetime + kDrainSpread);
    mServer->StopAccepting();
    const TimePoint limit = mTraffic.mClock() + mSettings.mDrainTimeout;
    while ((mServer->RunningRequestCount() > 0 || mApi->Busy()) &&
           mTraffic.mClock() < limit) {
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

  void WatchSignals()
  {
    mSignals.async_wait([this](const boost::system::error_code& aError, int) {
      if (aError) {
        return;
      }
      asio::co_spawn(mTrafficContext, Drain(), asio::detached);
      mSignals.async_wait([](const boost::system::error_code& aAgain, int) {
        if (!aAgain) {
          std::_Exit(1);
        }
      });
    });
  }

  const Settings& mSettings;
  asio::io_context mControlContext{ 1 };
  asio::io_context mTrafficContext{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> mControlWork;
  asio::signal_set mSignals{ mTrafficContext, SIGTERM, SIGINT };
  TrafficContext mTraffic;
  Ring<TrafficViewPtr> mViews;
  Ring<TrafficReport> mReports;
  std::atomic<size_t> mControlCalls{ 0 };
  std::unique_ptr<Control> mControl;
  std::optional<Api> mApi;
  std::unique_ptr<http::Server> mServer;
};

Result<std::unique_ptr<Daemon>> Daemon::Create(const Settings& aSettings)
{
  auto state = std::make_unique<State>(aSettings);
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

int Daemon::Run()
{
  State& state = *mState;
  state.WatchSignals();
  asio::post(state.mControlContext, [&] { state.mControl->Start(); });
  std::thread control([&] { state.mControlContext.run(); });
  LogEvent("started")
    .Field("callers", state.mSettings.mCallerListen.mAddress)
    .Field("port", static_cast<unsigned>(state.mSettings.mCallerListen.mPort))
    .Field("availability_zone", state.mSettings.mAvailabilityZone)
    .Write();
  state.mTrafficContext.run();
  control.join();
  LogEvent("stopped").Write();
  return 0;
}

} // namespace agatetide::daemon
