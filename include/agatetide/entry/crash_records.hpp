#pragma once

#include "agatetide/coordination/store.hpp"
#include "agatetide/entry/record_lease.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/request/crash_table.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <set>
#include <span>
#include <string>
#include <string_view>

namespace agatetide::entry {

/// @brief Prefix of the store keys of crash records: below the prefix that all
/// daemons watch, so that they need no watch of their own.
constexpr std::string_view kCrashPrefix = "agatetide/live/crash/";

/// @brief The store entry of a record, without a lease. The key is kCrashPrefix
/// followed by the digest, a slash and CrashRecord::Name().
coordination::StorePut EncodeCrashRecord(const request::CrashRecord& aRecord);

/// @brief Errors: DataLoss if key or value is malformed. Unknown fields are
/// ignored.
Result<request::CrashRecord> DecodeCrashRecord(
  const coordination::StoreEntry& aEntry);

struct CrashRecordsOptions
{
  Milliseconds mWriteInterval{ 250 };
  /// Delay after a failed write; doubles up to mMaxRetryDelay.
  Milliseconds mRetryDelay{ 500 };
  Milliseconds mMaxRetryDelay{ 4000 };
  /// Limit of the store for the writes of a transaction.
  size_t mMaxBatch = 32;
  /// Beyond this number of stored records, single crashes are not shared.
  size_t mMaxSharedRecords = 4096;
};

/// @brief Keeps a host's crash table and the store's records the same, so that
/// all hosts know of the crashes that each of them saw, also after all were
/// killed. Not thread-safe: use it only on the executor of the daemon.
class CrashRecords
{
public:
  /// Precondition: aTable outlives the object.
  CrashRecords(CrashRecordsOptions aOptions,
               boost::asio::any_io_executor aExecutor,
               request::CrashTable& aTable,
               coordination::StoreCall aStore,
               Clock aClock);

  /// @name The list of all records in the store, page by page
  /// What BeginList() and EndList() enclose replaces what is known of the
  /// store's records. Pages may hold other keys. A list that is begun again is
  /// read from its start.
  /// @{
  void BeginList() { mListed.clear(); }
  void PutPage(std::span<const coordination::StoreEntry> aEntries);
  void EndList();
  /// @}

  /// @brief Applies a change of a key, which may be another one's.
  void ApplyChange(const coordination::StoreChange& aChange);

  /// @brief Writes and removes records until the executor stops.
  Awaitable<void> Maintain();

  /// @brief See request::ClaimTrialCall. False if the store does not answer.
  Awaitable<bool> ClaimTrial(request::CrashRecord aTrial);

private:
  void Put(const coordination::StoreEntry& aEntry);
  Awaitable<bool> WriteRecords();
  Awaitable<bool> RemoveRecords();

  CrashRecordsOptions mOptions;
  boost::asio::any_io_executor mExecutor;
  request::CrashTable& mTable;
  /// The records in the list that is being read.
  std::set<request::CrashRecordKey> mListed;
  coordination::StoreCall mStore;
  RecordLease mLease;
  /// Keys of malformed entries, each of which is logged once.
  std::set<std::string> mMalformed;
};

} // namespace agatetide::entry
