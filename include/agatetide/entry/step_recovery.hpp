#pragma once

#include "agatetide/entry/step_offers.hpp"
#include "agatetide/entry/takeover_plan.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <set>
#include <string>

namespace agatetide::entry {

/// @brief What StepRecovery needs of the daemon. None may be empty.
struct StepRecoveryHooks
{
  /// Whether this host leads, and so sweeps the steps of all hosts.
  std::function<bool()> mMayLead;
  /// The regions whose hosts may run the step; std::nullopt allows all.
  std::function<std::optional<fleet::RegionSet>(const steps::StepRecord&)>
    mRegionsOf;
  /// Asks the daemon at an address to look for steps without an owner.
  std::function<Awaitable<Result<bool>>(http::Endpoint)> mRequestRecovery;
  /// Offers a step to the daemon at an address; returns whether it accepts.
  std::function<Awaitable<Result<bool>>(http::Endpoint, StepOffer)> mOfferStep;
  /// Called after each sweep.
  std::function<void()> mOnSweep;
};

/// @brief Takes over steps whose owner is gone: one daemon of the region does
/// it, and the leader's sweep takes the remaining ones. Steps that may not run
/// in the leader's region are left to a daemon of an allowed one, which it
/// asks. Steps for which this host has no memory are offered to others. Not
/// thread-safe.
class StepRecovery
{
public:
  /// Precondition: aView and aSteps outlive the object.
  StepRecovery(boost::asio::any_io_executor aExecutor,
               Clock aClock,
               std::string aSelf,
               const fleet::FleetView& aView,
               steps::StepService& aSteps,
               StepRecoveryHooks aHooks);

  /// @brief Runs until Stop(). Call once.
  Awaitable<void> Run();

  /// @brief Takes over no more steps, and accepts none.
  void Stop() { mStopped = true; }

  /// @brief Another daemon has asked this one to look for steps without an
  /// owner.
  void Request() { mRequested = true; }

  /// @brief Whether this host takes a step that another one cannot hold. If so,
  /// it is taken over soon.
  bool Accept(const StepOffer& aOffer);

private:
  bool IsDue(bool aSweep) const;
  Awaitable<bool> RecoverSteps(bool aSweep);
  Awaitable<void> AskOthers(std::set<std::string> aHosts);
  Awaitable<void> OfferDeclined();
  Awaitable<void> Offer(steps::DeclinedStep aStep);

  boost::asio::any_io_executor mExecutor;
  Clock mClock;
  const fleet::FleetView& mView;
  steps::StepService& mSteps;
  StepRecoveryHooks mHooks;
  TakeoverPlan mPlan;
  StepOffers mOffers;
  TimePoint mLastScan{};
  bool mRequested = false;
  bool mStopped = false;
};

} // namespace agatetide::entry
