#include "agatetide/request/forwarder.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

#include <deque>
#include <set>

using namespace agatetide;
using namespace agatetide::request;
namespace asio = boost::asio;

namespace {

Result<UpstreamResponse> Response(unsigned aStatus)
{
  UpstreamResponse response;
  response.mStatus = aStatus;
  response.mSignature = "signature";
  return response;
}

Result<UpstreamResponse> Refusal()
{
  auto response = Response(503);
  response->mNotRun = true;
  return response;
}

Result<UpstreamResponse> LostResponse()
{
  return Error{ ErrorKind::OutcomeUnknown,
                "the connection was reset",
                "retry if idempotent",
                Execution::Unknown };
}

/// Three replicas; attempts get the scripted results in order, and refusals
/// after the last one. Replicas whose connection broke have crashed, unless
/// mAlive is set.
struct Fixture
{
  explicit Fixture(std::deque<Result<UpstreamResponse>> aScript)
    : mScript(std::move(aScript))
  {
    for (const char* id : { "a", "b", "c" }) {
      AddReplica(id);
    }
  }

  void AddReplica(const std::string& aId)
  {
    fleet::Replica replica;
    replica.mId = aId;
    replica.mService = "service";
    replica.mAddress = aId;
    mView.PutReplica(std::move(replica));
  }

  Result<UpstreamResponse> Run(fleet::RouteKind aKind)
  {
    ForwardRequest request;
    request.mRoute.mKind = aKind;
    request.mRoute.mMaxAttempts = 3;
    request.mRoute.mServices.push_back({ "service", 1.0 });
    request.mPrototype.mId = "id";
    request.mDeadline = mClock() + std::chrono::seconds(2);
    request.mMaxLimitWait = mMaxLimitWait;
    request.mCountCrashes = true;
    Result<UpstreamResponse> result = Error{};
    asio::co_spawn(
      mContext,
      mForwarder.Run(std::move(request)),
      [&](const std::exception_ptr&, Result<UpstreamResponse> aResult) {
        result = std::move(aResult);
        mEnded = mClock();
        mContext.stop();
      });
    mContext.run();
    mContext.restart();
    return result;
  }

  /// Lets all replicas name a limit.
  void LimitReplicas(double aRequestsPerSecond)
  {
    for (const auto& [id, replica] : mView.Replicas()) {
      mPool.Limits().Record(id, { aRequestsPerSecond, mClock() });
    }
  }

  Awaitable<Result<UpstreamResponse>> Attempt(UpstreamRequest aRequest)
  {
    const std::string replica = aRequest.mReplicaId;
    mSent.push_back(std::move(aRequest));
    if (mHangs) {
      asio::steady_timer timer(mContext, std::chrono::seconds(5));
      boost::system::error_code ignored;
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    Result<UpstreamResponse> next = Refusal();
    if (!mScript.empty()) {
      next = std::move(mScript.front());
      mScript.pop_front();
    }
    if (next.has_error() && mReplaces) {
      mView.RemoveReplica(replica);
      AddReplica(replica + "'");
    }
    co_return next;
  }

  Awaitable<bool> GrantTrial()
  {
    if (mHangs) {
      asio::steady_timer timer(mContext, std::chrono::seconds(5));
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_return mGrantsTrials;
  }

  asio::io_context mContext;
  Clock mClock = SteadyClock();
  fleet::FleetView mView{ mClock, "zone", "region" };
  ReplicaPool mPool{ mView, mClock, SeededRandom(1) };
  std::deque<Result<UpstreamResponse>> mScript;
  std::vector<UpstreamRequest> mSent;
  Duration mMaxLimitWait{};
  /// Delays each attempt, and each claim of a trial, beyond the request's
  /// deadline.
  bool mHangs = false;
  /// When Run() returned.
  TimePoint mEnded{};
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
                           [this](http::Endpoint) -> Awaitable<ConnectOutcome> {
                             co_return mAlive ? ConnectOutcome::Connected
                                              : ConnectOutcome::Refused;
                           },
                           mClock };
  CrashSuspects mSuspects{
    {},        mContext.get_executor(),
    mDetector, "host",
    mClock,    [this](CrashRecord) { return GrantTrial(); }
  };
  bool mGrantsTrials = true;
  bool mAlive = false;
  /// Whether replicas that crashed are back at once under another id.
  bool mReplaces = false;
  Forwarder mForwarder{ mContext.get_executor(),
                        mPool,
                        mSuspects,
                        [this](http::Endpoint,
                               UpstreamRequest aRequest,
                               std::shared_ptr<http::CancelHandle>) {
                          return Attempt(std::move(aRequest));
                        },
                        mClock,
                        SeededRandom(2) };
};

} // namespace

// Guards against running a request again after its response was lost, and
// against telling its caller that it has not run.
Test(forwarder, a_non_idempotent_request_with_a_lost_answer_runs_once)
{
  Fixture fixture({ LostResponse(), Response(200) });
  const auto result = fixture.Run(fleet::RouteKind::NonIdempotent);
  cr_assert(result.has_error());
  cr_expect_eq(fixture.mSent.size(), 1);
  cr_expect_eq(result.error().mKind, ErrorKind::OutcomeUnknown);
  cr_expect_eq(result.error().mExecution, Execution::Unknown);
}

// Guards against trying a request that cannot be sent at one replica after the
// other, and against blaming the replicas for it.
Test(forwarder, a_request_that_cannot_be_sent_is_tried_once)
{
  const Error invalid{ ErrorKind::InvalidArgument,
                       "the value of a header has a control character",
                       "correct the request",
                       Execution::NotRun };
  Fixture fixture(
    { invalid, Response(200), Response(200), Response(200), Response(200) });
  const auto result = fixture.Run(fleet::RouteKind::Idempotent);
  cr_assert(result.has_error());
  cr_expect(result.error().mKind == ErrorKind::InvalidArgument);
  cr_expect(result.error().mExecution == Execution::NotRun);
  cr_expect_eq(fixture.mSent.size(), 1);
  std::set<std::string> replicas;
  for (int i = 0; i < 4; ++i) {
    cr_expect(fixture.Run(fleet::RouteKind::Idempotent).has_value());
    replicas.insert(fixture.mSent.back().mReplicaId);
  }
  cr_expect(replicas.contains(fixture.mSent.front().mReplicaId));
}

// Guards against reporting a request as not run because later attempts were
// refused, although the first attempt may have run.
Test(forwarder, a_refusal_after_a_lost_answer_promises_nothing)
{
  Fixture fixture({ LostResponse(), Refusal(), Refusal() });
  const auto result = fixture.Run(fleet::RouteKind::Idempotent);
  cr_assert(result.has_error());
  cr_expect_eq(result.error().mExecution, Execution::Unknown);
  cr_expect_neq(result.error().mKind, ErrorKind::Unavailable);
}

// Guards against failing an idempotent request, or waiting for its deadline,
// when the response of the first replica is lost.
Test(forwarder, an_idempotent_request_is_sent_to_another_replica)
{
  Fixture fixture({ LostResponse(), Response(200) });
  const auto result = fixture.Run(fleet::RouteKind::Idempotent);
  cr_assert(result.has_value());
  cr_assert_eq(fixture.mSent.size(), 2);
  cr_expect_neq(fixture.mSent[0].mReplicaId, fixture.mSent[1].mReplicaId);
}

// Guards against failing a non-idempotent request that was only refused so far
// and is therefore safe to retry.
Test(forwarder, a_refused_non_idempotent_request_goes_to_another_replica)
{
  Fixture fixture({ Refusal(), Response(200) });
  cr_expect(fixture.Run(fleet::RouteKind::NonIdempotent).has_value());
  cr_expect_eq(fixture.mSent.size(), 2);
}

// Guards against an unknown outcome when all replicas refused the request: the
// caller could not retry it safely.
Test(forwarder, refusals_of_all_replicas_promise_that_it_has_not_run)
{
  Fixture fixture({});
  const auto result = fixture.Run(fleet::RouteKind::NonIdempotent);
  cr_assert(result.has_error());
  cr_expect_eq(result.error().mExecution, Execution::NotRun);
  cr_expect_eq(result.error().mKind, ErrorKind::Unavailable);
}

// Guards against sending a non-idempotent request on a reused connection that
// the replica has closed: the connection is reset, and the request cannot be
// retried since it may have run.
Test(forwarder, only_idempotent_requests_use_kept_connections)
{
  Fixture once({ Response(200) });
  cr_expect(once.Run(fleet::RouteKind::NonIdempotent).has_value());
  cr_expect(once.mSent.at(0).mFreshConnection);
  Fixture often({ Response(200) });
  cr_expect(often.Run(fleet::RouteKind::Idempotent).has_value());
  cr_expect_not(often.mSent.at(0).mFreshConnection);
}

// Guards against running requests whose connections are cut at shutdown
// because they do not get a response before the daemon exits.
Test(forwarder, ends_running_requests_of_a_host_that_stops)
{
  Fixture fixture({});
  fixture.mHangs = true;
  const TimePoint end = fixture.mClock() + std::chrono::milliseconds(100);
  asio::steady_timer stop(fixture.mContext, std::chrono::milliseconds(20));
  stop.async_wait([&](const boost::system::error_code&) {
    fixture.mForwarder.SetShutdownDeadline(end);
  });
  const auto result = fixture.Run(fleet::RouteKind::NonIdempotent);
  cr_assert(result.has_error());
  cr_expect_eq(result.error().mKind, ErrorKind::DeadlineExceeded);
  cr_expect_eq(result.error().mExecution, Execution::Unknown);
  cr_expect(fixture.mEnded - end < std::chrono::milliseconds(500));
}

// Guards against refusing a request that a limited replica can soon run.
Test(forwarder, a_request_waits_for_a_limited_replica)
{
  Fixture fixture({ Response(200) });
  fixture.mMaxLimitWait = std::chrono::seconds(1);
  fixture.LimitReplicas(40.0);
  const TimePoint start = fixture.mClock();
  cr_expect(fixture.Run(fleet::RouteKind::Idempotent).has_value());
  cr_expect_gt(fixture.mEnded - start, std::chrono::milliseconds(50));
}

// Guards against a request that waits although no replica can run it in time,
// and against a refusal without a time to come back.
Test(forwarder, a_request_beyond_all_limits_is_refused_at_once)
{
  for (const Duration maxWait :
       { Duration::zero(), Duration(std::chrono::milliseconds(300)) }) {
    Fixture fixture({ Response(200) });
    fixture.mMaxLimitWait = maxWait;
    fixture.LimitReplicas(2.0);
    const TimePoint start = fixture.mClock();
    const auto result = fixture.Run(fleet::RouteKind::Idempotent);
    cr_assert(result.has_error());
    cr_expect_eq(result.error().mExecution, Execution::NotRun);
    cr_expect(result.error().mRetryAfter > std::chrono::milliseconds(1000));
    cr_expect_lt(fixture.mEnded - start, std::chrono::milliseconds(100));
    cr_expect(fixture.mSent.empty());
  }
}

// Guards against one request of a caller that ends three replicas: two end, and
// the caller has to come again.
Test(forwarder, a_request_that_crashes_two_replicas_is_not_sent_to_a_third)
{
  Fixture fixture({ LostResponse(), LostResponse(), Response(200) });
  const auto result = fixture.Run(fleet::RouteKind::Idempotent);
  cr_assert(result.has_error());
  cr_expect_eq(fixture.mSent.size(), 2);
  cr_expect_eq(result.error().mKind, ErrorKind::OutcomeUnknown);
  cr_expect_eq(result.error().mExecution, Execution::Unknown);
}

// Guards against fewer attempts than the route allows for a request whose
// answers are lost while the replicas live.
Test(forwarder, lost_answers_of_living_replicas_do_not_end_a_request)
{
  Fixture fixture({ LostResponse(), LostResponse(), Response(200) });
  fixture.mAlive = true;
  cr_expect(fixture.Run(fleet::RouteKind::Idempotent).has_value());
  cr_expect_eq(fixture.mSent.size(), 3);
}

// Guards against a request that comes again after it crashed three replicas,
// and against a refusal that promises too much, too little, or no time to come
// back.
Test(forwarder, a_request_that_crashed_three_replicas_is_refused_at_once)
{
  Fixture fixture({ LostResponse(), LostResponse(), LostResponse() });
  fixture.mReplaces = true;
  fixture.Run(fleet::RouteKind::Idempotent);
  const auto third = fixture.Run(fleet::RouteKind::Idempotent);
  cr_assert(third.has_error());
  cr_expect_eq(third.error().mExecution, Execution::Unknown);
  const size_t sent = fixture.mSent.size();
  cr_expect_eq(sent, 3);
  const TimePoint start = fixture.mClock();
  const auto result = fixture.Run(fleet::RouteKind::Idempotent);
  cr_assert(result.has_error());
  cr_expect_eq(fixture.mSent.size(), sent);
  cr_expect_eq(result.error().mKind, ErrorKind::Unavailable);
  cr_expect_eq(result.error().mExecution, Execution::NotRun);
  cr_expect(result.error().mRetryAfter > std::chrono::milliseconds(1000));
  cr_expect_lt(fixture.mEnded - start, std::chrono::milliseconds(100));
}

namespace {

/// Lets three replicas end under the request, and replaces all by those of
/// another software version.
void CrashThree(Fixture& aFixture)
{
  aFixture.mReplaces = true;
  aFixture.mScript = { LostResponse(), LostResponse(), LostResponse() };
  aFixture.Run(fleet::RouteKind::Idempotent);
  aFixture.Run(fleet::RouteKind::Idempotent);
  std::vector<fleet::Replica> replicas;
  for (const auto& [id, replica] : aFixture.mView.Replicas()) {
    replicas.push_back(replica);
  }
  for (fleet::Replica& replica : replicas) {
    replica.mSoftwareVersion = "new";
    aFixture.mView.PutReplica(std::move(replica));
  }
  aFixture.mSent.clear();
}

} // namespace

// Guards against a trial that is sent to several replicas, and against one that
// brings a sound request no answer.
Test(forwarder, a_trial_is_one_attempt)
{
  Fixture guilty({});
  CrashThree(guilty);
  guilty.mScript = { LostResponse(), Response(200) };
  cr_expect(guilty.Run(fleet::RouteKind::Idempotent).has_error());
  cr_expect_eq(guilty.mSent.size(), 1);
  Fixture sound({});
  CrashThree(sound);
  sound.mScript = { Refusal(), Response(200), Response(200) };
  cr_expect(sound.Run(fleet::RouteKind::Idempotent).has_value());
  cr_expect(sound.Run(fleet::RouteKind::Idempotent).has_value());
}

// Guards against a trial that two hosts run, and against holding its caller
// until the deadline while the store does not answer.
Test(forwarder, a_trial_that_is_not_granted_is_refused_at_once)
{
  for (const bool hangs : { false, true }) {
    Fixture fixture({});
    CrashThree(fixture);
    fixture.mGrantsTrials = false;
    fixture.mHangs = hangs;
    const TimePoint start = fixture.mClock();
    const auto result = fixture.Run(fleet::RouteKind::Idempotent);
    cr_assert(result.has_error());
    cr_expect_eq(result.error().mExecution, Execution::NotRun);
    cr_expect(result.error().mRetryAfter > std::chrono::milliseconds(0));
    cr_expect(fixture.mSent.empty());
    cr_expect_lt(fixture.mEnded - start, std::chrono::milliseconds(900));
  }
}
