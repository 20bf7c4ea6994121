#pragma once

#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/steps/step_service.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
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
  /// Limit for steps that may not run in this region. Below what PeerChannel
  /// accepts, with room for what a message holds besides the items.
  size_t mMaxRelocatedBytes = size_t{ 48 } << 20U;
  /// Hosts of allowed regions to which such a step is sent one after another.
  size_t mMaxRelocations = 3;
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
/// A step that may not run in this region goes to a daemon of an allowed
/// region instead, whatever its size, and never runs here.
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
  /// if that fails and the step may run in this region. aDeadline only applies
  /// to this daemon and to steps that may not run here.
  Awaitable<steps::SubmitOutcome> Submit(steps::StepSubmission aSubmission,
                                         TimePoint aDeadline);

  /// @brief The daemon that should run the step, one that reaches replicas if
  /// there is any; empty if none is available. It is one of this region if
  /// aAllowedRegions include it, otherwise one of any allowed region.
  std::string OwnerOf(
    std::string_view aModel,
    std::string_view aStep,
    const std::optional<fleet::RegionSet>& aAllowedRegions = {}) const;

private:
  using HostSet = std::set<std::string, std::less<>>;

  /// A daemon other than this one that should run a step.
  struct Owner
  {
    std::string mHost;
    http::Endpoint mEndpoint;
  };

  std::string ChooseOwner(
    std::string_view aModel,
    std::string_view aStep,
    const std::optional<fleet::RegionSet>& aAllowedRegions,
    const HostSet& aExcluded) const;
  std::optional<Owner> PeerFor(const steps::StepSubmission& aSubmission) const;
  Awaitable<Result<steps::SubmitOutcome>> SubmitTo(
    Owner aPeer,
    steps::StepSubmission aSubmission,
    Milliseconds aTimeout);
  Awaitable<steps::SubmitOutcome> SubmitElsewhere(
    steps::StepSubmission aSubmission,
    fleet::RegionSet aAllowedRegions,
    TimePoint aDeadline);

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
