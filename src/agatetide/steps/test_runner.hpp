#pragma once

#include "agatetide/coordination/test_store.hpp"
#include "agatetide/steps/step_runner.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace agatetide::steps {

namespace asio = boost::asio;

constexpr uint32_t kSlots = 4;

/// @brief For tests: a runner with engines of four slots, whose streams never
/// end, and a store in memory.
struct TestRunner
{
  explicit TestRunner(bool aReportsPace, size_t aEngineCount = 1)
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

  /// Calls the store; calls for which mHolds returns true wait for Release(),
  /// and those for which mFails does get no answer. Replies for which
  /// mHoldsReplies returns true wait for Release() after the call took effect.
  Awaitable<Result<coordination::StoreReply>> CallStore(
    coordination::StoreRequest aRequest)
  {
    if (mHolds && mHolds(aRequest)) {
      co_await WaitForRelease();
    }
    if (mFails && mFails(aRequest)) {
      co_return Error{ ErrorKind::Unavailable, "no answer", "wait" };
    }
    auto reply = mStore.Apply(aRequest);
    if (mHoldsReplies && mHoldsReplies(aRequest)) {
      co_await WaitForRelease();
    }
    co_return reply;
  }

  Awaitable<void> WaitForRelease()
  {
    ++mHeldCount;
    boost::system::error_code ignored;
    co_await mHeld.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }

  /// Lets the calls that were held go on, and holds no further ones.
  void Release()
  {
    mHolds = nullptr;
    mHoldsReplies = nullptr;
    mHeld.cancel();
    Poll();
  }

  void Poll()
  {
    mContext.restart();
    mContext.poll();
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
  std::function<bool(const coordination::StoreRequest&)> mHolds;
  std::function<bool(const coordination::StoreRequest&)> mHoldsReplies;
  std::function<bool(const coordination::StoreRequest&)> mFails;
  asio::steady_timer mHeld{ mContext, asio::steady_timer::time_point::max() };
  int mHeldCount = 0;
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
  StepStore mSteps{ [this](coordination::StoreRequest aRequest) {
                     return CallStore(std::move(aRequest));
                   },
                    {} };
  std::shared_ptr<MemoryBudget> mItemBudget =
    std::make_shared<MemoryBudget>(SIZE_MAX);
  StepContext mStepContext{ mContext.get_executor(),
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
                            mItemBudget };
  StepRunner mRunner{ mStepContext };
};

/// @brief For tests: items with a group each.
inline std::vector<StepItem> MakeItems(std::vector<uint32_t> aTokens)
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

} // namespace agatetide::steps
