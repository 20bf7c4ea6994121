#pragma once

#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/steps/step_service.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace agatetide::entry {

/// @brief Submits a step to another daemon, within aTimeout. Errors: those of
/// http::Client.
using PeerSubmitCall = std::function<Awaitable<Result<steps::SubmitOutcome>>(
  http::Endpoint aPeer,
  steps::StepSubmission aSubmission,
  Milliseconds aTimeout)>;

/// @brief Submits a step to this daemon.
using LocalSubmitCall = std::function<Awaitable<steps::SubmitOutcome>(
  steps::StepSubmission aSubmission,
  TimePoint aDeadline)>;

struct StepRouterOptions
{
  /// Steps with more bytes of items are not forwarded: sending them takes
  /// longer than mPeerTimeout, and memory at both hosts.
  size_t mMaxForwardedBytes = size_t{ 2 } << 20U;
  /// Hosts of a region for each daemon that runs the steps of a model; at least
  /// one daemon does.
  size_t mHostsPerOwner = 8;
  /// Timeout of a submission to another daemon.
  Milliseconds mPeerTimeout{ 500 };
  /// Part of mPeerTimeout that is reserved for the network round trip.
  Milliseconds mPeerRoundTripMargin{ 100 };
  /// Time for which a daemon that failed gets no steps.
  Milliseconds mPeerBackoff{ 3000 };
};

/// @brief Forwards each step to a daemon of the region that runs the steps of
/// its model. Large steps run where they arrive.
///
/// Steps arrive at any daemon. If each daemon ran a few steps of each model, it
/// would open as many connections to the model's replicas as a step has items,
/// without knowing their load or speed. The record of a step is created only
/// once, whichever daemon does it, so a daemon that doesn't reply only costs
/// time. Not thread-safe: use it only on the executor of the daemon.
class StepRouter
{
public:
  /// Precondition: aView outlives the object.
  StepRouter(StepRouterOptions aOptions,
             Clock aClock,
             std::string aSelf,
             const fleet::FleetView& aView,
             LocalSubmitCall aSubmitLocally,
             PeerSubmitCall aSubmitToPeer);

  /// @brief Submits the step to the daemon that should run it, and to this one
  /// if that fails. aDeadline only applies to this daemon.
  Awaitable<steps::SubmitOutcome> Submit(steps::StepSubmission aSubmission,
                                         TimePoint aDeadline);

  /// @brief The daemon that should run the step, one that reaches replicas if
  /// there is any; empty if none is available.
  std::string OwnerOf(std::string_view aModel, std::string_view aStep) const;

private:
  /// A daemon other than this one that should run a step.
  struct Owner
  {
    std::string mHost;
    http::Endpoint mEndpoint;
  };

  std::optional<Owner> PeerFor(const steps::StepSubmission& aSubmission) const;

  StepRouterOptions mOptions;
  Clock mClock;
  std::string mSelf;
  const fleet::FleetView& mView;
  LocalSubmitCall mSubmitLocally;
  PeerSubmitCall mSubmitToPeer;
  /// Time until which a daemon that failed gets no steps, by host.
  std::map<std::string, TimePoint, std::less<>> mPeerBackoffUntil;
};

} // namespace agatetide::entry
