#include "agatetide/steps/step_store.hpp"

#include "agatetide/base/event_log.hpp"
#include "agatetide/coordination/key_reader.hpp"
#include "agatetide/coordination/range_reader.hpp"
#include "agatetide/steps/item_decoder.hpp"
#include "agatetide/steps/item_encoder.hpp"
#include "agatetide/steps/step_keys.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace agatetide::steps {

namespace asio = boost::asio;
using namespace coordination;

namespace {

/// Maximum size of a value of items. Two of them, which hold an item that
/// begins in one of them, are read in a part of the time that readers wait.
constexpr uint32_t kMaxChunkBytes = 384U << 10U;
/// Values of items in one transaction. They arrive within the timeout of a call
/// on the links of small hosts, and between regions.
constexpr uint32_t kChunksPerTransaction = 4;
/// Values that are read at a time. Their texts are within what the answers of
/// the store may take of the memory of a small host.
constexpr size_t kMaxReadsAhead = 2;
/// Keys deleted in one transaction of the store.
constexpr size_t kMaxDeletesPerTransaction = 30;

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

/// The result of a creation whose conditions did not hold.
CreateResult ToCreateResult(const StoreReply& aReply, std::string_view aId)
{
  const StoreEntry* entry = FindEntry(aReply.mEntries, RecordKey(aId));
  if (entry == nullptr) {
    return { CreateOutcome::NotCreated,
             {},
             "another submission stores items of the step" };
  }
  auto record = ToRecord(*entry);
  if (!record) {
    return { CreateOutcome::Unknown, {}, "the stored record cannot be read" };
  }
  return { CreateOutcome::Exists, std::move(*record), {} };
}

/// The number of stored values to read from a position on: those of its item if
/// its size is known, otherwise all that follow.
uint32_t ValueCount(const StepRecord& aRecord, const ItemPosition& aFrom)
{
  const uint32_t rest =
    aRecord.mChunkCount - std::min(aRecord.mChunkCount, aFrom.mChunk);
  if (aFrom.mBytes == 0) {
    return rest;
  }
  const uint64_t last = (aFrom.mOffset + aFrom.mBytes - 1) / kMaxChunkBytes;
  return static_cast<uint32_t>(std::min<uint64_t>(rest, last + 1));
}

} // namespace

StepStore::StepStore(StoreCall aStore, WatchCall aWatch)
  : mStore(std::move(aStore))
  , mWatch(std::move(aWatch))
{
}

/// Stores values of items that do not fit into the transaction that creates
/// the record. aCreation has the conditions of the creation: no record, and no
/// other submission that stores items of the step at the same time. Returns the
/// reason if the step cannot be created now, and the record if it exists.
Awaitable<std::optional<CreateResult>> StepStore::StoreItemsAhead(
  StepRecord aRecord,
  std::vector<StorePut> aItems,
  std::vector<StoreCompare>& aConditions)
{
  const std::string pendingKey = std::string(kPendingPrefix) + aRecord.mId;
  TransactionRequest write;
  write.mCompares = aConditions;
  write.mPuts = std::move(aItems);
  write.mPuts.push_back({ pendingKey, EncodeRecord(aRecord) });
  write.mReadOnFailure.push_back(RecordKey(aRecord.mId));
  StoreRequest request = std::move(write);
  const auto written = co_await mStore(std::move(request));
  if (written.has_value() && written->mSucceeded) {
    aConditions.resize(1);
    aConditions.push_back({ pendingKey, written->mRevision });
    co_return std::nullopt;
  }
  if (written.has_value()) {
    co_return ToCreateResult(*written, aRecord.mId);
  }
  // Without the record, the step does not exist.
  co_return CreateResult{ CreateOutcome::NotCreated,
                          {},
                          FormatError(written.error()) };
}

Awaitable<CreateResult> StepStore::Create(StepRecord aRecord,
                                          const std::vector<StepItem>& aItems)
{
  const std::string key = RecordKey(aRecord.mId);
  ItemEncoder encoder(aItems, kMaxChunkBytes);
  aRecord.mItemCount = static_cast<uint32_t>(aItems.size());
  aRecord.mChunkCount = 0;
  std::vector<StoreCompare> conditions{ { key, 0 } };
  std::vector<StorePut> items;
  while (!encoder.AtEnd()) {
    if (items.size() == kChunksPerTransaction) {
      auto failed =
        co_await StoreItemsAhead(aRecord, std::move(items), conditions);
      if (failed) {
        co_return std::move(*failed);
      }
      items.clear();
    }
    items.push_back(
      { NumberedKey(kItemsPrefix, aRecord.mId, aRecord.mChunkCount++),
        encoder.Next() });
  }
  const std::vector<StoreCompare> pending(conditions.begin() + 1,
                                          conditions.end());
  TransactionRequest create;
  create.mCompares = std::move(conditions);
  create.mPuts = std::move(items);
  // Builds that know no indexes leave those of a step that they delete.
  create.mDeletes.push_back({ IndexKey(aRecord.mId) });
  if (aRecord.mChunkCount > 1) {
    create.mPuts.push_back(
      { ItemIndexKey(aRecord.mId), encoder.Index().Encode() });
  } else {
    create.mDeletes.push_back({ ItemIndexKey(aRecord.mId) });
  }
  // The last put, since the revision in the answer is that of the last write.
  create.mPuts.push_back({ key, EncodeRecord(aRecord) });
  create.mReadOnFailure.push_back(key);
  StoreRequest request = std::move(create);
  const auto created = co_await mStore(std::move(request));
  if (created.has_error()) {
    co_return CreateResult{ created.error().mExecution == Execution::NotRun
                              ? CreateOutcome::NotCreated
                              : CreateOutcome::Unknown,
                            {},
                            FormatError(created.error()) };
  }
  if (!created->mSucceeded) {
    co_return ToCreateResult(*created, aRecord.mId);
  }
  CreateResult reply{ CreateOutcome::Created, std::move(aRecord), {} };
  reply.mRecord.mRevision = created->mRevision;
  for (const StoreCompare& entry : pending) {
    TransactionRequest remove;
    remove.mCompares.push_back(entry);
    remove.mDeletes.push_back({ entry.mKey });
    // If it fails, DeleteAbandonedItems() removes the entry.
    StoreRequest removal = std::move(remove);
    co_await mStore(std::move(removal));
  }
  co_return reply;
}

Awaitable<Result<bool>> StepStore::DeleteAbandonedItems(
  int64_t aSubmittedBeforeMs)
{
  std::string prefix(kPendingPrefix);
  const auto pending = co_await ListRecords(std::move(prefix));
  if (pending.has_error()) {
    co_return pending.error();
  }
  for (const StepRecord& record : *pending) {
    if (record.mSubmittedMs >= aSubmittedBeforeMs) {
      continue;
    }
    LogEvent("abandoned_items_deleted").Field("step", record.mId).Write();
    const auto deleted = co_await DeleteItemsAhead(record);
    if (deleted.has_error()) {
      co_return deleted.error();
    }
  }
  co_return true;
}

/// Deletes the stored items of a step without a record, or only the entry of
/// the pending step if the record exists. Rewrites the entry first, so that its
/// submission cannot create the record any more.
Awaitable<Result<bool>> StepStore::DeleteItemsAhead(StepRecord aRecord)
{
  const std::string pendingKey = std::string(kPendingPrefix) + aRecord.mId;
  const std::string recordKey = RecordKey(aRecord.mId);
  TransactionRequest rewrite;
  rewrite.mCompares = { { recordKey, 0 }, { pendingKey, aRecord.mRevision } };
  rewrite.mPuts.push_back({ pendingKey, EncodeRecord(aRecord) });
  rewrite.mReadOnFailure.push_back(recordKey);
  StoreRequest request = std::move(rewrite);
  const auto rewritten = co_await mStore(std::move(request));
  if (rewritten.has_error()) {
    co_return rewritten.error();
  }
  const bool exists = FindEntry(rewritten->mEntries, recordKey) != nullptr;
  if (!rewritten->mSucceeded && !exists) {
    co_return false; // Another submission has begun.
  }
  const StoreCompare unchanged{ pendingKey,
                                exists ? aRecord.mRevision
                                       : rewritten->mRevision };
  std::vector<std::string> keys;
  for (uint32_t chunk = 0; !exists && chunk < aRecord.mChunkCount; ++chunk) {
    keys.push_back(NumberedKey(kItemsPrefix, aRecord.mId, chunk));
  }
  keys.push_back(pendingKey);
  co_return co_await DeleteKeys(std::move(keys), unchanged);
}

/// Deletes keys in their order, as long as a condition holds.
Awaitable<Result<bool>> StepStore::DeleteKeys(
  std::vector<std::string> aKeys,
  std::optional<StoreCompare> aCondition)
{
  for (size_t start = 0; start < aKeys.size();
       start += kMaxDeletesPerTransaction) {
    TransactionRequest remove;
    if (aCondition) {
      remove.mCompares.push_back(*aCondition);
    }
    for (size_t i = start;
         i < std::min(aKeys.size(), start + kMaxDeletesPerTransaction);
         ++i) {
      remove.mDeletes.push_back({ aKeys[i] });
    }
    StoreRequest request = std::move(remove);
    const auto removed = co_await mStore(std::move(request));
    if (removed.has_error()) {
      co_return removed.error();
    }
    if (!removed->mSucceeded) {
      co_return false;
    }
  }
  co_return true;
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
  return ListRecords(std::string(kRecordPrefix));
}

/// Reads all records with a prefix; keys that hold none are left out.
Awaitable<Result<std::vector<StepRecord>>> StepStore::ListRecords(
  std::string aPrefix)
{
  std::vector<StepRecord> records;
  PageSink add = [&records](std::span<const StoreEntry> aEntries) {
    for (const StoreEntry& entry : aEntries) {
      if (auto record = ToRecord(entry)) {
        records.push_back(std::move(*record));
      }
    }
  };
  const auto read =
    co_await ReadPages(mStore, std::move(aPrefix), std::move(add));
  if (read.has_error()) {
    co_return read.error();
  }
  if (!read->mIsComplete) {
    co_return PageFaultError(*read->mFault);
  }
  co_return records;
}

Awaitable<Result<std::vector<StepItem>>> StepStore::LoadItems(
  StepRecord aRecord,
  IsCanceled aIsCanceled)
{
  std::vector<StepItem> items;
  const ItemVisitor add = [&items](StepItem aItem) {
    items.push_back(std::move(aItem));
    return true;
  };
  const ItemPosition first;
  const auto visited =
    co_await VisitItems(std::move(aRecord), first, add, std::move(aIsCanceled));
  if (visited.has_error()) {
    co_return visited.error();
  }
  co_return items;
}

size_t StepStore::LoadedBytesLimit(const StepRecord& aRecord)
{
  return size_t{ aRecord.mChunkCount } * kMaxChunkBytes +
         size_t{ aRecord.mItemCount } * kItemOverheadBytes;
}

size_t StepStore::LoadedBytesLimit(const StepRecord& aRecord,
                                   const ItemPosition& aPosition)
{
  const uint32_t chunks =
    aRecord.mChunkCount - std::min(aRecord.mChunkCount, aPosition.mChunk);
  const size_t rest = size_t{ chunks } * kMaxChunkBytes;
  // Its last value may hold other items, too.
  return aPosition.mBytes > 0
           ? std::min<size_t>(rest, aPosition.mBytes + kMaxChunkBytes)
           : rest;
}

Awaitable<Result<std::optional<ItemPosition>>> StepStore::FindItem(
  StepRecord aRecord,
  std::string aItem)
{
  if (aRecord.mChunkCount <= 1) {
    co_return std::optional(ItemPosition());
  }
  std::string key = ItemIndexKey(aRecord.mId);
  const auto index =
    co_await ReadIndex(mStore, std::move(key), &ItemIndex::Decode);
  if (index.has_error()) {
    co_return index.error();
  }
  co_return index->has_value() ? (*index)->Find(aItem)
                               : std::optional(ItemPosition());
}

Awaitable<Result<std::optional<StepItem>>> StepStore::LoadItem(
  StepRecord aRecord,
  std::string aItem,
  ItemPosition aPosition)
{
  std::optional<StepItem> item;
  const ItemVisitor take = [&item, &aItem](StepItem aCandidate) {
    if (aCandidate.mId == aItem) {
      item = std::move(aCandidate);
    }
    return !item;
  };
  auto visited = co_await VisitItems(aRecord, aPosition, take);
  if (visited.has_value() && !item && aPosition.mBytes > 0) {
    // Another item has the same hash; the one that is looked for comes later.
    aPosition.mBytes = 0;
    visited = co_await VisitItems(std::move(aRecord), aPosition, take);
  }
  if (visited.has_error()) {
    co_return visited.error();
  }
  co_return item;
}

/// Loads the items from a position on, and passes each to aVisit until that
/// returns false. The value is whether it never did.
Awaitable<Result<bool>> StepStore::VisitItems(StepRecord aRecord,
                                              ItemPosition aFrom,
                                              ItemVisitor aVisit,
                                              IsCanceled aIsCanceled)
{
  const size_t maxBytes = LoadedBytesLimit(aRecord, aFrom);
  ItemDecoder decoder =
    aFrom.mItemsLeft > 0 ? ItemDecoder(aFrom, maxBytes) : ItemDecoder(maxBytes);
  const auto executor = co_await asio::this_coro::executor;
  KeyReader values(executor,
                   mStore,
                   ValueCount(aRecord, aFrom),
                   kMaxReadsAhead,
                   [id = aRecord.mId, first = aFrom.mChunk](size_t aNumber) {
                     return NumberedKey(kItemsPrefix,
                                        id,
                                        first + static_cast<uint32_t>(aNumber));
                   });
  while (!values.AtEnd()) {
    const auto entry = co_await values.Next();
    if (entry.has_error()) {
      co_return entry.error();
    }
    if (aIsCanceled && aIsCanceled()) {
      co_return Error{ ErrorKind::Canceled,
                       "the step is not needed any more",
                       "none" };
    }
    if (!entry->has_value()) {
      co_return Error{ ErrorKind::DataLoss,
                       "the items of step " + aRecord.mId + " are missing",
                       "submit the step again" };
    }
    decoder.Add((*entry)->mValue);
    while (auto item = decoder.Next()) {
      if (!aVisit(std::move(*item))) {
        co_return false;
      }
    }
  }
  // The values of one item end within the next one.
  if (aFrom.mBytes == 0 && !decoder.AtEnd()) {
    co_return Error{ ErrorKind::DataLoss,
                     "the stored items of step " + aRecord.mId +
                       " cannot be decoded",
                     "check that all daemons run the same version" };
  }
  co_return true;
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
  keys.push_back(ItemIndexKey(aRecord.mId));
  keys.push_back(IndexKey(aRecord.mId));
  keys.push_back(std::string(kPartialsPrefix) + aRecord.mId);
  // Delete the record last, so that an interrupted deletion is repeated.
  keys.push_back(RecordKey(aRecord.mId));
  co_return co_await DeleteKeys(std::move(keys), std::nullopt);
}

} // namespace agatetide::steps
