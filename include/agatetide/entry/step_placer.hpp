#pragma once

#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/steps/step_service.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace agatetide::entry {

/// @brief Has another daemon accept a step within aTimeout. Errors: those of
/// http::Client.
using SubmitToPeer = std::function<Awaitable<Result<steps::SubmitOutcome>>(
  http::Endpoint aPeer,
  steps::StepSubmission aSubmission,
  Milliseconds aTimeout)>;

/// @brief Accepts a step on this daemon.
using SubmitLocally = std::function<Awaitable<steps::SubmitOutcome>(
  steps::StepSubmission aSubmission,
  TimePoint aDeadline)>;

struct StepPlacerOptions
{
  /// One daemon of a region in so many runs a model's steps.
  size_t mHostsPerOwner = 8;
  /// A daemon that a step is passed on to has this long.
  Milliseconds mPeerTimeout{ 500 };
  /// Part of it for the way there and back.
  Milliseconds mPeerRoundTripMargin{ 100 };
  /// A daemon that failed gets no step for this long.
  Milliseconds mPeerBackoff{ 3000 };
};

/// @brief Passes steps on to the daemons of the region that run the steps of
/// their model.
///
/// Answers steps that reach any daemon: when each daemon runs a few steps of
/// each model, it opens as many connections to the model's replicas as a step
/// has items, and knows neither their load nor their speed. The record of a
/// step is created once whichever daemon does it, so a daemon that does not
/// answer costs time only. Not thread-safe: owned by the executor of the
/// daemon.
class StepPlacer
{
public:
  /// Precondition: aView outlives the object.
  StepPlacer(StepPlacerOptions aOptions,
             Clock aClock,
             std::string aSelf,
             const fleet::FleetView& aView,
             SubmitLocally aSubmitLocally,
             SubmitToPeer aPeer);

  /// @brief Accepts the step, here or at the daemon that should run it.
  Awaitable<steps::SubmitOutcome> Submit(steps::StepSubmission aSubmission,
                                         TimePoint aDeadline);

  /// @brief The daemon that should run the step; empty when none is known.
  std::string OwnerOf(std::string_view aModel, std::string_view aStep) const;

private:
  /// Another daemon that should run a step.
  struct Owner
  {
    std::string mHost;
    http::Endpoint mEndpoint;
  };

  std::optional<Owner> PeerFor(const steps::StepSubmission& aSubmission) const;

  StepPlacerOptions mOptions;
  Clock mClock;
  std::string mSelf;
  const fleet::FleetView& mView;
  SubmitLocally mSubmitLocally;
  SubmitToPeer mSubmitToPeer;
  /// Daemons that failed, until when they get no step.
  std::map<std::string, TimePoint, std::less<>> mPeerBackoffUntil;
};

} // namespace agatetide::entry
