#include "agatetide/entry/step_router.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace agatetide;
using namespace agatetide::entry;
using steps::SubmitOutcome;

namespace {

/// A daemon in a region with several hosts, and one host in another region.
struct Fixture
{
  explicit Fixture(size_t aHosts = 3)
  {
    std::map<std::string, fleet::EntryHost, std::less<>> hosts;
    for (size_t i = 0; i < aHosts; ++i) {
      fleet::EntryHost host;
      host.mName = "host-" + std::to_string(i);
      host.mRegion = "region";
      host.mPeerAddress = "127.0.0.1:" + std::to_string(i + 1);
      hosts[host.mName] = host;
    }
    fleet::EntryHost far;
    far.mName = "far";
    far.mRegion = "elsewhere";
    far.mPeerAddress = "127.0.0.1:99";
    hosts["far"] = far;
    mView.SetHosts(std::move(hosts));
  }

  /// A model whose steps run on another daemon.
  std::string ModelOwnedByPeer() const
  {
    std::string model = "model";
    while (mStepRouter.OwnerOf(model, "") == "host-0") {
      model += "x";
    }
    return model;
  }

  /// Submits a step of that model.
  SubmitOutcome Submit(size_t aBytes = 0)
  {
    steps::StepSubmission submission;
    submission.mModel = ModelOwnedByPeer();
    submission.mAccount = "account";
    submission.mItems.resize(1);
    submission.mItems[0].mBody = std::string(aBytes, 'b');
    return coordination::RunCoroutine(
      mStepRouter.Submit(submission, mClock.Now() + std::chrono::seconds(1)));
  }

  /// Lets the account of the steps use these regions only.
  void Restrict(fleet::RegionSet aRegions)
  {
    auto config = std::make_shared<fleet::ServiceConfig>();
    config->mVersion = ++mConfigVersion;
    config->mAccounts["account"].mAllowedRegions = std::move(aRegions);
    mView.UpdateConfig(std::move(config));
  }

  ManualClock mClock;
  int64_t mConfigVersion = 0;
  std::set<uint16_t> mPeerPorts;
  Milliseconds mPeerTimeout{ 0 };
  fleet::FleetView mView{ mClock.AsClock(), "zone", "region" };
  Result<SubmitOutcome> mPeerOutcome = SubmitOutcome::Accepted;
  SubmitOutcome mLocalOutcome = SubmitOutcome::Accepted;
  int mLocalCalls = 0;
  int mPeerCalls = 0;
  StepRouter mStepRouter{
    {},
    mClock.AsClock(),
    "host-0",
    mView,
    [this](steps::StepSubmission, TimePoint) -> Awaitable<SubmitOutcome> {
      ++mLocalCalls;
      co_return mLocalOutcome;
    },
    [this](http::Endpoint aPeer,
           steps::StepSubmission,
           Milliseconds aTimeout) -> Awaitable<Result<SubmitOutcome>> {
      ++mPeerCalls;
      mPeerPorts.insert(aPeer.mPort);
      mPeerTimeout = aTimeout;
      co_return mPeerOutcome;
    }
  };
};

} // namespace

Test(step_placer, all_steps_of_a_model_go_to_one_daemon_of_a_small_region)
{
  const Fixture fixture;
  std::set<std::string> owners;
  for (int i = 0; i < 20; ++i) {
    owners.insert(
      fixture.mStepRouter.OwnerOf("model", "step-" + std::to_string(i)));
  }
  cr_expect_eq(owners.size(), 1);
  cr_expect(!owners.contains("far"));
}

// Guards against a large region in which one daemon runs all steps of a model.
Test(step_placer, a_large_region_spreads_the_steps_of_a_model)
{
  const Fixture fixture(32);
  std::set<std::string> owners;
  for (int i = 0; i < 100; ++i) {
    owners.insert(
      fixture.mStepRouter.OwnerOf("model", "step-" + std::to_string(i)));
  }
  cr_expect_eq(owners.size(), 4);
}

Test(step_placer, a_step_is_accepted_by_the_daemon_that_runs_its_model)
{
  Fixture fixture;
  cr_expect(fixture.Submit() == SubmitOutcome::Accepted);
  cr_expect_eq(fixture.mPeerCalls, 1);
  cr_expect_eq(fixture.mLocalCalls, 0);
}

// Guards against steps that are lost because the daemon that should run them
// doesn't answer.
Test(step_placer, a_daemon_that_does_not_answer_is_left_out_for_a_while)
{
  Fixture fixture;
  fixture.mPeerOutcome = Error{
    ErrorKind::DeadlineExceeded, "no answer", "retry", Execution::Unknown
  };
  const std::string model = fixture.ModelOwnedByPeer();
  const std::string owner = fixture.mStepRouter.OwnerOf(model, "");
  cr_expect(fixture.Submit() == SubmitOutcome::Accepted);
  cr_expect_eq(fixture.mLocalCalls, 1);
  cr_expect(fixture.mStepRouter.OwnerOf(model, "") != owner);
  fixture.mClock.Advance(StepRouterOptions().mPeerBackoff);
  cr_expect(fixture.mStepRouter.OwnerOf(model, "") == owner);
}

// Guards against a refusal, which means that nothing of the step runs, although
// the other daemon may still create the step.
Test(step_placer, a_step_that_may_be_kept_elsewhere_is_not_refused)
{
  Fixture fixture;
  fixture.mLocalOutcome = SubmitOutcome::Refused;
  fixture.mPeerOutcome = Error{
    ErrorKind::DeadlineExceeded, "no answer", "retry", Execution::Unknown
  };
  cr_expect(fixture.Submit() == SubmitOutcome::Unknown);
  Fixture refused;
  refused.mLocalOutcome = SubmitOutcome::Refused;
  refused.mPeerOutcome = SubmitOutcome::Refused;
  cr_expect(refused.Submit() == SubmitOutcome::Refused);
}

// Guards against a step that runs, or whose items go, where its regions do not
// allow it, also if it is large or no other host accepts it.
Test(step_placer, a_step_for_another_region_goes_only_there)
{
  const size_t sizes[] = { 0, size_t{ 5 } << 20U };
  for (const size_t bytes : sizes) {
    Fixture fixture;
    fixture.Restrict({ "elsewhere" });
    cr_expect(fixture.Submit(bytes) == SubmitOutcome::Accepted);
    cr_expect(fixture.mPeerPorts == std::set<uint16_t>{ 99 });
    // A large step takes longer to send.
    const Milliseconds usual = StepRouterOptions().mPeerTimeout;
    cr_expect(bytes == 0 ? fixture.mPeerTimeout == usual
                         : fixture.mPeerTimeout > usual);
    fixture.mPeerOutcome = SubmitOutcome::Refused;
    cr_expect(fixture.Submit(bytes) == SubmitOutcome::Refused);
    cr_expect(fixture.mPeerPorts == std::set<uint16_t>{ 99 });
    cr_expect_eq(fixture.mLocalCalls, 0);
  }
}

// Guards against a refusal of a step that a host of its region may have stored,
// and against an endless search.
Test(step_placer, a_step_that_may_exist_in_its_region_is_not_refused)
{
  Fixture fixture(0);
  fixture.Restrict({ "elsewhere" });
  fixture.mPeerOutcome = Error{
    ErrorKind::DeadlineExceeded, "no answer", "retry", Execution::Unknown
  };
  cr_expect(fixture.Submit() == SubmitOutcome::Unknown);
  cr_expect_eq(fixture.mPeerCalls, 1);
  // The host gets no steps for a while.
  cr_expect(fixture.Submit() == SubmitOutcome::Refused);
  cr_expect_eq(fixture.mPeerCalls, 1);
  cr_expect_eq(fixture.mLocalCalls, 0);
}

// Guards against steps that leave their region although it is allowed, or that
// run although no region is.
Test(step_placer, an_allowed_own_region_is_used_first)
{
  Fixture fixture;
  fixture.Restrict({ "region", "elsewhere" });
  cr_expect(fixture.Submit() == SubmitOutcome::Accepted);
  cr_expect(!fixture.mPeerPorts.contains(99));
  fixture.mPeerPorts.clear();
  fixture.Restrict({});
  cr_expect(fixture.Submit() == SubmitOutcome::Refused);
  cr_expect(fixture.mPeerPorts.empty());
  cr_expect_eq(fixture.mLocalCalls, 0);
}
