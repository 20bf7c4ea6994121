#include "agatetide/entry/step_router.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/event_log.hpp"

#include <algorithm>
#include <vector>

namespace agatetide::entry {

using steps::SubmitOutcome;

namespace {

/// Whether the daemon that gave this answer may store the step, now or later.
bool MayExist(const Result<SubmitOutcome>& aAnswer)
{
  return aAnswer.has_error() ? aAnswer.error().mExecution != Execution::NotRun
                             : *aAnswer == SubmitOutcome::Unknown;
}

} // namespace

StepRouter::StepRouter(StepRouterOptions aOptions,
                       Clock aClock,
                       std::string aSelf,
                       const fleet::FleetView& aView,
                       LocalSubmitCall aSubmitLocally,
                       PeerSubmitCall aSubmitToPeer)
  : mOptions(aOptions)
  , mClock(std::move(aClock))
  , mSelf(std::move(aSelf))
  , mView(aView)
  , mSubmitLocally(std::move(aSubmitLocally))
  , mSubmitToPeer(std::move(aSubmitToPeer))
{
}

std::string StepRouter::OwnerOf(
  std::string_view aModel,
  std::string_view aStep,
  const std::optional<fleet::RegionSet>& aAllowedRegions) const
{
  return ChooseOwner(aModel, aStep, aAllowedRegions, {});
}

std::string StepRouter::ChooseOwner(
  std::string_view aModel,
  std::string_view aStep,
  const std::optional<fleet::RegionSet>& aAllowedRegions,
  const HostSet& aExcluded) const
{
  const bool here = fleet::Includes(aAllowedRegions, mView.Region());
  std::vector<std::pair<uint64_t, std::string_view>> ranks;
  std::vector<std::pair<uint64_t, std::string_view>> cutOff;
  for (const auto& [name, host] : mView.Hosts()) {
    const auto backoff = mPeerBackoffUntil.find(name);
    const bool inRegion = here ? host.mRegion == mView.Region()
                               : aAllowedRegions->contains(host.mRegion);
    if (inRegion && !host.mDraining && !host.mPeerAddress.empty() &&
        !aExcluded.contains(name) &&
        (backoff == mPeerBackoffUntil.end() || mClock() >= backoff->second)) {
      (host.mCutOff ? cutOff : ranks)
        .emplace_back(Hash64(name, Hash64(aModel)), name);
    }
  }
  if (ranks.empty()) {
    ranks = std::move(cutOff);
  }
  if (ranks.empty()) {
    return {};
  }
  std::sort(ranks.begin(), ranks.end());
  const size_t owners =
    std::max<size_t>(1, ranks.size() / mOptions.mHostsPerOwner);
  return std::string(ranks[Hash64(aStep) % owners].second);
}

/// std::nullopt if this daemon should run the step. Precondition: the step may
/// run in this region.
std::optional<StepRouter::Owner> StepRouter::PeerFor(
  const steps::StepSubmission& aSubmission) const
{
  const std::string owner = OwnerOf(aSubmission.mModel, aSubmission.mId);
  if (owner == mSelf ||
      steps::SizeInBytes(aSubmission.mItems) > mOptions.mMaxForwardedBytes) {
    return std::nullopt;
  }
  const auto endpoint = mView.PeerEndpoint(owner);
  if (endpoint.has_error()) {
    return std::nullopt;
  }
  return Owner{ owner, *endpoint };
}

/// Submits the step to another daemon, which gets no steps for a while if it
/// does not answer.
Awaitable<Result<SubmitOutcome>> StepRouter::SubmitTo(
  Owner aPeer,
  steps::StepSubmission aSubmission,
  Milliseconds aTimeout)
{
  const std::string step = aSubmission.mId;
  auto forwarded =
    co_await mSubmitToPeer(aPeer.mEndpoint, std::move(aSubmission), aTimeout);
  if (forwarded.has_value() && *forwarded == SubmitOutcome::Accepted) {
    co_return forwarded;
  }
  if (forwarded.has_error()) {
    mPeerBackoffUntil[aPeer.mHost] = mClock() + mOptions.mPeerBackoff;
  }
  LogEvent("step_not_passed_on", LogLevel::Warning)
    .Field("step", step)
    .Field("host", aPeer.mHost)
    .Field("error",
           forwarded.has_error() ? FormatError(forwarded.error())
                                 : std::string("refused"))
    .Write();
  co_return forwarded;
}

/// Submits a step that may not run in this region to daemons of allowed ones,
/// one after another.
Awaitable<SubmitOutcome> StepRouter::SubmitElsewhere(
  steps::StepSubmission aSubmission,
  fleet::RegionSet aAllowedRegions,
  TimePoint aDeadline)
{
  const size_t bytes = steps::SizeInBytes(aSubmission.mItems);
  const bool large = bytes > mOptions.mMaxForwardedBytes;
  bool mayExist = false;
  HostSet tried;
  while (bytes <= mOptions.mMaxRelocatedBytes &&
         tried.size() < mOptions.mMaxRelocations) {
    const auto timeLeft =
      std::chrono::duration_cast<Milliseconds>(aDeadline - mClock());
    const std::string owner =
      ChooseOwner(aSubmission.mModel, aSubmission.mId, aAllowedRegions, tried);
    if (owner.empty() || timeLeft <= Milliseconds(0)) {
      break;
    }
    tried.insert(owner);
    const auto endpoint = mView.PeerEndpoint(owner);
    if (endpoint.has_error()) {
      continue;
    }
    // GCC destroys a braced argument of an awaited call twice.
    Owner peer{ owner, *endpoint };
    const Milliseconds timeout =
      large ? timeLeft : std::min(timeLeft, mOptions.mPeerTimeout);
    const auto forwarded =
      co_await SubmitTo(std::move(peer), aSubmission, timeout);
    if (forwarded.has_value() && *forwarded == SubmitOutcome::Accepted) {
      co_return SubmitOutcome::Accepted;
    }
    mayExist = mayExist || MayExist(forwarded);
  }
  LogEvent("step_outside_allowed_regions", LogLevel::Warning)
    .Field("step", aSubmission.mId)
    .Field("bytes", static_cast<uint64_t>(bytes))
    .Field("hosts_tried", static_cast<uint64_t>(tried.size()))
    .Field("outcome", mayExist ? "unknown" : "refused")
    .Write();
  co_return mayExist ? SubmitOutcome::Unknown : SubmitOutcome::Refused;
}

Awaitable<SubmitOutcome> StepRouter::Submit(steps::StepSubmission aSubmission,
                                            TimePoint aDeadline)
{
  if (const auto& config = mView.Config()) {
    auto regions = config->AllowedRegions(
      aSubmission.mHttpHost, aSubmission.mPath, aSubmission.mAccount);
    if (!fleet::Includes(regions, mView.Region())) {
      co_return co_await SubmitElsewhere(
        std::move(aSubmission), std::move(*regions), aDeadline);
    }
  }
  bool mayExist = false;
  if (auto peer = PeerFor(aSubmission)) {
    const auto forwarded =
      co_await SubmitTo(std::move(*peer), aSubmission, mOptions.mPeerTimeout);
    if (forwarded.has_value() && *forwarded == SubmitOutcome::Accepted) {
      co_return SubmitOutcome::Accepted;
    }
    mayExist = MayExist(forwarded);
  }
  const auto outcome =
    co_await mSubmitLocally(std::move(aSubmission), aDeadline);
  if (outcome == SubmitOutcome::Refused && mayExist) {
    // The other daemon may still create the step.
    co_return SubmitOutcome::Unknown;
  }
  co_return outcome;
}

} // namespace agatetide::entry
