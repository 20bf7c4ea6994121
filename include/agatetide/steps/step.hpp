#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/http/message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::steps {

/// @brief The call that scores the whole text of a sample.
struct ScoringCall
{
  std::string mId;
  std::string mHost;
  std::string mPath;
  std::string mBody;
};

/// @brief One sample to generate.
struct StepItem
{
  std::string mId;
  std::string mPath;
  std::vector<http::Header> mHeaders;
  std::string mBody;
  /// Items of one group share their prompt.
  std::string mGroup;
  /// The trainer's estimate of the output tokens; 0 when there is none.
  uint32_t mExpectedTokens = 0;
  std::optional<ScoringCall> mScoring;
};

/// @brief A trainer's step as it was handed in.
struct StepSubmission
{
  std::string mId;
  std::string mAccount;
  /// Host and path of the submission; they name the route.
  std::string mHost;
  std::string mPath;
  std::string mModel;
  /// Oldest weight version that may generate an event.
  int64_t mMinVersion = 0;
  /// Groups that the trainer waits for.
  uint32_t mDesiredGroups = 0;
  std::vector<StepItem> mItems;
};

/// @brief What the platform store keeps of a step beside items and results.
struct StepRecord
{
  std::string mId;
  std::string mAccount;
  std::string mHost;
  std::string mPath;
  std::string mModel;
  int64_t mMinVersion = 0;
  uint32_t mDesiredGroups = 0;
  uint32_t mItems = 0;
  /// Sum over all items, by the trainer's estimates.
  uint64_t mExpectedTokens = 0;
  /// Values that hold the items.
  uint32_t mChunks = 0;
  /// Unix milliseconds of the submission.
  int64_t mSubmitted = 0;
  /// The process that runs it; see OwnerName().
  std::string mOwner;
  std::string mRegion;
  bool mEnded = false;
  /// Revision of the record in the store; not part of its value.
  int64_t mRevision = 0;
};

enum class ItemState : uint8_t
{
  Completed,
  /// Given up.
  Dead,
};

/// @brief A listed result. Its position is its place in the step's log.
struct ItemResult
{
  std::string mId;
  ItemState mState = ItemState::Completed;
  std::string mText;
  /// Weight versions that generated an event, each once.
  std::vector<int64_t> mVersions;
  /// Signature of the scoring call; empty for items without one.
  std::string mScore;
};

/// @brief The text of a sample that is still being generated.
struct PartialSample
{
  std::string mId;
  /// Data of the events so far.
  std::vector<std::string> mEvents;
  std::vector<int64_t> mVersions;
};

/// @brief Names one start of a daemon.
std::string OwnerName(std::string_view aHost, std::string_view aIncarnation);

std::string EncodeSubmission(const StepSubmission& aSubmission);
std::string EncodeRecord(const StepRecord& aRecord);
std::string EncodeItems(const std::vector<StepItem>& aItems);
std::string EncodeResults(const std::vector<ItemResult>& aResults);

std::string EncodePartials(const std::vector<PartialSample>& aSamples);

/// @brief Errors of all: DataLoss when the bytes do not decode.
Result<StepSubmission> DecodeSubmission(std::string_view aBytes);
Result<StepRecord> DecodeRecord(std::string_view aBytes);
Result<std::vector<StepItem>> DecodeItems(std::string_view aBytes);
Result<std::vector<ItemResult>> DecodeResults(std::string_view aBytes);
Result<std::vector<PartialSample>> DecodePartials(std::string_view aBytes);

} // namespace agatetide::steps
