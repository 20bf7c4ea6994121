#pragma once

#include <cstdint>
#include <span>

namespace agatetide::policy {

enum class GroupPolicy
{
  /// Starts every sample of a group and never moves a stream.
  LaunchAll,
  /// Starts what the group needs; spares and moves only for stragglers.
  SparesForStragglers,
};

struct StepGroupOptions
{
  GroupPolicy mPolicy = GroupPolicy::SparesForStragglers;
  /// Share of a step's tokens that spare samples may waste.
  double mMaxWasteShare = 0.04;
  /// A sample is long when it has this many times the typical tokens.
  double mLongFactor = 1.5;
  /// A stream is slow below this share of the typical rate.
  double mSlowFactor = 0.5;
  /// A stream is judged after this many seconds.
  double mMinObservationSeconds = 0.5;
  /// Seconds that a moved stream must save to be worth the second prefill.
  double mMoveCostSeconds = 0.5;
  /// A stream that waited this long in an engine's queue may go to an engine
  /// with free slots.
  double mMaxQueueSeconds = 0.5;
};

/// @brief The samples of one prompt.
struct GroupState
{
  uint32_t mNeeded = 0;
  uint32_t mComplete = 0;
  uint32_t mActive = 0;
  uint32_t mUnstarted = 0;
};

/// @brief A stream that is running now.
struct StreamState
{
  /// Tokens of the sample, and of those the ones of the present stream.
  uint32_t mTokens = 0;
  uint32_t mStreamTokens = 0;
  double mStreamSeconds = 0.0;
};

/// @brief What a step has learnt from its samples.
struct StepProgress
{
  /// Tokens of a typical whole sample; 0 while none is whole.
  double mTypicalTokens = 0.0;
  /// Tokens per second of a typical stream; 0 while unknown.
  double mTypicalRate = 0.0;
  uint32_t mMaxTokens = 0;
  /// Tokens that all needed samples are expected to have.
  double mExpectedTokens = 0.0;
  /// Tokens that have been, or may still be, wasted on spare samples.
  double mReservedTokens = 0.0;
};

/// @brief Whether enough samples of the group are whole.
inline bool HasEnoughSamples(const GroupState& aGroup)
{
  return aGroup.mComplete >= aGroup.mNeeded;
}

/// @brief Whether a sample of the group should start now.
bool MayLaunch(const GroupState& aGroup, const StepGroupOptions& aOptions);

/// @brief Tokens to reserve from the waste budget for a spare sample beside
/// this straggler; 0 when no spare should start.
double SpareTokenReserve(const GroupState& aGroup,
                         const StreamState& aStraggler,
                         const StepProgress& aProgress,
                         const StepGroupOptions& aOptions);

/// @brief Whether the stream should move to another engine and resume there
/// from its tokens.
bool ShouldMoveStream(const StreamState& aStream,
                      const StepProgress& aProgress,
                      const StepGroupOptions& aOptions);

/// @brief How many streams that wait in engines' queues should move to
/// engines with free slots. aLongestFirst are their waits in seconds.
size_t StreamsToRequeue(std::span<const double> aLongestFirst,
                        size_t aFreeEngines,
                        const StepGroupOptions& aOptions);

/// @brief Median rate in tokens per second of the streams that have run long
/// enough to be judged; 0 when there are none.
double TypicalRate(std::span<const StreamState> aStreams,
                   const StepGroupOptions& aOptions);

} // namespace agatetide::policy
