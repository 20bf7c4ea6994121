#include "agatetide/request/reachability_monitor.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

#include <set>

using namespace agatetide;
using namespace agatetide::request;
namespace asio = boost::asio;

namespace {

constexpr uint16_t kReplicaCount = 9;
/// As long as a connection may take.
constexpr Milliseconds kConnectTimeout{ 150 };

/// Nine replicas, some of which can be reached; connections to the others hang.
struct Fixture
{
  Fixture()
  {
    for (uint16_t port = 1; port <= kReplicaCount; ++port) {
      fleet::Replica replica;
      replica.mId = std::to_string(port);
      replica.mService = "service";
      replica.mEndpoint = { "127.0.0.1", port };
      mView.PutReplica(std::move(replica));
    }
    mMonitor.mOnChange = [this](bool aCutOff) {
      if (!aCutOff) {
        mContext.stop();
      }
    };
  }

  Awaitable<ConnectOutcome> Connect(uint16_t aPort)
  {
    ++mConnectCount;
    if (mReachable.contains(aPort)) {
      co_return ConnectOutcome::Connected;
    }
    asio::steady_timer timer(mContext, kConnectTimeout);
    co_await timer.async_wait(asio::use_awaitable);
    co_return mReachable.contains(aPort) ? ConnectOutcome::Connected
                                         : ConnectOutcome::NoResponse;
  }

  bool CheckAfterFailure()
  {
    bool cutOff = false;
    asio::co_spawn(mContext,
                   mMonitor.CheckAfterFailure(),
                   [&](const std::exception_ptr&, bool aCutOff) {
                     cutOff = aCutOff;
                     mContext.stop();
                   });
    Run();
    return cutOff;
  }

  void Run()
  {
    mContext.run();
    mContext.restart();
  }

  asio::io_context mContext;
  Clock mClock = SteadyClock();
  fleet::FleetView mView{ mClock, "zone", "region" };
  std::set<uint16_t> mReachable;
  int mConnectCount = 0;
  ReachabilityMonitor mMonitor{
    {},     mContext.get_executor(),
    mView,  [this](http::Endpoint aReplica) {
                                  return Connect(aReplica.mPort); },
    mClock, SeededRandom(1)
  };
};

} // namespace

// Guards against a host that takes the failure of most replicas for a cut of
// its own, and refuses what the remaining ones could serve.
Test(reachability_monitor, a_host_that_reaches_one_replica_is_not_cut_off)
{
  for (uint16_t port = 1; port <= kReplicaCount; ++port) {
    Fixture fixture;
    fixture.mReachable = { port };
    cr_expect(!fixture.CheckAfterFailure(), "only replica %d", port);
  }
}

// Guards against needless connections after the failure of one replica.
Test(reachability_monitor, a_failed_replica_costs_few_connections)
{
  Fixture fixture;
  for (uint16_t port = 2; port <= kReplicaCount; ++port) {
    fixture.mReachable.insert(port);
  }
  cr_expect(!fixture.CheckAfterFailure());
  cr_expect_leq(fixture.mConnectCount, 3);
}

// Guards against a late finding while callers wait, and against a host that
// stays out of service after its paths are back.
Test(reachability_monitor, a_cut_is_found_and_its_end_is_noticed)
{
  Fixture fixture;
  const TimePoint start = fixture.mClock();
  cr_expect(fixture.CheckAfterFailure());
  cr_expect(fixture.mClock() - start < 3 * kConnectTimeout);
  fixture.mReachable = { 1, 2, 3 };
  fixture.Run();
  cr_expect(!fixture.mMonitor.IsCutOff());
  cr_expect(fixture.mClock() - start < std::chrono::seconds(6));
}
