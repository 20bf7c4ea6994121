#include "agatetide/request/crash_detector.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace agatetide::request {

namespace asio = boost::asio;

/// A probe in progress. Canceling its timer wakes those that wait for it.
struct CrashDetector::Check
{
  explicit Check(const asio::any_io_executor& aExecutor)
    : mTimer(aExecutor, TimePoint::max())
  {
  }

  asio::steady_timer mTimer;
  std::optional<ProbeResult> mResult;
};

CrashDetector::CrashDetector(CrashDetectorOptions aOptions,
                             asio::any_io_executor aExecutor,
                             const fleet::FleetView& aView,
                             ReachabilityMonitor& aMonitor,
                             ConnectCall aConnect,
                             Clock aClock)
  : mOptions(aOptions)
  , mExecutor(std::move(aExecutor))
  , mView(aView)
  , mMonitor(aMonitor)
  , mConnect(std::move(aConnect))
  , mClock(std::move(aClock))
{
}

Awaitable<ProbeResult> CrashDetector::Probe(fleet::Replica aReplica)
{
  const CheckKey key{ aReplica.mId, aReplica.mStartTimeMs };
  if (const auto running = mChecks.find(key); running != mChecks.end()) {
    const std::shared_ptr<Check> check = running->second;
    boost::system::error_code ignored;
    co_await check->mTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    co_return check->mResult.value_or(ProbeResult::Unknown);
  }
  const auto check = std::make_shared<Check>(mExecutor);
  mChecks[key] = check;
  check->mResult = co_await RunProbe(std::move(aReplica));
  mChecks.erase(key);
  check->mTimer.cancel();
  co_return *check->mResult;
}

Awaitable<ProbeResult> CrashDetector::RunProbe(fleet::Replica aReplica)
{
  asio::steady_timer timer(mExecutor);
  for (const bool isSecond : { false, true }) {
    if (isSecond) {
      timer.expires_after(mOptions.mSecondProbeDelay);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (HasEnded(aReplica)) {
      co_return ProbeResult::Crashed;
    }
    if (mMonitor.IsCutOff()) {
      co_return ProbeResult::Unknown;
    }
    switch (co_await mConnect(aReplica.mEndpoint)) {
      case ConnectOutcome::Connected:
        break;
      case ConnectOutcome::Refused:
        co_return co_await mMonitor.CheckAfterFailure() ? ProbeResult::Unknown
                                                        : ProbeResult::Crashed;
      case ConnectOutcome::NoResponse:
        co_return ProbeResult::Unknown;
    }
  }
  co_return ProbeResult::Reached;
}

Awaitable<bool> CrashDetector::AwaitEnd(fleet::Replica aReplica)
{
  const TimePoint end = mClock() + mOptions.mRegistrationTimeout;
  asio::steady_timer timer(mExecutor);
  while (!HasEnded(aReplica)) {
    if (mClock() >= end) {
      co_return false;
    }
    timer.expires_after(mOptions.mPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return true;
}

/// Whether the registration is gone, or that of another start has its id or
/// address.
bool CrashDetector::HasEnded(const fleet::Replica& aReplica) const
{
  const fleet::Replica* current = mView.FindReplica(aReplica.mId);
  if (current == nullptr || current->mStartTimeMs != aReplica.mStartTimeMs) {
    return true;
  }
  for (const auto& [id, other] : mView.Replicas()) {
    if (id != aReplica.mId && other.mAddress == aReplica.mAddress &&
        other.mStartTimeMs > aReplica.mStartTimeMs) {
      return true;
    }
  }
  return false;
}

} // namespace agatetide::request
