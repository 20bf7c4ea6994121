#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/base/memory_budget.hpp"
#include "agatetide/base/shared_bytes.hpp"
#include "agatetide/http/message.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::steps {

/// @brief Maximum size of an entry of a step's log. The store takes values of
/// up to 1 MiB of the text that encodes them.
constexpr size_t kMaxEntryBytes = size_t{ 700 } << 10U;

/// @brief Memory of an item besides its texts: the item, its progress, and its
/// id in several maps.
constexpr size_t kItemOverheadBytes = 1024;

/// @brief The request that scores the complete text of a sample.
struct ScoringCall
{
  std::string mId;
  std::string mHttpHost;
  std::string mPath;
  SharedBytes mBody;
};

/// @brief The request to generate one sample.
struct StepItem
{
  std::string mId;
  std::string mPath;
  std::vector<http::Header> mHeaders;
  SharedBytes mBody;
  /// Items of the same group share a prompt.
  std::string mGroup;
  /// The trainer's estimate of the output tokens; 0 if there is none.
  uint32_t mExpectedTokens = 0;
  std::optional<ScoringCall> mScoring;
};

/// @brief Size of the bodies of items, including those of their scoring calls.
size_t SizeInBytes(std::span<const StepItem> aItems);

/// @brief Memory of a step that runs these items: their bodies, their other
/// texts, and what each item takes besides.
size_t MemoryBytes(std::span<const StepItem> aItems);

/// @brief Hands memory of a budget over to the bodies of items, each of which
/// returns its part when nobody holds it any more. Returns the rest, which is
/// for all else.
MemoryReservation CountBodies(std::span<StepItem> aItems,
                              MemoryReservation aMemory);

/// @brief A step as submitted by a trainer.
struct StepSubmission
{
  std::string mId;
  std::string mAccount;
  /// Host and path of the submission; they select the route.
  std::string mHttpHost;
  std::string mPath;
  std::string mModel;
  /// Oldest weight version that may generate events of the step.
  int64_t mMinVersion = 0;
  /// Number of complete groups that the trainer waits for.
  uint32_t mDesiredGroups = 0;
  std::vector<StepItem> mItems;
};

/// @brief The stored state of a step, except for its items and results.
struct StepRecord
{
  std::string mId;
  std::string mAccount;
  std::string mHttpHost;
  std::string mPath;
  std::string mModel;
  int64_t mMinVersion = 0;
  uint32_t mDesiredGroups = 0;
  uint32_t mItemCount = 0;
  /// Sum of the trainer's estimates over all items.
  uint64_t mExpectedTokens = 0;
  /// Number of stored values that hold the items.
  uint32_t mChunkCount = 0;
  /// Time of the submission, in milliseconds since the Unix epoch.
  int64_t mSubmittedMs = 0;
  /// The daemon process that runs the step; see OwnerName().
  std::string mOwner;
  std::string mRegion;
  bool mEnded = false;
  /// Revision of the record in the store; not part of the stored value.
  int64_t mRevision = 0;
};

enum class ItemState : uint8_t
{
  Completed,
  /// Abandoned: expired or failed; it has no text.
  Abandoned,
};

/// @brief The result of an item. Once it is in the step's log, its position
/// there never changes.
struct ItemResult
{
  std::string mId;
  ItemState mState = ItemState::Completed;
  std::string mText;
  /// The distinct weight versions that generated events.
  std::vector<int64_t> mVersions;
  /// Signature of the scoring response; empty for items without scoring.
  std::string mScore;
};

/// @brief The text of a sample that is still being generated.
struct PartialSample
{
  std::string mId;
  /// Data of the events received so far.
  std::vector<std::string> mEvents;
  std::vector<int64_t> mVersions;
  /// Software version of the replicas that generated the events.
  std::string mSoftwareVersion;
};

/// @brief The name of a daemon process as the owner of steps. It differs after
/// each start of the daemon.
std::string OwnerName(std::string_view aHost, std::string_view aIncarnation);

std::string EncodeSubmission(const StepSubmission& aSubmission);
std::string EncodeRecord(const StepRecord& aRecord);
std::string EncodeItems(const std::vector<StepItem>& aItems);
std::string EncodeResults(const std::vector<ItemResult>& aResults);

std::string EncodePartials(const std::vector<PartialSample>& aSamples);

/// @brief The inverse of the functions above. Errors: DataLoss when the bytes
/// cannot be decoded.
Result<StepSubmission> DecodeSubmission(std::string_view aBytes);
Result<StepRecord> DecodeRecord(std::string_view aBytes);
Result<std::vector<StepItem>> DecodeItems(std::string_view aBytes);
Result<std::vector<ItemResult>> DecodeResults(std::string_view aBytes);
Result<std::vector<PartialSample>> DecodePartials(std::string_view aBytes);

} // namespace agatetide::steps
