#include "agatetide/steps/step_runner.hpp"

#include "agatetide/coordination/test_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace agatetide;
using namespace agatetide::steps;
namespace asio = boost::asio;

namespace {

constexpr uint32_t kSlots = 4;

/// A runner with engines of four slots, whose streams never end.
struct Fixture
{
  explicit Fixture(bool aReportsPace, size_t aEngineCount = 1)
  {
    auto config = std::make_shared<fleet::ServiceConfig>();
    config->mVersion = 1;
    fleet::Route route;
    route.mHttpHost = "host";
    route.mPathPrefix = "/";
    route.mServices.push_back({ "engine", 1.0 });
    route.mResultTimeout = Milliseconds(7500);
    config->mRoutes.push_back(std::move(route));
    mView.UpdateConfig(std::move(config));
    for (size_t i = 0; i < aEngineCount; ++i) {
      AddEngine("replica-" + std::to_string(i), aReportsPace);
    }
  }

  void AddEngine(const std::string& aId, bool aReportsPace)
  {
    fleet::Replica replica;
    replica.mId = aId;
    replica.mService = "engine";
    replica.mSlots = kSlots;
    replica.mVersions["model"] = 1;
    mView.PutReplica(std::move(replica));
    if (aReportsPace) {
      mPool.RecordHeaderLoad(aId, { 0, 0, kSlots, 1.0 });
    }
  }

  OwnedStepPtr Adopt(std::vector<StepItem> aItems,
                     uint32_t aDesired,
                     LogPart aLog = {},
                     std::vector<PartialSample> aPartials = {},
                     std::string aId = "step")
  {
    StepRecord record;
    record.mId = std::move(aId);
    record.mAccount = "account";
    record.mHttpHost = "host";
    record.mPath = "/";
    record.mModel = "model";
    record.mDesiredGroups = aDesired;
    record.mItemCount = static_cast<uint32_t>(aItems.size());
    record.mSubmittedMs = mWallClock();
    auto step = mRunner.Adopt(std::move(record),
                              std::move(aItems),
                              MemoryReservation(nullptr),
                              std::move(aLog),
                              std::move(aPartials));
    mContext.poll();
    return step;
  }

  /// Adopts a step in a call of the event loop, as a daemon does, and runs
  /// aAfter in the call after the one that starts its items.
  OwnedStepPtr AdoptInLoop(
    std::vector<StepItem> aItems,
    uint32_t aDesired,
    const std::function<void(const OwnedStepPtr&)>& aAfter = {})
  {
    StepRecord record;
    record.mId = "step";
    record.mHttpHost = "host";
    record.mPath = "/";
    record.mModel = "model";
    record.mDesiredGroups = aDesired;
    record.mSubmittedMs = mWallClock();
    OwnedStepPtr step;
    asio::post(mContext, [&] {
      step = mRunner.Adopt(std::move(record),
                           std::move(aItems),
                           MemoryReservation(nullptr),
                           {},
                           {});
      asio::post(mContext, [&] {
        if (aAfter) {
          aAfter(step);
        }
      });
    });
    mContext.poll();
    return step;
  }

  Awaitable<Result<request::UpstreamResponse>> Stream(
    request::UpstreamRequest aRequest)
  {
    mSent.push_back(aRequest.mId);
    mResumed.push_back(aRequest.mResumeAfter.value_or(0));
    if (mOnStream) {
      co_return mOnStream();
    }
    asio::steady_timer timer(mContext, asio::steady_timer::time_point::max());
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    co_return Error{};
  }

  asio::io_context mContext;
  ManualClock mTime;
  Clock mClock = mTime.AsClock();
  WallClock mWallClock = [] { return int64_t{ 1'000'000 }; };
  std::vector<std::string> mSent;
  std::vector<uint32_t> mResumed;
  /// Ends each stream at once, without suspending. May be empty.
  std::function<Error()> mOnStream;
  fleet::FleetView mView{ mClock, "zone", "region" };
  request::ReplicaPool mPool{ mView, mClock, SeededRandom(1) };
  request::ReachabilityMonitor mMonitor{
    {},
    mContext.get_executor(),
    mView,
    [](http::Endpoint) -> Awaitable<request::ConnectOutcome> {
      co_return request::ConnectOutcome::Connected;
    },
    mClock,
    SeededRandom(2)
  };
  request::CrashDetector mDetector{
    {},
    mContext.get_executor(),
    mView,
    mMonitor,
    [](http::Endpoint) -> Awaitable<request::ConnectOutcome> {
      co_return request::ConnectOutcome::Connected;
    },
    mClock
  };
  request::CrashSuspects mSuspects{
    {},        mContext.get_executor(),
    mDetector, "host",
    mClock,    [](request::CrashRecord) -> Awaitable<bool> { co_return false; }
  };
  request::Forwarder mForwarder{
    mContext.get_executor(), mPool, mSuspects, {}, mClock, SeededRandom(3)
  };
  coordination::FaultyStore mStore;
  StepStore mSteps{ mStore.AsCall(), {} };
  StepRunner mRunner{ { mContext.get_executor(),
                        mView,
                        mPool,
                        mForwarder,
                        [this](http::Endpoint,
                               request::UpstreamRequest aRequest,
                               request::StreamOptions) {
                          return Stream(std::move(aRequest));
                        },
                        mSteps,
                        mClock,
                        mWallClock,
                        "owner",
                        nullptr,
                        nullptr } };
};

/// One group for each item.
std::vector<StepItem> MakeItems(std::vector<uint32_t> aTokens)
{
  std::vector<StepItem> items;
  for (const uint32_t tokens : aTokens) {
    StepItem item;
    item.mId = std::to_string(items.size());
    item.mGroup = "group-" + item.mId;
    item.mExpectedTokens = tokens;
    items.push_back(std::move(item));
  }
  return items;
}

} // namespace

// Guards against a step that is taken over and starts like a new one: results
// and partial samples count for its groups, and the group that the trainer does
// not need still does not start.
Test(step_runner, a_step_that_is_taken_over_is_planned_again)
{
  Fixture fixture(true);
  LogPart log;
  ItemResult result;
  result.mId = "0";
  log.mResults.push_back(std::move(result));
  log.mResultCounts = { 1 };
  PartialSample partial;
  partial.mId = "1";
  partial.mEvents.assign(150, "event");
  const auto step = fixture.Adopt(
    MakeItems({ 40, 160, 40, 100 }), 3, std::move(log), { partial });
  cr_assert_eq(fixture.mSent.size(), 2);
  cr_expect_str_eq(fixture.mSent[0].c_str(), "2");
  cr_expect_str_eq(fixture.mSent[1].c_str(), "1");
  cr_expect_eq(fixture.mResumed[1], 150);
  fixture.mTime.Advance(std::chrono::seconds(1));
  fixture.mRunner.StartWaitingItems();
  fixture.mContext.poll();
  cr_expect_eq(fixture.mSent.size(), 2);
  cr_assert_eq(step->mPlan.mSpare.size(), 1);
  cr_expect_eq(step->mPlan.mSpare[0].mGroup, 3);
}

// Guards against streams that fail without suspending, as those of a host that
// is cut off from all replicas do, and start further items from inside the loop
// that started them: the loop then walked a plan that was freed, and each
// stream took more of the stack.
Test(step_runner, streams_that_fail_at_once_do_not_start_others_inside_a_pass)
{
  constexpr size_t kEngines = 300;
  constexpr uint32_t kItems = kEngines * kSlots;
  constexpr uintptr_t kMaxStackBytes = 4096;
  Fixture fixture(true, kEngines);
  uintptr_t lowest = UINTPTR_MAX;
  uintptr_t highest = 0;
  fixture.mOnStream = [&] {
    const auto frame = reinterpret_cast<uintptr_t>(__builtin_frame_address(0));
    lowest = std::min(lowest, frame);
    highest = std::max(highest, frame);
    return Error{ ErrorKind::Unavailable,
                  "no connection is open",
                  "use another replica",
                  Execution::NotRun };
  };
  fixture.AdoptInLoop(MakeItems(std::vector<uint32_t>(kItems, 40)), kItems / 2);
  cr_expect_geq(fixture.mSent.size(), kEngines);
  cr_expect_lt(highest - lowest, kMaxStackBytes);
  const std::set<std::string> sent(fixture.mSent.begin(), fixture.mSent.end());
  cr_expect_eq(sent.size(), fixture.mSent.size(), "an item started twice");
  cr_expect_eq(fixture.mRunner.RunningItemCount(), 0);
}

// Guards against an item that a step has started and that is sent although the
// step was stopped before its stream began.
Test(step_runner, a_step_that_stops_at_once_sends_nothing)
{
  Fixture fixture(true);
  fixture.AdoptInLoop(
    MakeItems({ 40 }), 1, [&fixture](const OwnedStepPtr& aStep) {
      fixture.mRunner.Stop(aStep, false);
    });
  cr_expect(fixture.mSent.empty());
  cr_expect_eq(fixture.mRunner.RunningItemCount(), 0);
}

// Guards against a group that comes again in a later step and is left out
// because it is long, where its place in the list does not tell.
Test(step_runner, a_group_of_an_earlier_step_is_needed)
{
  Fixture fixture(true);
  const auto first = fixture.Adopt(MakeItems({ 200 }), 1, {}, {}, "first");
  fixture.mRunner.Stop(first, false);
  auto items = MakeItems({ 200, 20 });
  items[0].mId = "again";
  fixture.Adopt(std::move(items), 1, {}, {}, "second");
  cr_assert_geq(fixture.mSent.size(), 2);
  cr_expect_str_eq(fixture.mSent[1].c_str(), "again");
}

// Guards against the new order where no replica reports a pace: there, all
// groups start, the longest item first.
Test(step_runner, services_without_a_pace_keep_the_order_by_length)
{
  Fixture fixture(false);
  fixture.Adopt(MakeItems({ 40, 90, 40, 300 }), 3);
  const std::vector<std::string> expected{ "3", "1", "0", "2" };
  cr_expect(fixture.mSent == expected);
}
