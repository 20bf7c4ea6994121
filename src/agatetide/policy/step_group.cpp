#include "agatetide/policy/step_group.hpp"

#include <algorithm>
#include <vector>

namespace agatetide::policy {

namespace {

constexpr size_t kRequeuedPerFreeEngine = 2;

double Rate(const StreamState& aStream)
{
  return aStream.mStreamSeconds <= 0.0
           ? 0.0
           : aStream.mStreamTokens / aStream.mStreamSeconds;
}

bool Judged(const StreamState& aStream, const StepGroupOptions& aOptions)
{
  return aStream.mStreamSeconds >= aOptions.mMinObservationSeconds;
}

} // namespace

bool MayLaunch(const GroupState& aGroup, const StepGroupOptions& aOptions)
{
  if (aGroup.mUnstarted == 0 || HasEnoughSamples(aGroup)) {
    return false;
  }
  return aOptions.mPolicy == GroupPolicy::LaunchAll ||
         aGroup.mComplete + aGroup.mActive < aGroup.mNeeded;
}

double SpareTokenReserve(const GroupState& aGroup,
                         const StreamState& aStraggler,
                         const StepProgress& aProgress,
                         const StepGroupOptions& aOptions)
{
  const bool spareRunning =
    aGroup.mComplete + aGroup.mActive > aGroup.mNeeded &&
    !HasEnoughSamples(aGroup);
  if (aOptions.mPolicy == GroupPolicy::LaunchAll || aGroup.mUnstarted == 0 ||
      HasEnoughSamples(aGroup) || spareRunning ||
      aProgress.mTypicalTokens <= 0.0 ||
      aStraggler.mTokens < aOptions.mLongFactor * aProgress.mTypicalTokens) {
    return 0.0;
  }
  // A sample that is already long has a heavy-tailed rest: the expected rest
  // is as long as what it has, up to the limit.
  const double rest = std::min<double>(
    aStraggler.mTokens,
    aProgress.mMaxTokens - std::min(aProgress.mMaxTokens, aStraggler.mTokens));
  if (rest <= aProgress.mTypicalTokens) {
    return 0.0;
  }
  // Either the straggler with what it gains meanwhile, or the spare, is lost.
  const double reserve = aStraggler.mTokens + aProgress.mTypicalTokens;
  const double budget = aOptions.mMaxWasteShare * aProgress.mExpectedTokens;
  return aProgress.mReservedTokens + reserve <= budget ? reserve : 0.0;
}

bool ShouldMoveStream(const StreamState& aStream,
                      const StepProgress& aProgress,
                      const StepGroupOptions& aOptions)
{
  if (aOptions.mPolicy == GroupPolicy::LaunchAll ||
      aProgress.mTypicalRate <= 0.0 || !Judged(aStream, aOptions)) {
    return false;
  }
  const double rate = Rate(aStream);
  if (rate >= aOptions.mSlowFactor * aProgress.mTypicalRate) {
    return false;
  }
  const double length = aProgress.mTypicalTokens > aStream.mTokens
                          ? aProgress.mTypicalTokens
                          : aProgress.mMaxTokens;
  const double rest = length - aStream.mTokens;
  const double slowest = 1.0 / aOptions.mMinObservationSeconds;
  const double saved =
    rest / std::max(rate, slowest) - rest / aProgress.mTypicalRate;
  return saved > aOptions.mMoveCostSeconds;
}

size_t StreamsToRequeue(std::span<const double> aLongestFirst,
                        size_t aFreeEngines,
                        const StepGroupOptions& aOptions)
{
  if (aOptions.mPolicy == GroupPolicy::LaunchAll) {
    return 0;
  }
  const auto waited = std::count_if(
    aLongestFirst.begin(), aLongestFirst.end(), [&](double aSeconds) {
      return aSeconds >= aOptions.mMaxQueueSeconds;
    });
  // Load reports lag, and other steps see the same free slots.
  return std::min(static_cast<size_t>(waited),
                  aFreeEngines * kRequeuedPerFreeEngine);
}

double TypicalRate(std::span<const StreamState> aStreams,
                   const StepGroupOptions& aOptions)
{
  std::vector<double> rates;
  for (const StreamState& stream : aStreams) {
    if (Judged(stream, aOptions) && stream.mStreamTokens > 0) {
      rates.push_back(Rate(stream));
    }
  }
  if (rates.empty()) {
    return 0.0;
  }
  const auto middle =
    rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::nth_element(rates.begin(), middle, rates.end());
  return *middle;
}

} // namespace agatetide::policy
