#include "agatetide/steps/step_store.hpp"

#include "agatetide/steps/step_keys.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

/// The part of StepStore that reads and writes the logs of steps.
namespace agatetide::steps {

using namespace coordination;

Awaitable<AppendOutcome> StepStore::Append(StepRecord aRecord,
                                           LogIndex aIndex,
                                           std::string aResults)
{
  const std::string recordKey = RecordKey(aRecord.mId);
  const std::string key =
    NumberedKey(kLogPrefix, aRecord.mId, aIndex.EntryCount() - 1);
  TransactionRequest append;
  append.mCompares.push_back({ recordKey, aRecord.mRevision });
  append.mCompares.push_back({ key, 0 });
  append.mPuts.push_back({ key, aResults });
  append.mPuts.push_back(
    { IndexKey(aRecord.mId), EncodeIndexedLog(aRecord, aIndex) });
  append.mReadOnFailure = { recordKey, key };
  StoreRequest request = std::move(append);
  const auto appended = co_await mStore(std::move(request));
  if (appended.has_error()) {
    co_return appended.error().mExecution == Execution::NotRun
      ? AppendOutcome::NotAppended
      : AppendOutcome::Unknown;
  }
  if (appended->mSucceeded) {
    co_return AppendOutcome::Appended;
  }
  const StoreEntry* existing = FindEntry(appended->mEntries, key);
  if (existing != nullptr && existing->mValue == aResults) {
    // An earlier attempt took effect, but its response was lost.
    co_return AppendOutcome::Appended;
  }
  co_return AppendOutcome::Superseded;
}

Awaitable<Result<LogPart>> StepStore::ReadLog(std::string aId, uint32_t aFrom)
{
  const std::string prefix = std::string(kLogPrefix) + aId + "/";
  StoreRequest request =
    RangeRequest{ NumberedKey(kLogPrefix, aId, aFrom), PrefixEnd(prefix), 1 };
  const auto reply = co_await mStore(std::move(request));
  if (reply.has_error()) {
    co_return reply.error();
  }
  LogPart part;
  part.mRevision = reply->mRevision;
  for (const StoreEntry& entry : reply->mEntries) {
    if (entry.mKey != NumberedKey(kLogPrefix, aId, aFrom + part.EntryCount())) {
      break;
    }
    auto results = DecodeResults(entry.mValue);
    if (results.has_error()) {
      co_return results.error();
    }
    part.mResultCounts.push_back(static_cast<uint32_t>(results->size()));
    for (ItemResult& result : *results) {
      part.mResults.push_back(std::move(result));
    }
  }
  co_return part;
}

/// Reads the entries of a log that follow those of an index, and passes them to
/// aVisit, until there are no more or all items have a result.
Awaitable<Result<bool>> StepStore::VisitLog(StepRecord aRecord,
                                            LogIndex aKnown,
                                            LogVisitor aVisit)
{
  while (aKnown.ResultCount() < aRecord.mItemCount) {
    auto part = co_await ReadLog(aRecord.mId, aKnown.EntryCount());
    if (part.has_error()) {
      co_return part.error();
    }
    if (part->mResultCounts.empty()) {
      break;
    }
    aKnown.Add(part->mResultCounts);
    aVisit(std::move(*part));
  }
  co_return true;
}

Awaitable<Result<LogPart>> StepStore::ReadWholeLog(StepRecord aRecord)
{
  LogPart log;
  LogVisitor append = [&log](LogPart aPart) {
    log.mRevision = log.mRevision == 0 ? aPart.mRevision : log.mRevision;
    log.mResultCounts.insert(log.mResultCounts.end(),
                             aPart.mResultCounts.begin(),
                             aPart.mResultCounts.end());
    std::move(aPart.mResults.begin(),
              aPart.mResults.end(),
              std::back_inserter(log.mResults));
  };
  LogIndex none;
  const auto visited =
    co_await VisitLog(std::move(aRecord), std::move(none), std::move(append));
  if (visited.has_error()) {
    co_return visited.error();
  }
  co_return log;
}

Awaitable<Result<std::optional<IndexedLog>>> StepStore::LoadIndexedLog(
  std::string aId)
{
  std::string key = IndexKey(aId);
  co_return co_await ReadIndex(mStore, std::move(key), &DecodeIndexedLog);
}

Awaitable<Result<LogIndex>> StepStore::LoadWholeIndex(StepRecord aRecord)
{
  auto stored = co_await LoadIndexedLog(aRecord.mId);
  if (stored.has_error()) {
    co_return stored.error();
  }
  LogIndex index;
  if (stored->has_value()) {
    index = std::move((*stored)->mIndex);
  }
  LogVisitor add = [&index](const LogPart& aPart) {
    index.Add(aPart.mResultCounts);
  };
  const auto visited =
    co_await VisitLog(std::move(aRecord), index, std::move(add));
  if (visited.has_error()) {
    co_return visited.error();
  }
  co_return index;
}

Awaitable<Result<bool>> StepStore::AwaitLog(std::string aId,
                                            int64_t aAfterRevision,
                                            std::chrono::milliseconds aMaxWait)
{
  WatchRequest request{ std::string(kLogPrefix) + aId + "/",
                        aAfterRevision,
                        aMaxWait };
  const auto reply = co_await mWatch(std::move(request));
  if (reply.has_error()) {
    co_return reply.error();
  }
  co_return reply->mCompacted || !reply->mChanges.empty();
}

} // namespace agatetide::steps
