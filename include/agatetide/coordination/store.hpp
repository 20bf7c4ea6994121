#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/clock.hpp"
#include "agatetide/base/error.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace agatetide::coordination {

/// @brief One key of the platform store.
struct StoreEntry
{
  std::string mKey;
  std::string mValue;
  int64_t mCreateRevision = 0;
  int64_t mModRevision = 0;
  int64_t mLease = 0;
};

/// @brief Reads the keys in [mKey, mRangeEnd), or mKey alone when mRangeEnd
/// is empty.
struct RangeRequest
{
  std::string mKey;
  std::string mRangeEnd;
  int64_t mLimit = 0;
};

/// @brief Holds when the key's mod revision equals mModRevision; 0 means that
/// the key does not exist.
struct StoreCompare
{
  std::string mKey;
  int64_t mModRevision = 0;
};

struct StorePut
{
  std::string mKey;
  std::string mValue;
  int64_t mLease = 0;
};

struct StoreDelete
{
  std::string mKey;
};

/// @brief Applies the writes when all comparisons hold, otherwise answers
/// the current entries of mReadOnFailure.
struct TransactionRequest
{
  std::vector<StoreCompare> mCompares;
  std::vector<StorePut> mPuts;
  std::vector<StoreDelete> mDeletes;
  std::vector<std::string> mReadOnFailure;
};

struct LeaseGrantRequest
{
  int64_t mTtlSeconds = 0;
};

struct LeaseKeepAliveRequest
{
  int64_t mLease = 0;
};

struct LeaseRevokeRequest
{
  int64_t mLease = 0;
};

using StoreRequest = std::variant<RangeRequest,
                                  TransactionRequest,
                                  LeaseGrantRequest,
                                  LeaseKeepAliveRequest,
                                  LeaseRevokeRequest>;

/// @brief The answer to any StoreRequest; fields that do not apply stay at
/// their defaults.
struct StoreReply
{
  int64_t mRevision = 0;
  bool mSucceeded = false;
  std::vector<StoreEntry> mEntries;
  int64_t mLease = 0;
  int64_t mTtlSeconds = 0;
};

/// @brief Sends one request to the platform store.
///
/// Errors: Unavailable with Execution::NotRun when nothing was sent;
/// OutcomeUnknown when the request may have taken effect. A write whose
/// answer is OutcomeUnknown must be read back before it is repeated.
using StoreCall = std::function<Awaitable<Result<StoreReply>>(StoreRequest)>;

/// @brief Waits for changes of keys with a prefix after a revision.
struct WatchRequest
{
  std::string mPrefix;
  int64_t mAfterRevision = 0;
  std::chrono::milliseconds mWait{ 0 };
};

/// @brief One change; mValue is empty when the key was removed.
struct StoreChange
{
  StoreEntry mEntry;
  bool mRemoved = false;
};

struct WatchReply
{
  std::vector<StoreChange> mChanges;
  /// Continue from here.
  int64_t mRevision = 0;
  /// The history before the revision is gone; read the keys again.
  bool mCompacted = false;
  /// All changes before this time are part of the reply or were known before.
  /// Nothing when that has to be concluded from how long the watch took.
  std::optional<TimePoint> mFreshAsOf;
};

/// @brief Waits for changes. An empty reply means that the wait has passed.
/// Errors: as StoreCall.
using WatchCall = std::function<Awaitable<Result<WatchReply>>(WatchRequest)>;

/// @brief The end of the range that covers every key with this prefix.
std::string PrefixEnd(std::string_view aPrefix);

/// @brief Reads one key; nullopt when it does not exist.
/// The hook is copied, so it may go away while the call is suspended.
Awaitable<Result<std::optional<StoreEntry>>> ReadKey(StoreCall aStore,
                                                     std::string aKey);

/// @brief Reads all keys with a prefix, in key order.
Awaitable<Result<StoreReply>> ReadPrefix(StoreCall aStore, std::string aPrefix);

} // namespace agatetide::coordination
