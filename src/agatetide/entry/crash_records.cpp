#include "agatetide/entry/crash_records.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace agatetide::entry {

namespace asio = boost::asio;
using namespace coordination;
using nlohmann::json;
using request::CrashRecord;
using request::CrashRecordKey;

namespace {

constexpr size_t kMaxMalformedKeys = 256;
constexpr size_t kDigestDigits = 32;
constexpr int kHexBase = 16;

std::string StoreKey(const CrashRecordKey& aKey)
{
  return std::string(kCrashPrefix) + aKey.mDigest + "/" + aKey.mName;
}

/// std::nullopt if the key is not one of a crash record.
std::optional<CrashRecordKey> ParseKey(std::string_view aKey)
{
  if (!aKey.starts_with(kCrashPrefix)) {
    return std::nullopt;
  }
  aKey.remove_prefix(kCrashPrefix.size());
  const size_t slash = aKey.find('/');
  if (slash != kDigestDigits) {
    return std::nullopt;
  }
  return CrashRecordKey{ std::string(aKey.substr(0, slash)),
                         std::string(aKey.substr(slash + 1)) };
}

std::string FormatHash(uint64_t aHash)
{
  std::array<char, 17> text{};
  const auto written =
    std::to_chars(text.data(), text.data() + text.size(), aHash, kHexBase);
  return { text.data(), written.ptr };
}

std::optional<uint64_t> ParseHash(std::string_view aText)
{
  uint64_t hash = 0;
  const auto read =
    std::from_chars(aText.data(), aText.data() + aText.size(), hash, kHexBase);
  return read.ec == std::errc() && read.ptr == aText.data() + aText.size()
           ? std::optional(hash)
           : std::nullopt;
}

Error Malformed(const StoreEntry& aEntry, std::string_view aReason)
{
  return { ErrorKind::DataLoss,
           aEntry.mKey + ": " + std::string(aReason),
           "remove the key, or check that all daemons run the same version" };
}

std::string TextField(const json& aValue, const char* aName)
{
  const auto found = aValue.find(aName);
  return found != aValue.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

int64_t IntegerField(const json& aValue, const char* aName)
{
  const auto found = aValue.find(aName);
  return found != aValue.end() && found->is_number_integer()
           ? found->get<int64_t>()
           : 0;
}

} // namespace

StorePut EncodeCrashRecord(const CrashRecord& aRecord)
{
  const bool isTrial = aRecord.mKind == CrashRecord::Kind::Trial;
  json value{ { "kind", isTrial ? "trial" : "crash" },
              { "short_hash", FormatHash(aRecord.mShortHash) },
              { "account", aRecord.mAccount },
              { "software", aRecord.mSoftware },
              { "host", aRecord.mHost },
              { "request_id", aRecord.mRequestId },
              { "target", aRecord.mTarget } };
  if (isTrial) {
    value["trial"] = aRecord.mTrialNumber;
  } else {
    value["replica"] = aRecord.mReplicaId;
    value["replica_start_ms"] = aRecord.mReplicaStartMs;
  }
  return { StoreKey({ aRecord.mDigest, aRecord.Name() }),
           value.dump(-1, ' ', false, json::error_handler_t::replace),
           0 };
}

Result<CrashRecord> DecodeCrashRecord(const StoreEntry& aEntry)
{
  const auto key = ParseKey(aEntry.mKey);
  const json value = json::parse(aEntry.mValue, nullptr, false);
  if (!key || !value.is_object()) {
    return Malformed(aEntry, "not a crash record");
  }
  CrashRecord record;
  const std::string kind = TextField(value, "kind");
  if (kind != "crash" && kind != "trial") {
    return Malformed(aEntry, "the kind is unknown");
  }
  const auto shortHash = ParseHash(TextField(value, "short_hash"));
  if (!shortHash) {
    return Malformed(aEntry, "the short hash is missing or malformed");
  }
  record.mKind =
    kind == "trial" ? CrashRecord::Kind::Trial : CrashRecord::Kind::Crash;
  record.mDigest = key->mDigest;
  record.mShortHash = *shortHash;
  record.mAccount = TextField(value, "account");
  record.mHost = TextField(value, "host");
  record.mRequestId = TextField(value, "request_id");
  record.mTarget = TextField(value, "target");
  record.mReplicaId = TextField(value, "replica");
  record.mReplicaStartMs = IntegerField(value, "replica_start_ms");
  record.mTrialNumber = static_cast<uint32_t>(IntegerField(value, "trial"));
  if (const auto software = value.find("software");
      software != value.end() && software->is_array()) {
    for (const json& name : *software) {
      if (name.is_string()) {
        record.mSoftware.insert(name.get<std::string>());
      }
    }
  }
  if (record.Name() != key->mName) {
    return Malformed(aEntry, "the value does not fit the key");
  }
  return record;
}

CrashRecords::CrashRecords(CrashRecordsOptions aOptions,
                           asio::any_io_executor aExecutor,
                           request::CrashTable& aTable,
                           StoreCall aStore,
                           Clock aClock)
  : mOptions(aOptions)
  , mExecutor(std::move(aExecutor))
  , mTable(aTable)
  , mStore(aStore)
  , mLease({}, std::move(aStore), std::move(aClock))
{
}

void CrashRecords::Put(const StoreEntry& aEntry)
{
  const auto record = DecodeCrashRecord(aEntry);
  if (record.has_value()) {
    mTable.PutShared(*record);
    return;
  }
  if (mMalformed.size() < kMaxMalformedKeys &&
      mMalformed.insert(aEntry.mKey).second) {
    LogEvent("crash_record_ignored", LogLevel::Warning)
      .Field("error", FormatError(record.error()))
      .Write();
  }
}

void CrashRecords::PutPage(std::span<const StoreEntry> aEntries)
{
  for (const StoreEntry& entry : aEntries) {
    if (auto key = ParseKey(entry.mKey)) {
      mListed.insert(std::move(*key));
      Put(entry);
    }
  }
}

void CrashRecords::EndList()
{
  mTable.RetainShared(mListed);
  mListed.clear();
}

void CrashRecords::ApplyChange(const StoreChange& aChange)
{
  const auto key = ParseKey(aChange.mEntry.mKey);
  if (!key) {
    return;
  }
  if (!aChange.mRemoved) {
    Put(aChange.mEntry);
    return;
  }
  mTable.RemoveShared(*key);
}

Awaitable<void> CrashRecords::Maintain()
{
  asio::steady_timer timer(mExecutor);
  Milliseconds retryDelay = mOptions.mRetryDelay;
  for (;;) {
    const bool written = co_await WriteRecords();
    const bool removed = co_await RemoveRecords();
    mTable.RemoveOld();
    const bool failed = !written || !removed;
    timer.expires_after(failed ? retryDelay : mOptions.mWriteInterval);
    retryDelay = failed ? std::min(2 * retryDelay, mOptions.mMaxRetryDelay)
                        : mOptions.mRetryDelay;
    co_await timer.async_wait(asio::use_awaitable);
  }
}

/// Returns false if a write failed.
Awaitable<bool> CrashRecords::WriteRecords()
{
  const auto records =
    mTable.UnsharedRecords(mOptions.mMaxBatch, mOptions.mMaxSharedRecords);
  if (records.empty()) {
    co_return true;
  }
  const auto lease = co_await mLease.Acquire();
  if (lease.has_error()) {
    co_return false;
  }
  TransactionRequest put;
  for (const CrashRecord& record : records) {
    put.mPuts.push_back(EncodeCrashRecord(record));
    put.mPuts.back().mLeaseId = *lease;
  }
  StoreRequest request = std::move(put);
  const auto written = co_await mStore(std::move(request));
  if (written.has_error()) {
    // The same content is written again.
    co_return false;
  }
  if (!written->mSucceeded) {
    mLease.Forget();
    co_return false;
  }
  for (const CrashRecord& record : records) {
    mTable.MarkShared({ record.mDigest, record.Name() });
  }
  co_return true;
}

/// Returns false if a write failed.
Awaitable<bool> CrashRecords::RemoveRecords()
{
  TransactionRequest remove;
  std::vector<CrashRecordKey> keys;
  for (const CrashRecordKey& key : mTable.StaleKeys()) {
    if (keys.size() < mOptions.mMaxBatch) {
      keys.push_back(key);
      remove.mDeletes.push_back({ StoreKey(key) });
    }
  }
  if (keys.empty()) {
    co_return true;
  }
  StoreRequest request = std::move(remove);
  const auto removed = co_await mStore(std::move(request));
  if (removed.has_error()) {
    co_return false;
  }
  for (const CrashRecordKey& key : keys) {
    mTable.MarkRemoved(key);
  }
  co_return true;
}

Awaitable<bool> CrashRecords::ClaimTrial(CrashRecord aTrial)
{
  const auto lease = co_await mLease.Acquire();
  if (lease.has_error()) {
    co_return false;
  }
  TransactionRequest create;
  create.mPuts.push_back(EncodeCrashRecord(aTrial));
  create.mPuts.back().mLeaseId = *lease;
  create.mCompares.push_back({ create.mPuts.back().mKey, 0 });
  StoreRequest request = std::move(create);
  const auto created = co_await mStore(std::move(request));
  if (created.has_value() && !created->mSucceeded) {
    // The lease may have ended, too.
    mLease.Forget();
  }
  co_return created.has_value() && created->mSucceeded;
}

} // namespace agatetide::entry
