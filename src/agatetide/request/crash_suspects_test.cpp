#include "agatetide/request/crash_suspects.hpp"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::request;
using policy::CrashVerdict;

namespace {

constexpr size_t kLargeBytes = 100000;

/// A host whose replicas refuse connections, as ended ones do, while another
/// one accepts them.
struct Fixture
{
  Fixture()
  {
    mRoute.mHttpHost = "host";
    mRoute.mServices.push_back({ "service", 1.0 });
    fleet::Replica living;
    living.mId = "living";
    living.mService = "other";
    living.mEndpoint = { "living", 1 };
    mView.PutReplica(living);
    mRequest.mTarget = "/1";
    mRequest.mBody = "body";
  }

  fleet::Replica AddReplica(const std::string& aId,
                            const std::string& aVersion = "v1")
  {
    fleet::Replica replica;
    replica.mId = aId;
    replica.mService = "service";
    replica.mAddress = aId;
    replica.mSoftwareVersion = aVersion;
    replica.mEndpoint = { aId, 1 };
    mView.PutReplica(replica);
    return replica;
  }

  /// Lets a replica end under the request; AddReplica() has added it.
  void Crash(const fleet::Replica& aReplica)
  {
    CallerRequest request(mRequest, mRoute);
    mSuspects.RecordBrokenAttempt(request, aReplica);
    mContext.run_for(Milliseconds(30));
    mContext.restart();
  }

  CrashVerdict Verdict()
  {
    CallerRequest request(mRequest, mRoute);
    return mSuspects.Judge(request).mVerdict;
  }

  void Complete()
  {
    CallerRequest request(mRequest, mRoute);
    mSuspects.RecordCompletion(request);
  }

  boost::asio::io_context mContext;
  Clock mClock = SteadyClock();
  fleet::FleetView mView{ mClock, "zone", "region" };
  fleet::Route mRoute;
  UpstreamRequest mRequest;
  bool mReplicasLive = false;
  ConnectCall mConnect =
    [this](http::Endpoint aReplica) -> Awaitable<ConnectOutcome> {
    co_return mReplicasLive || aReplica.mAddress == "living"
      ? ConnectOutcome::Connected
      : ConnectOutcome::Refused;
  };
  ReachabilityMonitor mMonitor{ {},     mContext.get_executor(),
                                mView,  mConnect,
                                mClock, SeededRandom(1) };
  CrashDetector mDetector{
    { Milliseconds(1), Milliseconds(5), Milliseconds(1) },
    mContext.get_executor(),
    mView,
    mMonitor,
    mConnect,
    mClock
  };
  CrashSuspects mSuspects{
    {},        mContext.get_executor(),
    mDetector, "host-1",
    mClock,    [](CrashRecord) -> Awaitable<bool> {
                             co_return true; }
  };
};

} // namespace

// Guards against a request that is not refused after its third crash, and
// against crashes that count before they are confirmed only.
Test(crash_suspects, three_crashes_refuse_a_request)
{
  Fixture fixture;
  for (const auto expected : { CrashVerdict::RunApart,
                               CrashVerdict::RunAlone,
                               CrashVerdict::Refuse }) {
    const std::string id = "r" + std::to_string(static_cast<int>(expected));
    fixture.Crash(fixture.AddReplica(id));
    cr_expect_eq(fixture.Verdict(), expected);
  }
  cr_expect(fixture.mSuspects.Table().StaleKeys().empty());
}

// Guards against blaming a request for lost answers of a replica that lives.
Test(crash_suspects, a_replica_that_lives_has_not_crashed)
{
  Fixture fixture;
  fixture.mReplicasLive = true;
  fixture.Crash(fixture.AddReplica("r1"));
  cr_expect_eq(fixture.Verdict(), CrashVerdict::Run);
  cr_expect(fixture.mSuspects.Table().IsEmpty());
}

// Guards against blaming the requests that end with a planned stop.
Test(crash_suspects, a_replica_that_leaves_has_not_crashed)
{
  Fixture fixture;
  const fleet::Replica replica = fixture.AddReplica("r1");
  fixture.mView.MarkDraining("r1");
  fixture.Crash(replica);
  cr_expect_eq(fixture.Verdict(), CrashVerdict::Run);
}

// Guards against refusing a frequent request because replicas that run it crash
// for another reason.
Test(crash_suspects, requests_that_were_answered_lately_are_not_blamed)
{
  Fixture fixture;
  fixture.Complete();
  for (const char* id : { "r1", "r2", "r3" }) {
    fixture.Crash(fixture.AddReplica(id));
  }
  cr_expect_eq(fixture.Verdict(), CrashVerdict::Run);
  Fixture large;
  large.mRequest.mBody = std::string(kLargeBytes, 'x');
  large.Complete();
  large.Crash(large.AddReplica("r1"));
  cr_expect_eq(large.Verdict(), CrashVerdict::RunApart);
}

// Guards against a suspicion that outlives the proof that it was wrong.
Test(crash_suspects, an_answer_ends_the_suspicion)
{
  Fixture fixture;
  for (const char* id : { "r1", "r2", "r3" }) {
    fixture.Crash(fixture.AddReplica(id));
  }
  cr_expect_eq(fixture.Verdict(), CrashVerdict::Refuse);
  fixture.Complete();
  cr_expect_eq(fixture.Verdict(), CrashVerdict::Run);
}

// Guards against refusing what only an earlier software version could not bear.
Test(crash_suspects, new_software_brings_a_trial)
{
  Fixture fixture;
  for (const char* id : { "r1", "r2", "r3" }) {
    fixture.Crash(fixture.AddReplica(id));
  }
  fixture.AddReplica("new", "v2");
  cr_expect_eq(fixture.Verdict(), CrashVerdict::Refuse);
  for (const char* id : { "r1", "r2", "r3" }) {
    fixture.mView.RemoveReplica(id);
  }
  cr_expect_eq(fixture.Verdict(), CrashVerdict::RunTrial);
}

// Guards against copies of a suspect that run side by side.
Test(crash_suspects, running_suspects_are_known)
{
  Fixture fixture;
  CallerRequest request(fixture.mRequest, fixture.mRoute);
  cr_expect_not(fixture.mSuspects.IsRunning(request));
  auto first = fixture.mSuspects.MarkRunning(request);
  const auto second = fixture.mSuspects.MarkRunning(request);
  first.reset();
  cr_expect(fixture.mSuspects.IsRunning(request));
}
