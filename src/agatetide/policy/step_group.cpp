#include "agatetide/policy/step_group.hpp"

#include <algorithm>
#include <vector>

namespace agatetide::policy {

namespace {

constexpr size_t kMaxRequeuedPerFreeEngine = 2;

double StreamRate(const StreamState& aStream)
{
  return aStream.mStreamSeconds <= 0.0
           ? 0.0
           : aStream.mStreamTokens / aStream.mStreamSeconds;
}

/// Returns whether the stream has run long enough for its rate to be used.
bool IsMeasured(const StreamState& aStream, const StepGroupOptions& aOptions)
{
  return aStream.mStreamSeconds >= aOptions.mMinObservationSeconds;
}

} // namespace

bool MayStartSample(const PromptGroupState& aGroup,
                    const StepGroupOptions& aOptions)
{
  if (aGroup.mUnstarted == 0 || HasEnoughSamples(aGroup)) {
    return false;
  }
  return aOptions.mPolicy == PromptGroupPolicy::StartAll ||
         aGroup.mComplete + aGroup.mActive < aGroup.mNeeded;
}

double SpareTokenReserve(const PromptGroupState& aGroup,
                         const StreamState& aStraggler,
                         const StepProgress& aProgress,
                         const StepGroupOptions& aOptions)
{
  const bool spareRunning =
    aGroup.mComplete + aGroup.mActive > aGroup.mNeeded &&
    !HasEnoughSamples(aGroup);
  if (aOptions.mPolicy == PromptGroupPolicy::StartAll ||
      aGroup.mUnstarted == 0 || HasEnoughSamples(aGroup) || spareRunning ||
      aProgress.mTypicalTokens <= 0.0 ||
      aStraggler.mTokens < aOptions.mLongFactor * aProgress.mTypicalTokens) {
    return 0.0;
  }
  // Sample lengths have a heavy tail: the expected remaining length of a long
  // sample equals its length so far, up to the limit.
  const double remaining = std::min<double>(
    aStraggler.mTokens,
    aProgress.mMaxTokens - std::min(aProgress.mMaxTokens, aStraggler.mTokens));
  if (remaining <= aProgress.mTypicalTokens) {
    return 0.0;
  }
  // Either the spare is discarded, or the straggler with the tokens that it
  // generates while the spare runs. The larger loss is reserved.
  const double reserve = aStraggler.mTokens + aProgress.mTypicalTokens;
  const double budget = aOptions.mMaxWasteShare * aProgress.mExpectedTokens;
  return aProgress.mReservedTokens + reserve <= budget ? reserve : 0.0;
}

bool ShouldMoveStream(const StreamState& aStream,
                      const StepProgress& aProgress,
                      const StepGroupOptions& aOptions)
{
  if (aOptions.mPolicy == PromptGroupPolicy::StartAll ||
      aProgress.mTypicalRate <= 0.0 || !IsMeasured(aStream, aOptions)) {
    return false;
  }
  const double rate = StreamRate(aStream);
  if (rate >= aOptions.mSlowFactor * aProgress.mTypicalRate) {
    return false;
  }
  const double expectedTokens = aProgress.mTypicalTokens > aStream.mTokens
                                  ? aProgress.mTypicalTokens
                                  : aProgress.mMaxTokens;
  const double remaining = expectedTokens - aStream.mTokens;
  const double minRate = 1.0 / aOptions.mMinObservationSeconds;
  const double saved =
    remaining / std::max(rate, minRate) - remaining / aProgress.mTypicalRate;
  return saved > aOptions.mMoveCostSeconds;
}

size_t StreamsToRequeue(std::span<const double> aLongestWaitsFirst,
                        size_t aFreeEngines,
                        const StepGroupOptions& aOptions)
{
  if (aOptions.mPolicy == PromptGroupPolicy::StartAll) {
    return 0;
  }
  const auto overdue = std::count_if(
    aLongestWaitsFirst.begin(), aLongestWaitsFirst.end(), [&](double aSeconds) {
      return aSeconds >= aOptions.mMaxQueueSeconds;
    });
  // Limited, since load reports lag and other steps see the same free slots.
  return std::min(static_cast<size_t>(overdue),
                  aFreeEngines * kMaxRequeuedPerFreeEngine);
}

double TypicalRate(std::span<const StreamState> aStreams,
                   const StepGroupOptions& aOptions)
{
  std::vector<double> rates;
  for (const StreamState& stream : aStreams) {
    if (IsMeasured(stream, aOptions) && stream.mStreamTokens > 0) {
      rates.push_back(StreamRate(stream));
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
