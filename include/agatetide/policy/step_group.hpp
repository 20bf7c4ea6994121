#pragma once

#include <cstdint>
#include <span>

namespace agatetide::policy {

enum class PromptGroupPolicy
{
  /// Starts all samples of a group and never moves a stream.
  StartAll,
  /// Starts only the needed samples; starts spare samples and moves streams
  /// only for stragglers.
  SparesForStragglers,
};

struct StepGroupOptions
{
  PromptGroupPolicy mPolicy = PromptGroupPolicy::SparesForStragglers;
  /// Share of a step's tokens that spare samples may waste.
  double mMaxWasteShare = 0.04;
  /// Ratio to the typical number of tokens from which a sample counts as long.
  double mLongFactor = 1.5;
  /// Share of the typical rate below which a stream counts as slow.
  double mSlowFactor = 0.5;
  /// Seconds that a stream must have run before its rate is used.
  double mMinObservationSeconds = 0.5;
  /// Seconds that a move must save, since it costs another prefill.
  double mMoveCostSeconds = 0.5;
  /// Seconds in an engine's queue after which a stream may move to an engine
  /// with free slots.
  double mMaxQueueSeconds = 0.5;
};

/// @brief Sample counts of one prompt.
struct PromptGroupState
{
  uint32_t mNeeded = 0;
  uint32_t mComplete = 0;
  uint32_t mActive = 0;
  uint32_t mUnstarted = 0;
};

/// @brief A running stream.
struct StreamState
{
  /// Tokens of the sample, those of earlier streams included.
  uint32_t mTokens = 0;
  /// Tokens of the current stream.
  uint32_t mStreamTokens = 0;
  /// Running time of the current stream.
  double mStreamSeconds = 0.0;
};

/// @brief Statistics of the samples of a step.
struct StepProgress
{
  /// Tokens of a typical complete sample; 0 while none is complete.
  double mTypicalTokens = 0.0;
  /// Tokens per second of a typical stream; 0 while unknown.
  double mTypicalRate = 0.0;
  /// Limit on the tokens of a sample.
  uint32_t mMaxTokens = 0;
  /// Expected tokens of all needed samples together.
  double mExpectedTokens = 0.0;
  /// Tokens that have been, or may still be, wasted on spare samples.
  double mReservedTokens = 0.0;
};

/// @brief Returns whether enough samples of the group are complete.
inline bool HasEnoughSamples(const PromptGroupState& aGroup)
{
  return aGroup.mComplete >= aGroup.mNeeded;
}

/// @brief Returns whether a sample of the group should start now.
bool MayStartSample(const PromptGroupState& aGroup,
                    const StepGroupOptions& aOptions);

/// @brief Returns the tokens to reserve from the waste budget for a spare
/// sample beside this straggler; 0 if none should start.
double SpareTokenReserve(const PromptGroupState& aGroup,
                         const StreamState& aStraggler,
                         const StepProgress& aProgress,
                         const StepGroupOptions& aOptions);

/// @brief Returns whether the stream should move to another engine and resume
/// there from its tokens. Used by daemon::Rollout; steps::StepRunner uses
/// ShouldMoveItem() instead.
bool ShouldMoveStream(const StreamState& aStream,
                      const StepProgress& aProgress,
                      const StepGroupOptions& aOptions);

/// @brief Returns how many of the streams that wait in engine queues should
/// move to engines with free slots. aLongestWaitsFirst holds their waiting
/// times in seconds.
size_t StreamsToRequeue(std::span<const double> aLongestWaitsFirst,
                        size_t aFreeEngines,
                        const StepGroupOptions& aOptions);

/// @brief Returns the median rate, in tokens per second, of the streams that
/// have run for mMinObservationSeconds and have tokens; 0 if there are none.
double TypicalRate(std::span<const StreamState> aStreams,
                   const StepGroupOptions& aOptions);

} // namespace agatetide::policy
