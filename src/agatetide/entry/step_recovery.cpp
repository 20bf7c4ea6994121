#include "agatetide/entry/step_recovery.hpp"

#include "agatetide/base/concurrency.hpp"
#include "agatetide/base/event_log.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace agatetide::entry {

namespace asio = boost::asio;

namespace {

/// Interval at which the leader sweeps all records for steps whose owner is
/// gone.
constexpr std::chrono::milliseconds kSweepInterval{ 4000 };
/// Interval at which changes of the hosts are checked, so that changes of
/// several hosts, which often come together, are handled at once.
constexpr std::chrono::milliseconds kRecoverInterval{ 400 };
/// Interval of scans while steps wait for memory.
constexpr std::chrono::milliseconds kDeclinedInterval{ 800 };
/// Steps that are offered at a time.
constexpr size_t kMaxOffers = 4;

} // namespace

StepRecovery::StepRecovery(asio::any_io_executor aExecutor,
                           Clock aClock,
                           std::string aSelf,
                           const fleet::FleetView& aView,
                           steps::StepService& aSteps,
                           StepRecoveryHooks aHooks)
  : mExecutor(std::move(aExecutor))
  , mClock(aClock)
  , mView(aView)
  , mSteps(aSteps)
  , mHooks(std::move(aHooks))
  , mPlan({}, aClock, aSelf)
  , mOffers({}, aClock, aSelf)
{
}

bool StepRecovery::Accept(const StepOffer& aOffer)
{
  const bool accepted = !mStopped && mSteps.CanHold(aOffer.mBytes);
  if (accepted) {
    mSteps.Want(aOffer.mStep);
  }
  return accepted;
}

bool StepRecovery::IsDue(bool aSweep) const
{
  if (aSweep || mRequested) {
    return true;
  }
  // Memory is rarely free again sooner.
  const bool waits =
    !mSteps.Declined().empty() && mClock() - mLastScan < kDeclinedInterval;
  return !waits && (mPlan.ScanDue() || mSteps.NeedsRecovery());
}

Awaitable<void> StepRecovery::Run()
{
  asio::steady_timer timer(mExecutor);
  TimePoint lastSweep = mClock();
  while (!mStopped) {
    timer.expires_after(kRecoverInterval);
    co_await timer.async_wait(asio::use_awaitable);
    mPlan.Update(mView.Hosts(),
                 mView.Config() && mView.Config()->RestrictsRegions());
    const bool sweep =
      mHooks.mMayLead() && mClock() - lastSweep >= kSweepInterval;
    if (!IsDue(sweep)) {
      continue;
    }
    mLastScan = mClock();
    if (co_await RecoverSteps(sweep)) {
      mPlan.MarkScanned();
    }
    co_await OfferDeclined();
    if (sweep) {
      lastSweep = mClock();
      mHooks.mOnSweep();
    }
  }
}

/// Returns false if a scan must follow soon.
Awaitable<bool> StepRecovery::RecoverSteps(bool aSweep)
{
  const bool takeAll = aSweep || std::exchange(mRequested, false);
  std::set<std::string> liveOwners;
  for (const auto& [name, host] : mView.Hosts()) {
    liveOwners.insert(steps::OwnerName(name, host.mIncarnation));
  }
  // Hosts of allowed regions, for steps that may not run in this one.
  std::set<std::string> hostsToAsk;
  std::function<bool(const steps::StepRecord&)> takeOver =
    [&](const steps::StepRecord& aRecord) {
      const auto regions = mHooks.mRegionsOf(aRecord);
      if (!fleet::Includes(regions, mView.Region())) {
        if (aSweep) {
          hostsToAsk.insert(
            mPlan.ResponsibleHost(aRecord.mId, aRecord.mRegion, regions));
        }
        return false;
      }
      return takeAll || mSteps.IsWanted(aRecord.mId) ||
             mPlan.ShouldTakeOver(
               aRecord.mId, aRecord.mOwner, aRecord.mRegion, regions);
    };
  const bool complete =
    co_await mSteps.Recover(std::move(liveOwners), std::move(takeOver), aSweep);
  co_await AskOthers(std::move(hostsToAsk));
  co_return complete;
}

/// Asks other daemons to look for steps without an owner. One that does not
/// answer is asked again after the next sweep.
Awaitable<void> StepRecovery::AskOthers(std::set<std::string> aHosts)
{
  for (const std::string& host : aHosts) {
    const auto endpoint = mView.PeerEndpoint(host);
    if (endpoint.has_error()) {
      continue;
    }
    const auto asked = co_await mHooks.mRequestRecovery(*endpoint);
    LogEvent("recovery_requested")
      .Field("host", host)
      .Field("result",
             asked.has_error() ? FormatError(asked.error()) : std::string("ok"))
      .Write();
  }
}

/// Offers the steps for which this host has no memory to others.
Awaitable<void> StepRecovery::OfferDeclined()
{
  const std::vector<steps::DeclinedStep> declined = mSteps.Declined();
  const std::function<Awaitable<void>(size_t)> offer =
    [this, &declined](size_t aNumber) { return Offer(declined[aNumber]); };
  co_await ForEachConcurrently(mExecutor, declined.size(), kMaxOffers, offer);
}

Awaitable<void> StepRecovery::Offer(steps::DeclinedStep aStep)
{
  const steps::StepRecord& record = aStep.mRecord;
  const auto hosts =
    mOffers.HostsFor(record, mHooks.mRegionsOf(record), mView.Hosts());
  for (const std::string& host : hosts) {
    const auto endpoint = mView.PeerEndpoint(host);
    if (endpoint.has_error()) {
      continue;
    }
    StepOffer offer{ record.mId, aStep.mBytes };
    const auto answer = co_await mHooks.mOfferStep(*endpoint, std::move(offer));
    const bool accepted = answer.has_value() && *answer;
    mOffers.RecordAnswer(record.mId, host, accepted);
    LogEvent("step_offered")
      .Field("step", record.mId)
      .Field("host", host)
      .Field("bytes", static_cast<uint64_t>(aStep.mBytes))
      .Field("result",
             answer.has_error() ? FormatError(answer.error())
                                : std::string(*answer ? "accepted" : "refused"))
      .Write();
    if (accepted) {
      co_return;
    }
  }
}

} // namespace agatetide::entry
