#include "agatetide/entry/replica_router.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <set>

using namespace agatetide;
using namespace agatetide::entry;
using request::UpstreamRequest;
using request::UpstreamResponse;
namespace asio = boost::asio;

namespace {

const http::Endpoint kReplica{ "127.0.0.9", 1 };
constexpr const char* kFar = "127.0.0.4";

Error Failure(Execution aExecution)
{
  return { ErrorKind::Unavailable, "failed", "none", aExecution };
}

/// Three daemons in this region, and one in another.
struct Fixture
{
  Fixture()
  {
    SetHosts({});
    fleet::Replica replica;
    replica.mId = "replica";
    replica.mEndpoint = kReplica;
    mView.PutReplica(std::move(replica));
  }

  void SetHosts(const std::set<std::string>& aDraining)
  {
    std::map<std::string, fleet::EntryHost, std::less<>> hosts;
    for (const char* address :
         { "127.0.0.1", "127.0.0.2", "127.0.0.3", kFar }) {
      fleet::EntryHost host;
      host.mName = address;
      host.mRegion = host.mName == kFar ? "elsewhere" : "region";
      host.mPeerAddress = host.mName + ":1";
      host.mDraining = aDraining.contains(host.mName);
      hosts[host.mName] = host;
    }
    mView.SetHosts(std::move(hosts));
  }

  template<class T>
  T Run(Awaitable<T> aAwaitable)
  {
    std::optional<T> result;
    asio::co_spawn(mContext,
                   std::move(aAwaitable),
                   [&](const std::exception_ptr&, T aResult) {
                     result.emplace(std::move(aResult));
                     mContext.stop();
                   });
    mContext.run();
    mContext.restart();
    return std::move(result.value());
  }

  void CutOff() { cr_assert(Run(mMonitor.CheckAfterFailure())); }

  Result<UpstreamResponse> Call(
    std::optional<fleet::RegionSet> aRegions = std::nullopt)
  {
    UpstreamRequest request;
    request.mReplicaId = "replica";
    request.mDeadline = mClock() + std::chrono::seconds(1);
    request.mAllowedRegions = std::move(aRegions);
    return Run(mRouter.Call(kReplica, request, nullptr));
  }

  Result<UpstreamResponse> Stream()
  {
    UpstreamRequest request;
    request.mReplicaId = "replica";
    request.mDeadline = mClock() + std::chrono::seconds(1);
    return Run(mRouter.Stream(kReplica, request, {}));
  }

  Awaitable<Result<UpstreamResponse>> SendDirectly(UpstreamRequest aRequest)
  {
    mDirect.push_back(std::move(aRequest));
    co_return mDirectResult;
  }

  Awaitable<RelayOutcome> Relay(const http::Endpoint& aPeer,
                                bool aIsStream) const
  {
    mAsked.push_back(aPeer.mAddress);
    const bool full = mFull || (aIsStream && mFullOfStreams);
    if (full) {
      co_return RelayOutcome{ false, Failure(Execution::NotRun) };
    }
    co_return RelayOutcome{ true, mRelayResult };
  }

  asio::io_context mContext;
  Clock mClock = SteadyClock();
  fleet::FleetView mView{ mClock, "zone", "region" };
  request::ReachabilityMonitor mMonitor{
    {},
    mContext.get_executor(),
    mView,
    [](http::Endpoint) -> Awaitable<request::ConnectOutcome> {
      co_return request::ConnectOutcome::NoResponse;
    },
    mClock,
    SeededRandom(1)
  };
  Result<UpstreamResponse> mDirectResult = Failure(Execution::NotRun);
  Result<UpstreamResponse> mRelayResult = UpstreamResponse{ 200 };
  bool mFull = false;
  bool mFullOfStreams = false;
  std::vector<UpstreamRequest> mDirect;
  mutable std::vector<std::string> mAsked;
  ReplicaRouter mRouter{
    {},
    mClock,
    SeededRandom(2),
    "127.0.0.1",
    mView,
    mMonitor,
    [this](http::Endpoint,
           UpstreamRequest aRequest,
           std::shared_ptr<http::CancelHandle>) {
      return SendDirectly(std::move(aRequest));
    },
    [this](http::Endpoint, UpstreamRequest aRequest, request::StreamOptions) {
      return SendDirectly(std::move(aRequest));
    },
    [this](http::Endpoint aPeer,
           http::Endpoint,
           UpstreamRequest,
           const request::StreamOptions* aStream,
           std::shared_ptr<http::CancelHandle>) {
      return Relay(aPeer, aStream != nullptr);
    }
  };
};

} // namespace

// Guards against messages between daemons while nothing is wrong.
Test(replica_router, a_host_that_reaches_replicas_asks_nobody)
{
  Fixture fixture;
  fixture.mDirectResult = UpstreamResponse{ 200 };
  cr_expect(fixture.Call().has_value());
  cr_expect(fixture.mAsked.empty());
}

// Guards against running a request twice: it went out, and the host lost its
// paths before the response came.
Test(replica_router, a_request_that_may_have_run_is_not_relayed)
{
  Fixture fixture;
  fixture.mDirectResult = Failure(Execution::Unknown);
  cr_expect(fixture.Call().has_error());
  cr_expect(fixture.mMonitor.IsCutOff());
  cr_expect(fixture.mAsked.empty());
}

// Guards against a second relay of a request that the first one may have sent.
Test(replica_router, a_request_that_a_peer_may_have_sent_is_not_sent_again)
{
  Fixture fixture;
  fixture.CutOff();
  fixture.mRelayResult = Failure(Execution::Unknown);
  cr_expect(fixture.Call().has_error());
  cr_expect_eq(fixture.mAsked.size(), 1);
  cr_expect(fixture.mDirect.empty());
}

// Guards against requests that leave the regions of their route.
Test(replica_router, only_peers_in_the_allowed_regions_are_asked)
{
  Fixture fixture;
  fixture.CutOff();
  cr_expect(fixture.Call(fleet::RegionSet{ "elsewhere" }).has_value());
  cr_assert_eq(fixture.mAsked.size(), 1);
  cr_expect(fixture.mAsked[0] == kFar);
}

// Guards against a planned stop of the hosts that still reach replicas, at
// which cut-off ones serve nobody although those go on serving their callers.
Test(replica_router, peers_that_stop_are_asked_last)
{
  Fixture fixture;
  fixture.CutOff();
  fixture.SetHosts({ "127.0.0.2", "127.0.0.3" });
  cr_expect(fixture.Call().has_value());
  cr_expect(fixture.mAsked.back() == kFar);
  fixture.SetHosts({ "127.0.0.2", "127.0.0.3", kFar });
  cr_expect(fixture.Call().has_value());
  cr_expect(fixture.mAsked.back() != kFar);
}

// Guards against requests of callers that fail because the peers run as many
// streams of samples as they may.
Test(replica_router, a_peer_full_of_streams_is_still_asked_for_requests)
{
  Fixture fixture;
  fixture.CutOff();
  fixture.mFullOfStreams = true;
  cr_expect(fixture.Stream().has_error());
  cr_expect_eq(fixture.mAsked.size(), 3);
  cr_expect(fixture.Stream().has_error());
  cr_expect_eq(fixture.mAsked.size(), 3, "full peers are asked again at once");
  cr_expect(fixture.Call().has_value());
}

// Guards against requests that are held until their deadline because a host
// without any path tries one new connection after the other.
Test(replica_router, a_request_that_nobody_can_send_opens_no_connection)
{
  Fixture fixture;
  fixture.CutOff();
  fixture.mFull = true;
  cr_expect(fixture.Call().has_error());
  cr_assert_eq(fixture.mDirect.size(), 1);
  cr_expect(fixture.mDirect[0].mOpenConnectionOnly);
}

// Guards against attempts that still go to a replica whose zone was evacuated
// after it was chosen, directly or through another host.
Test(replica_router, attempts_for_an_evacuated_zone_are_not_sent)
{
  Fixture fixture;
  fleet::Replica replica;
  replica.mId = "replica";
  replica.mEndpoint = kReplica;
  replica.mAvailabilityZone = "zone-2";
  fixture.mView.PutReplica(std::move(replica));
  fixture.mView.SetEvacuated("zone-2", true);
  for (const bool cutOff : { false, true }) {
    if (cutOff) {
      fixture.CutOff();
    }
    const auto result = fixture.Call();
    cr_assert(result.has_error());
    cr_expect(result.error().mExecution == Execution::NotRun);
    cr_expect(fixture.Stream().has_error());
    cr_expect(fixture.mDirect.empty() && fixture.mAsked.empty());
  }
  fixture.mView.SetEvacuated("zone-2", false);
  cr_expect(fixture.Call().has_value());
}
