#include "agatetide/request/crash_detector.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::request;
namespace asio = boost::asio;

namespace {

fleet::Replica MakeReplica(const std::string& aId, int64_t aStartMs)
{
  fleet::Replica replica;
  replica.mId = aId;
  replica.mService = "service";
  replica.mAddress = "address-of-" + aId;
  replica.mEndpoint = { aId, 1 };
  replica.mStartTimeMs = aStartMs;
  return replica;
}

/// The replica "broken" and two others. Connections to it have mOutcome.
struct Fixture
{
  Fixture()
  {
    for (const char* id : { "broken", "second", "third" }) {
      mView.PutReplica(MakeReplica(id, 1));
    }
  }

  Awaitable<ConnectOutcome> Connect(const http::Endpoint& aReplica)
  {
    if (aReplica.mAddress == "broken") {
      ++mProbes;
      co_return mOutcome;
    }
    co_return mOthersRespond ? ConnectOutcome::Connected
                             : ConnectOutcome::Refused;
  }

  template<class T>
  T Run(Awaitable<T> aCall)
  {
    T result{};
    asio::co_spawn(
      mContext, std::move(aCall), [&](const std::exception_ptr&, T aResult) {
        result = aResult;
        mContext.stop();
      });
    mContext.run();
    mContext.restart();
    return result;
  }

  ProbeResult Probe() { return Run(mDetector.Probe(MakeReplica("broken", 1))); }
  bool AwaitEnd() { return Run(mDetector.AwaitEnd(MakeReplica("broken", 1))); }

  asio::io_context mContext;
  Clock mClock = SteadyClock();
  fleet::FleetView mView{ mClock, "zone", "region" };
  ConnectOutcome mOutcome = ConnectOutcome::Refused;
  bool mOthersRespond = true;
  int mProbes = 0;
  ConnectCall mConnect = [this](http::Endpoint aReplica) {
    return Connect(aReplica);
  };
  ReachabilityMonitor mMonitor{ {},     mContext.get_executor(),
                                mView,  mConnect,
                                mClock, SeededRandom(1) };
  CrashDetector mDetector{
    { Milliseconds(10), Milliseconds(100), Milliseconds(5) },
    mContext.get_executor(),
    mView,
    mMonitor,
    mConnect,
    mClock
  };
};

} // namespace

// Guards against missing the end of a process.
Test(crash_detector, a_refused_connection_shows_a_crash)
{
  Fixture fixture;
  cr_expect_eq(fixture.Probe(), ProbeResult::Crashed);
}

// Guards against taking lost or spoiled answers for crashes.
Test(crash_detector, a_replica_that_accepts_connections_has_not_crashed)
{
  Fixture fixture;
  fixture.mOutcome = ConnectOutcome::Connected;
  cr_expect_eq(fixture.Probe(), ProbeResult::Reached);
  cr_expect_eq(fixture.mProbes, 2);
}

// Guards against a host that blames requests for its own lost paths.
Test(crash_detector, a_cut_off_host_learns_nothing_from_connections)
{
  Fixture fixture;
  fixture.mOthersRespond = false;
  cr_expect_eq(fixture.Probe(), ProbeResult::Unknown);
}

// Guards against taking a silent path for a crash.
Test(crash_detector, no_response_shows_nothing)
{
  Fixture fixture;
  fixture.mOutcome = ConnectOutcome::NoResponse;
  cr_expect_eq(fixture.Probe(), ProbeResult::Unknown);
}

// Guards against a connection for each of the requests that ended with one
// replica.
Test(crash_detector, overlapping_probes_share_connections)
{
  Fixture fixture;
  fixture.mOutcome = ConnectOutcome::Connected;
  for (int i = 0; i < 5; ++i) {
    asio::co_spawn(fixture.mContext,
                   fixture.mDetector.Probe(MakeReplica("broken", 1)),
                   [](const std::exception_ptr&, ProbeResult) {});
  }
  cr_expect_eq(fixture.Probe(), ProbeResult::Reached);
  cr_expect_eq(fixture.mProbes, 2);
}

// Guards against crashes that only the registrations show, since the replica is
// silent or was started again at once.
Test(crash_detector, registrations_show_a_crash)
{
  Fixture gone;
  gone.mView.RemoveReplica("broken");
  cr_expect(gone.AwaitEnd());
  Fixture again;
  again.mView.PutReplica(MakeReplica("broken", 2));
  cr_expect(again.AwaitEnd());
  Fixture renamed;
  fleet::Replica next = MakeReplica("next", 2);
  next.mAddress = "address-of-broken";
  renamed.mView.PutReplica(next);
  cr_expect(renamed.AwaitEnd());
  Fixture unchanged;
  cr_expect_not(unchanged.AwaitEnd());
}
