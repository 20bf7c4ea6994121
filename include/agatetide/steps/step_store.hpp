#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/coordination/store.hpp"
#include "agatetide/steps/step.hpp"

#include <optional>

namespace agatetide::steps {

enum class CreateOutcome
{
  /// The store keeps the step.
  Kept,
  /// The store keeps a step of this id that was handed in before.
  Exists,
  /// Nothing was kept and nothing will be.
  NotKept,
  /// The step may be kept now or later.
  Unknown,
};

struct CreateReply
{
  CreateOutcome mOutcome = CreateOutcome::Unknown;
  /// Set for Kept and Exists.
  StepRecord mRecord;
  /// The store's error for NotKept and Unknown.
  std::string mReason;
};

enum class AppendOutcome
{
  Listed,
  /// The step was ended or belongs to another process now.
  Superseded,
  /// The same results must be appended again at the same place.
  Retry,
};

/// @brief Results from the log of a step.
struct LogPart
{
  std::vector<ItemResult> mResults;
  /// Entries of the log that were read.
  uint32_t mEntries = 0;
  int64_t mRevision = 0;
};

/// @brief Keeps steps in the platform store: a record with the owner, the
/// items in values of limited size, and a log of results.
///
/// Every entry of the log is written under the condition that the record is
/// unchanged, so a process that lost a step can list nothing more. An entry
/// is created once, so positions never change. Thread-safe if the hooks are.
class StepStore
{
public:
  StepStore(coordination::StoreCall aStore, coordination::WatchCall aWatch);

  /// @brief Keeps a step. aRecord.mChunks and mRevision are filled in.
  Awaitable<CreateReply> Create(StepRecord aRecord,
                                const std::vector<StepItem>& aItems);

  /// @brief Errors: those of the store.
  Awaitable<Result<std::optional<StepRecord>>> Load(std::string aId);

  /// @brief All steps that the store keeps.
  Awaitable<Result<std::vector<StepRecord>>> List();

  /// @brief Errors: those of the store; DataLoss when a value is missing.
  Awaitable<Result<std::vector<StepItem>>> LoadItems(StepRecord aRecord);

  /// @brief Writes entry aEntry of the log. After Retry, call it again with
  /// the same entry and results.
  Awaitable<AppendOutcome> Append(StepRecord aRecord,
                                  uint32_t aEntry,
                                  std::string aResults);

  /// @brief Reads the log from entry aFrom on.
  Awaitable<Result<LogPart>> ReadLog(std::string aId, uint32_t aFrom);

  /// @brief Waits until the log changes after a revision, or aWait passes.
  Awaitable<Result<bool>> AwaitLog(std::string aId,
                                   int64_t aAfterRevision,
                                   std::chrono::milliseconds aWait);

  /// @brief Replaces the record if it still has aRecord.mRevision. Returns
  /// the stored record, or nullopt when it has changed.
  Awaitable<Result<std::optional<StepRecord>>> Replace(StepRecord aRecord);

  /// @brief Keeps the texts of running samples, in place of those kept
  /// before. Nothing is lost but work when it fails.
  Awaitable<Result<bool>> StorePartials(
    std::string aId,
    const std::vector<PartialSample>& aSamples);

  /// @brief The texts that were kept last; empty when there are none.
  Awaitable<Result<std::vector<PartialSample>>> LoadPartials(std::string aId);

  /// @brief Forgets a step.
  Awaitable<Result<bool>> Delete(StepRecord aRecord, uint32_t aLogEntries);

private:
  coordination::StoreCall mStore;
  coordination::WatchCall mWatch;
};

} // namespace agatetide::steps
