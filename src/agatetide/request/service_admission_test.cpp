#include "agatetide/request/forwarder.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::request;
namespace asio = boost::asio;

namespace {

constexpr const char* kService = "service";
constexpr std::chrono::milliseconds kServiceTime{ 60 };

/// One replica with two slots whose requests take a fixed time, and a host with
/// a forwarder.
struct Fixture
{
  Fixture()
  {
    mReplica.mId = "replica";
    mReplica.mService = kService;
    mReplica.mAddress = "replica";
    mReplica.mSlots = 2;
    mView.PutReplica(mReplica);
    mPool.RecordHeaderLoad(mReplica.mId, { 0, 0, 2, 1.0 });
  }

  /// Ends all requests, whose attempts refer to the pool.
  ~Fixture() { RunFor(std::chrono::seconds(5)); }

  ForwardRequest MakeRequest(Milliseconds aTarget)
  {
    ForwardRequest request;
    request.mRoute.mKind = fleet::RouteKind::Idempotent;
    request.mRoute.mMaxAttempts = 3;
    request.mRoute.mTargetLatency = aTarget;
    request.mRoute.mServices.push_back({ kService, 1.0 });
    request.mPrototype.mId = "id";
    request.mPrototype.mBody = std::to_string(mResults.size());
    request.mDeadline = mClock() + std::chrono::seconds(2);
    request.mCaller = std::make_shared<http::CallerConnection>();
    return request;
  }

  /// Starts a request; its result is stored at the returned position.
  size_t Start(ForwardRequest aRequest)
  {
    const size_t index = mResults.size();
    mResults.emplace_back();
    asio::co_spawn(mContext,
                   mForwarder.Run(std::move(aRequest)),
                   [this, index](const std::exception_ptr&,
                                 Result<UpstreamResponse> aResult) {
                     mResults[index].emplace(std::move(aResult));
                   });
    mContext.poll();
    mContext.restart();
    return index;
  }

  /// Uses both slots.
  void Fill() { StartAndCount(2); }

  /// Starts requests that may wait for long, and counts those that are sent.
  unsigned StartAndCount(unsigned aCount)
  {
    const unsigned before = mSent;
    for (unsigned i = 0; i < aCount; ++i) {
      Start(MakeRequest(std::chrono::seconds(1)));
    }
    return mSent - before;
  }

  /// Gives the replica so many slots, all of them used by other hosts.
  void UseUp(unsigned aSlots)
  {
    mReplica.mSlots = aSlots;
    mView.PutReplica(mReplica);
    mPool.RecordHeaderLoad(mReplica.mId, { aSlots, 0, aSlots, 1.0 });
  }

  void RunFor(Duration aTime)
  {
    mContext.run_for(aTime);
    mContext.restart();
  }

  Awaitable<Result<UpstreamResponse>> Attempt()
  {
    ++mSent;
    asio::steady_timer timer(mContext, kServiceTime);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    UpstreamResponse response;
    response.mStatus = 200;
    co_return response;
  }

  /// Whether the request was refused as one that has not run and never will.
  bool IsRefused(size_t aIndex) const
  {
    return mResults[aIndex] && mResults[aIndex]->has_error() &&
           mResults[aIndex]->error().mKind == ErrorKind::Unavailable &&
           mResults[aIndex]->error().mExecution == Execution::NotRun &&
           mResults[aIndex]->error().mRetryAfter;
  }

  void SetHosts(std::initializer_list<const char*> aNames)
  {
    std::map<std::string, fleet::EntryHost, std::less<>> hosts;
    for (const char* name : aNames) {
      hosts[name].mName = name;
    }
    mView.SetHosts(std::move(hosts));
  }

  /// Ends the contact to the store, or begins it.
  void SetFresh(bool aFresh)
  {
    auto config = std::make_shared<fleet::ServiceConfig>();
    config->mVersion = 1;
    mView.UpdateConfig(config);
    mView.SetMaxStaleness(aFresh ? std::chrono::seconds(60)
                                 : std::chrono::seconds(0));
    mView.MarkFresh(mClock());
  }

  asio::io_context mContext;
  Clock mClock = SteadyClock();
  fleet::FleetView mView{ mClock, "zone", "region" };
  fleet::Replica mReplica;
  ReplicaPool mPool{ mView, mClock, SeededRandom(1), "host" };
  ReachabilityMonitor mMonitor{ {},
                                mContext.get_executor(),
                                mView,
                                [](
                                  http::Endpoint) -> Awaitable<ConnectOutcome> {
                                  co_return ConnectOutcome::Connected;
                                },
                                mClock,
                                SeededRandom(3) };
  CrashDetector mDetector{ {},
                           mContext.get_executor(),
                           mView,
                           mMonitor,
                           [](http::Endpoint) -> Awaitable<ConnectOutcome> {
                             co_return ConnectOutcome::Connected;
                           },
                           mClock };
  CrashSuspects mSuspects{
    {},        mContext.get_executor(),
    mDetector, "host",
    mClock,    [](CrashRecord) -> Awaitable<bool> {
                             co_return true; }
  };
  unsigned mSent = 0;
  std::vector<std::optional<Result<UpstreamResponse>>> mResults;
  Forwarder mForwarder{ mContext.get_executor(),
                        mPool,
                        mSuspects,
                        [this](http::Endpoint,
                               UpstreamRequest,
                               std::shared_ptr<http::CancelHandle>) {
                          return Attempt();
                        },
                        mClock,
                        SeededRandom(2) };
};

constexpr std::chrono::milliseconds kLong{ 1000 };
/// Enough for one request, but not after a wait for another one.
constexpr std::chrono::milliseconds kShort{ 100 };

} // namespace

// Guards against requests that are sent to full replicas, and against waiting
// requests that no finished request starts.
Test(service_admission, a_request_waits_for_a_slot)
{
  Fixture fixture;
  fixture.Fill();
  const size_t waiting = fixture.Start(fixture.MakeRequest(kLong));
  cr_expect_eq(fixture.mSent, 2);
  cr_expect_eq(fixture.mForwarder.Admission().WaitingCount(), 1);
  fixture.RunFor(3 * kServiceTime);
  cr_assert(fixture.mResults[waiting]);
  cr_expect(fixture.mResults[waiting]->has_value());
  cr_expect_eq(fixture.mForwarder.Admission().Counts().mRunAfterWait, 1);
}

// Guards against a change for services whose replicas report no pace.
Test(service_admission, other_services_get_their_requests_at_once)
{
  Fixture fixture;
  fixture.mReplica.mId = "other";
  fixture.mReplica.mService = "other";
  fixture.mView.PutReplica(fixture.mReplica);
  for (unsigned i = 0; i < 10; ++i) {
    ForwardRequest request = fixture.MakeRequest(kLong);
    request.mRoute.mServices = { { "other", 1.0 } };
    fixture.Start(std::move(request));
  }
  cr_expect_eq(fixture.mSent, 10);
  cr_expect_eq(fixture.mForwarder.Admission().Counts().mRunAtOnce, 0);
}

// Guards against sending a request whose caller disconnected while it waited,
// and against a place in the queue that stays taken.
Test(service_admission, a_waiting_request_ends_with_its_caller)
{
  Fixture fixture;
  fixture.Fill();
  ForwardRequest request = fixture.MakeRequest(kLong);
  const auto caller = request.mCaller;
  const size_t waiting = fixture.Start(std::move(request));
  caller->MarkDisconnected();
  fixture.mContext.poll();
  cr_assert(fixture.mResults[waiting]);
  cr_expect_eq(fixture.mResults[waiting]->error().mKind, ErrorKind::Canceled);
  cr_expect_eq(fixture.mForwarder.Admission().WaitingCount(), 0);
  fixture.RunFor(3 * kServiceTime);
  cr_expect_eq(fixture.mSent, 2);
}

// Guards against requests that wait past the time at which they can be served,
// against running them then, and against a refusal without a retry time.
Test(service_admission, a_waiting_request_is_refused_when_it_is_too_late)
{
  Fixture fixture;
  fixture.Fill();
  const size_t waiting = fixture.Start(fixture.MakeRequest(kServiceTime / 4));
  fixture.RunFor(kServiceTime / 2);
  cr_expect(fixture.IsRefused(waiting));
  cr_expect_eq(fixture.mForwarder.Admission().WaitingCount(), 0);
  fixture.RunFor(3 * kServiceTime);
  cr_expect_eq(fixture.mSent, 2);
}

// Guards against holding a request that cannot be served in time.
Test(service_admission, a_request_without_time_is_refused_at_once)
{
  Fixture fixture;
  fixture.Fill();
  fixture.RunFor(2 * kServiceTime); // The service time is known then.
  fixture.Fill();
  const size_t refused = fixture.Start(fixture.MakeRequest(kShort));
  cr_expect(fixture.IsRefused(refused));
  cr_expect_eq(fixture.mSent, 4);
}

// Guards against a host that stops and holds, or still runs, requests that
// waited; the caller is sent to another host at once.
Test(service_admission, waiting_requests_are_refused_when_the_host_stops)
{
  Fixture fixture;
  fixture.Fill();
  const size_t waiting = fixture.Start(fixture.MakeRequest(kLong));
  fixture.mForwarder.SetShutdownDeadline(fixture.mClock() +
                                         std::chrono::seconds(5));
  fixture.mContext.poll();
  cr_expect(fixture.IsRefused(waiting));
  cr_expect_eq(fixture.mResults[waiting]->error().mRetryAfter->count(), 0);
  fixture.mContext.restart();
  cr_expect(fixture.IsRefused(fixture.Start(fixture.MakeRequest(kLong))));
  fixture.RunFor(3 * kServiceTime);
  cr_expect_eq(fixture.mSent, 2);
  cr_expect(fixture.mResults[0]->has_value());
}

// Guards against second copies of requests, which take capacity from others
// while it is short.
Test(service_admission, no_hedges_are_sent_while_capacity_is_short)
{
  Fixture fixture;
  fixture.Start(fixture.MakeRequest(kServiceTime / 3));
  fixture.Start(fixture.MakeRequest(kServiceTime / 3));
  fixture.RunFor(2 * kServiceTime);
  cr_expect_eq(fixture.mSent, 2);
}

// Guards against a host that is cut off from the store and takes what the
// others use, since their registrations seem to have ended.
Test(service_admission, a_cut_off_host_keeps_its_share)
{
  Fixture fixture;
  fixture.UseUp(12);
  fixture.SetHosts({ "host", "second" });
  fixture.SetFresh(true);
  cr_expect_eq(fixture.StartAndCount(8), 6);
  fixture.SetFresh(false);
  fixture.SetHosts({});
  cr_expect_eq(fixture.StartAndCount(4), 0);
}

// Guards against a new host that takes the share of several, as the others do
// not know of it yet.
Test(service_admission, a_new_host_counts_itself)
{
  Fixture fixture;
  fixture.UseUp(12);
  fixture.SetHosts({ "second", "third" });
  fixture.SetFresh(true);
  cr_expect_eq(fixture.StartAndCount(6), 4);
}
