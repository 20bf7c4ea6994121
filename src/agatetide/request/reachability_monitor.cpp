#include "agatetide/request/reachability_monitor.hpp"

#include "agatetide/base/event_log.hpp"
#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>

namespace agatetide::request {

namespace asio = boost::asio;

bool MayBePathFailure(const Error& aError)
{
  switch (aError.mKind) {
    case ErrorKind::Unavailable:
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::DeadlineExceeded:
      return true;
    default:
      return false;
  }
}

/// A check in progress. Canceling its timer wakes those that wait for it.
struct ReachabilityMonitor::Check
{
  Check(const asio::any_io_executor& aExecutor, TimePoint aStart)
    : mDone(aExecutor, TimePoint::max())
    , mStart(aStart)
  {
  }

  asio::steady_timer mDone;
  TimePoint mStart;
  size_t mTried = 0;
  size_t mReached = 0;
  size_t mFailed = 0;
};

ReachabilityMonitor::ReachabilityMonitor(ReachabilityMonitorOptions aOptions,
                                         asio::any_io_executor aExecutor,
                                         const fleet::FleetView& aView,
                                         ConnectCall aConnect,
                                         Clock aClock,
                                         Random aRandom)
  : mOptions(aOptions)
  , mExecutor(std::move(aExecutor))
  , mView(aView)
  , mConnect(std::move(aConnect))
  , mClock(std::move(aClock))
  , mRandom(std::move(aRandom))
  , mReachability(aOptions.mPolicy)
{
}

/// Random replicas, of different services and availability zones as far as
/// there are, so that the loss of one of those is not taken for a cut.
std::vector<http::Endpoint> ReachabilityMonitor::ChooseReplicas() const
{
  std::vector<const fleet::Replica*> replicas;
  for (const auto& [id, replica] : mView.Replicas()) {
    replicas.push_back(&replica);
  }
  for (size_t i = replicas.size(); i > 1; --i) {
    std::swap(replicas[i - 1], replicas[UniformBelow(mRandom, i)]);
  }
  std::set<std::string_view> seen;
  std::stable_partition(
    replicas.begin(), replicas.end(), [&](const fleet::Replica* aReplica) {
      const bool newService = seen.insert(aReplica->mService).second;
      return seen.insert(aReplica->mAvailabilityZone).second || newService;
    });
  std::vector<http::Endpoint> endpoints;
  const size_t count = mOptions.mFirstReplicas + mOptions.mFurtherReplicas;
  for (const fleet::Replica* replica : replicas) {
    if (endpoints.size() < count) {
      endpoints.push_back(replica->mEndpoint);
    }
  }
  return endpoints;
}

Awaitable<void> ReachabilityMonitor::Connect(std::shared_ptr<Check> aCheck,
                                             http::Endpoint aEndpoint)
{
  const bool reached =
    co_await mConnect(std::move(aEndpoint)) == ConnectOutcome::Connected;
  ++(reached ? aCheck->mReached : aCheck->mFailed);
  aCheck->mDone.cancel();
}

/// Runs a check, or waits for the running one.
Awaitable<void> ReachabilityMonitor::RunCheck()
{
  boost::system::error_code ignored;
  if (const auto running = mRunning) {
    while (mRunning == running) {
      co_await running->mDone.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return;
  }
  const auto check = std::make_shared<Check>(mExecutor, mClock());
  mRunning = check;
  const auto endpoints = ChooseReplicas();
  const std::span<const http::Endpoint> all(endpoints);
  const auto first = all.first(std::min(all.size(), mOptions.mFirstReplicas));
  // One reached replica proves that the host is not cut off; several must be
  // reached before it counts as restored.
  const size_t enough = IsCutOff() ? mOptions.mPolicy.mRestoredReplicas : 1;
  StartConnecting(check, first);
  co_await AwaitReached(check, enough, check->mStart + mOptions.mFurtherDelay);
  if (check->mReached < enough) {
    StartConnecting(check, all.subspan(first.size()));
    co_await AwaitReached(check, enough, TimePoint::max());
  }
  mRunning = nullptr;
  Finish(*check);
  check->mDone.cancel();
}

void ReachabilityMonitor::StartConnecting(
  const std::shared_ptr<Check>& aCheck,
  std::span<const http::Endpoint> aEndpoints)
{
  aCheck->mTried += aEndpoints.size();
  for (const http::Endpoint& endpoint : aEndpoints) {
    asio::co_spawn(mExecutor, Connect(aCheck, endpoint), LogFailure("connect"));
  }
}

/// Waits until aEnough replicas are reached, all have failed, or aEnd has
/// passed.
Awaitable<void> ReachabilityMonitor::AwaitReached(std::shared_ptr<Check> aCheck,
                                                  size_t aEnough,
                                                  TimePoint aEnd)
{
  boost::system::error_code ignored;
  while (aCheck->mReached < aEnough &&
         aCheck->mReached + aCheck->mFailed < aCheck->mTried &&
         mClock() < aEnd) {
    aCheck->mDone.expires_at(aEnd);
    co_await aCheck->mDone.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void ReachabilityMonitor::Finish(const Check& aCheck)
{
  const TimePoint now = mClock();
  if (!mReachability.RecordCheck(aCheck.mTried, aCheck.mReached, now)) {
    return;
  }
  LogEvent("replica_paths", LogLevel::Warning)
    .Field("cut_off", IsCutOff())
    .Field("tried", static_cast<uint64_t>(aCheck.mTried))
    .Field("reached", static_cast<uint64_t>(aCheck.mReached))
    .Field(
      "check_ms",
      std::chrono::duration_cast<Milliseconds>(now - aCheck.mStart).count())
    .Write();
  if (IsCutOff()) {
    asio::co_spawn(
      mExecutor, RecheckUntilRestored(), LogFailure("recheck_until_restored"));
  }
  if (mOnChange) {
    mOnChange(IsCutOff());
  }
}

Awaitable<bool> ReachabilityMonitor::CheckAfterFailure()
{
  if (IsCutOff()) {
    co_return true;
  }
  mReachability.RecordFailure();
  if (mRunning || mReachability.CheckDue(mClock())) {
    co_await RunCheck();
  }
  co_return IsCutOff();
}

Awaitable<void> ReachabilityMonitor::RecheckUntilRestored()
{
  asio::steady_timer timer(mExecutor);
  const auto& interval = mOptions.mPolicy.mRecheckInterval;
  while (IsCutOff()) {
    // Hosts that were cut off together should not all connect at once.
    timer.expires_after(
      interval + Milliseconds(UniformBelow(mRandom, interval.count() / 2)));
    co_await timer.async_wait(asio::use_awaitable);
    co_await RunCheck();
  }
}

} // namespace agatetide::request
