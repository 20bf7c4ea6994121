#include "agatetide/entry/step_router.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/event_log.hpp"

#include <algorithm>
#include <vector>

namespace agatetide::entry {

using steps::SubmitOutcome;

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

std::string StepRouter::OwnerOf(std::string_view aModel,
                                std::string_view aStep) const
{
  std::vector<std::pair<uint64_t, std::string_view>> ranks;
  std::vector<std::pair<uint64_t, std::string_view>> cutOff;
  for (const auto& [name, host] : mView.Hosts()) {
    const auto backoff = mPeerBackoffUntil.find(name);
    if (host.mRegion == mView.Region() && !host.mDraining &&
        !host.mPeerAddress.empty() &&
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

/// std::nullopt if this daemon should run the step.
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

Awaitable<SubmitOutcome> StepRouter::Submit(steps::StepSubmission aSubmission,
                                            TimePoint aDeadline)
{
  bool mayExist = false;
  if (const auto peer = PeerFor(aSubmission)) {
    const auto forwarded = co_await mSubmitToPeer(
      peer->mEndpoint, aSubmission, mOptions.mPeerTimeout);
    if (forwarded.has_value() && *forwarded == SubmitOutcome::Accepted) {
      co_return SubmitOutcome::Accepted;
    }
    mayExist = forwarded.has_error()
                 ? forwarded.error().mExecution != Execution::NotRun
                 : *forwarded == SubmitOutcome::Unknown;
    if (forwarded.has_error()) {
      mPeerBackoffUntil[peer->mHost] = mClock() + mOptions.mPeerBackoff;
    }
    LogEvent("step_not_passed_on", LogLevel::Warning)
      .Field("step", aSubmission.mId)
      .Field("host", peer->mHost)
      .Field("error",
             forwarded.has_error() ? FormatError(forwarded.error())
                                   : std::string("refused"))
      .Write();
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
