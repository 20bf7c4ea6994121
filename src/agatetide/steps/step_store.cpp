#include "agatetide/steps/step_store.hpp"

#include "agatetide/base/event_log.hpp"

#include <cstdio>

namespace agatetide::steps {

using namespace coordination;

namespace {

constexpr std::string_view kRecordPrefix = "agatetide/step/";
constexpr std::string_view kItemsPrefix = "agatetide/step-items/";
constexpr std::string_view kLogPrefix = "agatetide/step-log/";
constexpr std::string_view kPartialsPrefix = "agatetide/step-partials/";
/// Maximum size of a value of items. The store accepts up to 1 MiB of the text
/// that encodes a value.
constexpr size_t kMaxChunkBytes = size_t{ 700 } << 10U;
/// Keys deleted in one transaction of the store.
constexpr size_t kMaxDeletesPerTransaction = 30;

std::string RecordKey(std::string_view aId)
{
  return std::string(kRecordPrefix) + std::string(aId);
}

std::string NumberedKey(std::string_view aPrefix,
                        std::string_view aId,
                        uint32_t aNumber)
{
  char digits[16];
  std::snprintf(digits, sizeof digits, "/%06u", aNumber);
  return std::string(aPrefix) + std::string(aId) + digits;
}

/// Decodes a record; logs an error and returns std::nullopt if that fails.
std::optional<StepRecord> ToRecord(const StoreEntry& aEntry)
{
  auto record = DecodeRecord(aEntry.mValue);
  if (record.has_error()) {
    LogEvent("step_record_ignored", LogLevel::Error)
      .Field("key", aEntry.mKey)
      .Field("error", FormatError(record.error()))
      .Write();
    return std::nullopt;
  }
  record->mRevision = aEntry.mModRevision;
  return *record;
}

const StoreEntry* FindEntry(const std::vector<StoreEntry>& aEntries,
                            std::string_view aKey)
{
  for (const StoreEntry& entry : aEntries) {
    if (entry.mKey == aKey && entry.mModRevision != 0) {
      return &entry;
    }
  }
  return nullptr;
}

} // namespace

StepStore::StepStore(StoreCall aStore, WatchCall aWatch)
  : mStore(std::move(aStore))
  , mWatch(std::move(aWatch))
{
}

Awaitable<CreateResult> StepStore::Create(StepRecord aRecord,
                                          const std::vector<StepItem>& aItems)
{
  const std::string items = EncodeItems(aItems);
  TransactionRequest create;
  aRecord.mItemCount = static_cast<uint32_t>(aItems.size());
  aRecord.mChunkCount = 0;
  for (size_t offset = 0; offset < items.size(); offset += kMaxChunkBytes) {
    create.mPuts.push_back(
      { NumberedKey(kItemsPrefix, aRecord.mId, aRecord.mChunkCount++),
        items.substr(offset, kMaxChunkBytes) });
  }
  const std::string key = RecordKey(aRecord.mId);
  create.mCompares.push_back({ key, 0 });
  create.mPuts.push_back({ key, EncodeRecord(aRecord) });
  create.mReadOnFailure.push_back(key);
  StoreRequest request = std::move(create);
  const auto created = co_await mStore(std::move(request));
  CreateResult reply;
  if (created.has_value() && created->mSucceeded) {
    reply.mOutcome = CreateOutcome::Created;
    reply.mRecord = std::move(aRecord);
    reply.mRecord.mRevision = created->mRevision;
    co_return reply;
  }
  if (created.has_error()) {
    reply.mOutcome = created.error().mExecution == Execution::NotRun
                       ? CreateOutcome::NotCreated
                       : CreateOutcome::Unknown;
    reply.mReason = FormatError(created.error());
    co_return reply;
  }
  const StoreEntry* entry = FindEntry(created->mEntries, key);
  const auto record = entry == nullptr ? std::nullopt : ToRecord(*entry);
  if (!record) {
    reply.mReason = "the stored record cannot be read";
    co_return reply;
  }
  reply.mOutcome = CreateOutcome::Exists;
  reply.mRecord = *record;
  co_return reply;
}

Awaitable<Result<std::optional<StepRecord>>> StepStore::Load(std::string aId)
{
  std::string key = RecordKey(aId);
  const auto entry = co_await ReadKey(mStore, std::move(key));
  if (entry.has_error()) {
    co_return entry.error();
  }
  if (!entry->has_value()) {
    co_return std::optional<StepRecord>();
  }
  auto record = DecodeRecord((*entry)->mValue);
  if (record.has_error()) {
    co_return record.error();
  }
  record->mRevision = (*entry)->mModRevision;
  co_return std::optional<StepRecord>(std::move(*record));
}

Awaitable<Result<std::vector<StepRecord>>> StepStore::List()
{
  std::string prefix(kRecordPrefix);
  const auto reply = co_await ReadPrefix(mStore, std::move(prefix));
  if (reply.has_error()) {
    co_return reply.error();
  }
  std::vector<StepRecord> records;
  for (const StoreEntry& entry : reply->mEntries) {
    if (auto record = ToRecord(entry)) {
      records.push_back(std::move(*record));
    }
  }
  co_return records;
}

Awaitable<Result<std::vector<StepItem>>> StepStore::LoadItems(
  StepRecord aRecord)
{
  std::string bytes;
  for (uint32_t chunk = 0; chunk < aRecord.mChunkCount; ++chunk) {
    std::string key = NumberedKey(kItemsPrefix, aRecord.mId, chunk);
    const auto entry = co_await ReadKey(mStore, std::move(key));
    if (entry.has_error()) {
      co_return entry.error();
    }
    if (!entry->has_value()) {
      co_return Error{ ErrorKind::DataLoss,
                       "the items of step " + aRecord.mId + " are missing",
                       "submit the step again" };
    }
    bytes += (*entry)->mValue;
  }
  co_return DecodeItems(bytes);
}

Awaitable<AppendOutcome> StepStore::Append(StepRecord aRecord,
                                           uint32_t aEntry,
                                           std::string aResults)
{
  const std::string recordKey = RecordKey(aRecord.mId);
  const std::string key = NumberedKey(kLogPrefix, aRecord.mId, aEntry);
  TransactionRequest append;
  append.mCompares.push_back({ recordKey, aRecord.mRevision });
  append.mCompares.push_back({ key, 0 });
  append.mPuts.push_back({ key, aResults });
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
    RangeRequest{ NumberedKey(kLogPrefix, aId, aFrom), PrefixEnd(prefix), 0 };
  const auto reply = co_await mStore(std::move(request));
  if (reply.has_error()) {
    co_return reply.error();
  }
  LogPart part;
  part.mRevision = reply->mRevision;
  for (const StoreEntry& entry : reply->mEntries) {
    if (entry.mKey != NumberedKey(kLogPrefix, aId, aFrom + part.mEntryCount)) {
      break;
    }
    auto results = DecodeResults(entry.mValue);
    if (results.has_error()) {
      co_return results.error();
    }
    ++part.mEntryCount;
    for (ItemResult& result : *results) {
      part.mResults.push_back(std::move(result));
    }
  }
  co_return part;
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

Awaitable<Result<std::optional<StepRecord>>> StepStore::Replace(
  StepRecord aRecord)
{
  const std::string key = RecordKey(aRecord.mId);
  const std::string value = EncodeRecord(aRecord);
  TransactionRequest replace;
  replace.mCompares.push_back({ key, aRecord.mRevision });
  replace.mPuts.push_back({ key, value });
  replace.mReadOnFailure.push_back(key);
  StoreRequest request = std::move(replace);
  const auto replaced = co_await mStore(std::move(request));
  if (replaced.has_error()) {
    co_return replaced.error();
  }
  if (replaced->mSucceeded) {
    aRecord.mRevision = replaced->mRevision;
    co_return std::optional<StepRecord>(std::move(aRecord));
  }
  const StoreEntry* entry = FindEntry(replaced->mEntries, key);
  if (entry != nullptr && entry->mValue == value) {
    // An earlier attempt took effect, but its response was lost.
    aRecord.mRevision = entry->mModRevision;
    co_return std::optional<StepRecord>(std::move(aRecord));
  }
  co_return std::optional<StepRecord>();
}

Awaitable<Result<bool>> StepStore::StorePartials(
  std::string aId,
  const std::vector<PartialSample>& aSamples)
{
  TransactionRequest write;
  write.mPuts.push_back(
    { std::string(kPartialsPrefix) + aId, EncodePartials(aSamples) });
  StoreRequest request = std::move(write);
  const auto written = co_await mStore(std::move(request));
  if (written.has_error()) {
    co_return written.error();
  }
  co_return true;
}

Awaitable<Result<std::vector<PartialSample>>> StepStore::LoadPartials(
  std::string aId)
{
  std::string key = std::string(kPartialsPrefix) + aId;
  const auto entry = co_await ReadKey(mStore, std::move(key));
  if (entry.has_error()) {
    co_return entry.error();
  }
  if (!entry->has_value()) {
    co_return std::vector<PartialSample>();
  }
  co_return DecodePartials((*entry)->mValue);
}

Awaitable<Result<bool>> StepStore::Delete(StepRecord aRecord,
                                          uint32_t aLogEntries)
{
  std::vector<std::string> keys;
  for (uint32_t chunk = 0; chunk < aRecord.mChunkCount; ++chunk) {
    keys.push_back(NumberedKey(kItemsPrefix, aRecord.mId, chunk));
  }
  for (uint32_t entry = 0; entry < aLogEntries; ++entry) {
    keys.push_back(NumberedKey(kLogPrefix, aRecord.mId, entry));
  }
  keys.push_back(std::string(kPartialsPrefix) + aRecord.mId);
  // Delete the record last, so that an interrupted deletion is repeated.
  keys.push_back(RecordKey(aRecord.mId));
  for (size_t start = 0; start < keys.size();
       start += kMaxDeletesPerTransaction) {
    TransactionRequest remove;
    for (size_t i = start;
         i < std::min(keys.size(), start + kMaxDeletesPerTransaction);
         ++i) {
      remove.mDeletes.push_back({ keys[i] });
    }
    StoreRequest request = std::move(remove);
    const auto removed = co_await mStore(std::move(request));
    if (removed.has_error()) {
      co_return removed.error();
    }
  }
  co_return true;
}

} // namespace agatetide::steps
