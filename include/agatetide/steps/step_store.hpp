#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/coordination/store.hpp"
#include "agatetide/steps/item_index.hpp"
#include "agatetide/steps/log_index.hpp"
#include "agatetide/steps/step.hpp"

#include <functional>
#include <optional>

namespace agatetide::steps {

enum class CreateOutcome
{
  /// The step is stored.
  Created,
  /// A step with this id was stored before.
  Exists,
  /// The step is not stored, and the call will not store it later.
  NotCreated,
  /// The step may be stored, now or later.
  Unknown,
};

struct CreateResult
{
  CreateOutcome mOutcome = CreateOutcome::Unknown;
  /// The stored record; set for Created and Exists.
  StepRecord mRecord;
  /// The error for NotCreated and Unknown.
  std::string mReason;
};

enum class AppendOutcome
{
  Appended,
  /// The record has changed: the step was ended, or another process owns it.
  Superseded,
  /// Nothing was written; append the same results as the same entry again.
  NotAppended,
  /// The entry may be in the log; append the same results as the same entry
  /// again, which settles it.
  Unknown,
};

/// @brief Consecutive entries of a step's log.
struct LogPart
{
  std::vector<ItemResult> mResults;
  /// Number of results of each entry.
  std::vector<uint32_t> mResultCounts;
  /// Revision of the store at the time of the read; if it took several calls,
  /// of the first one.
  int64_t mRevision = 0;

  uint32_t EntryCount() const
  {
    return static_cast<uint32_t>(mResultCounts.size());
  }
};

/// @brief Stores steps in the platform store: a record that names the owner,
/// the items split into values of limited size (with an index if there are
/// several), and a log of results with an index. While the items of a large
/// step are being stored, an entry names the step, so that they are deleted if
/// its record is never created.
///
/// Each append to the log is conditional on the record being unchanged, so a
/// process that no longer owns a step cannot append to its log. An entry is
/// never overwritten, so the positions of results never change. The index is
/// written together with each entry; it lacks the entries of builds that know
/// no index. Thread-safe if the functions passed to the constructor are.
class StepStore
{
public:
  StepStore(coordination::StoreCall aStore, coordination::WatchCall aWatch);

  /// @brief Creates a step. Sets mItemCount, mChunkCount and mRevision of the
  /// returned record. The items of a large step are stored in several
  /// transactions, the last of which creates the record.
  Awaitable<CreateResult> Create(StepRecord aRecord,
                                 const std::vector<StepItem>& aItems);

  /// @brief Deletes the items of steps that were submitted before a time (in
  /// milliseconds since the Unix epoch), but not created. Errors: those of the
  /// store. The value is always true.
  Awaitable<Result<bool>> DeleteAbandonedItems(int64_t aSubmittedBeforeMs);

  /// @brief Loads the record of a step; std::nullopt if there is none. Errors:
  /// those of the store; DataLoss when the record cannot be decoded.
  Awaitable<Result<std::optional<StepRecord>>> Load(std::string aId);

  /// @brief The records of all stored steps, except for those that cannot be
  /// decoded. Errors: those of the store.
  Awaitable<Result<std::vector<StepRecord>>> List();

  /// @brief Tells a load that its result is not needed any more. May be empty.
  using IsCanceled = std::function<bool()>;

  /// @brief Loads the items of a step, with several calls of the store at a
  /// time. Errors: those of the store; DataLoss when a value is missing or
  /// cannot be decoded; Canceled if aIsCanceled returned true.
  Awaitable<Result<std::vector<StepItem>>> LoadItems(
    StepRecord aRecord,
    IsCanceled aIsCanceled = {});

  /// @brief The most memory that LoadItems() takes, in bytes.
  static size_t LoadedBytesLimit(const StepRecord& aRecord);

  /// @brief Where to begin to read for one item: the first item if the step has
  /// no index of its items; std::nullopt if the index does not have the item.
  /// Errors: those of the store.
  Awaitable<Result<std::optional<ItemPosition>>> FindItem(StepRecord aRecord,
                                                          std::string aItem);

  /// @brief The most memory that LoadItem() takes, in bytes.
  static size_t LoadedBytesLimit(const StepRecord& aRecord,
                                 const ItemPosition& aPosition);

  /// @brief Loads one item of a step, without the values before its position;
  /// std::nullopt if there is no such item. Errors: as LoadItems().
  /// Precondition: aPosition is from FindItem().
  Awaitable<Result<std::optional<StepItem>>> LoadItem(StepRecord aRecord,
                                                      std::string aItem,
                                                      ItemPosition aPosition);

  /// @brief Writes the last entry of aIndex, which describes the whole log with
  /// it. aResults comes from EncodeResults(). After NotAppended or Unknown,
  /// call it again with the same index and results. Precondition: aIndex has an
  /// entry.
  Awaitable<AppendOutcome> Append(StepRecord aRecord,
                                  LogIndex aIndex,
                                  std::string aResults);

  /// @brief Reads entries of the log from entry aFrom on: as many as the store
  /// returns in one reply, which bounds the time of a call; a daemon without
  /// limits of ranges, through which the call may go, returns all. No entry
  /// means that there is none yet. Errors: those of the store; DataLoss when an
  /// entry cannot be decoded.
  Awaitable<Result<LogPart>> ReadLog(std::string aId, uint32_t aFrom);

  /// @brief Reads all entries of the log; may take several calls. Errors: as
  /// ReadLog().
  Awaitable<Result<LogPart>> ReadWholeLog(StepRecord aRecord);

  /// @brief Loads the index of the log; std::nullopt if there is none, or none
  /// that can be decoded. Errors: those of the store.
  Awaitable<Result<std::optional<IndexedLog>>> LoadIndexedLog(std::string aId);

  /// @brief Loads the index of the log, and reads the entries that it lacks.
  /// Errors: as ReadLog().
  Awaitable<Result<LogIndex>> LoadWholeIndex(StepRecord aRecord);

  /// @brief Waits up to aMaxWait for a change of the log after a revision.
  /// Returns whether it may have changed. Errors: those of the store.
  Awaitable<Result<bool>> AwaitLog(std::string aId,
                                   int64_t aAfterRevision,
                                   std::chrono::milliseconds aMaxWait);

  /// @brief Replaces the record if its revision is still aRecord.mRevision.
  /// Returns the stored record, or std::nullopt if the record has changed.
  /// Errors: those of the store.
  Awaitable<Result<std::optional<StepRecord>>> Replace(StepRecord aRecord);

  /// @brief Stores the texts of running samples and replaces those stored
  /// before. If it fails, a process that takes the step over generates more
  /// events again. Errors: those of the store. The value is always true.
  Awaitable<Result<bool>> StorePartials(
    std::string aId,
    const std::vector<PartialSample>& aSamples);

  /// @brief Loads the texts stored last; empty if there are none. Errors:
  /// those of the store; DataLoss when they cannot be decoded.
  Awaitable<Result<std::vector<PartialSample>>> LoadPartials(std::string aId);

  /// @brief Deletes a step and all that is stored for it. aLogEntries is the
  /// number of entries of its log, from LoadWholeIndex(). If it fails, call it
  /// again. Errors: those of the store. The value is always true.
  Awaitable<Result<bool>> Delete(StepRecord aRecord, uint32_t aLogEntries);

private:
  Awaitable<Result<std::vector<StepRecord>>> ListRecords(std::string aPrefix);
  using ItemVisitor = std::function<bool(StepItem)>;
  using LogVisitor = std::function<void(LogPart)>;

  Awaitable<Result<bool>> VisitItems(StepRecord aRecord,
                                     ItemPosition aFrom,
                                     ItemVisitor aVisit,
                                     IsCanceled aIsCanceled = {});
  Awaitable<Result<bool>> VisitLog(StepRecord aRecord,
                                   LogIndex aKnown,
                                   LogVisitor aVisit);
  Awaitable<std::optional<CreateResult>> StoreItemsAhead(
    StepRecord aRecord,
    std::vector<coordination::StorePut> aItems,
    std::vector<coordination::StoreCompare>& aConditions);
  Awaitable<Result<bool>> DeleteItemsAhead(StepRecord aRecord);
  Awaitable<Result<bool>> DeleteKeys(
    std::vector<std::string> aKeys,
    std::optional<coordination::StoreCompare> aCondition);

  coordination::StoreCall mStore;
  coordination::WatchCall mWatch;
};

} // namespace agatetide::steps
