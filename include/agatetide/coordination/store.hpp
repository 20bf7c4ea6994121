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

/// @brief A key of the platform store with its value and revisions.
struct StoreEntry
{
  std::string mKey;
  std::string mValue;
  int64_t mCreateRevision = 0;
  int64_t mModRevision = 0;
  /// Store lease that the key is attached to; 0 if none.
  int64_t mLeaseId = 0;
  /// Size in bytes of a value that was too long to be kept; mValue is then
  /// empty. Not sent to other daemons.
  size_t mOmittedBytes = 0;
};

/// @brief Reads the keys in [mKey, mRangeEnd), or only mKey if mRangeEnd is
/// empty. With a limit, the first keys are read until there are that many; the
/// reply may have more that the store returned with them, so it is no limit of
/// its size: a limit of 1 reads one page. 0 means no limit; lists that others
/// write are read with ReadPages() instead.
struct RangeRequest
{
  std::string mKey;
  std::string mRangeEnd;
  int64_t mLimit = 0;
};

/// @brief True if the key's modification revision equals mModRevision; 0
/// matches a key that does not exist.
struct StoreCompare
{
  std::string mKey;
  int64_t mModRevision = 0;
};

struct StorePut
{
  std::string mKey;
  std::string mValue;
  /// Store lease to attach the key to; 0 for none.
  int64_t mLeaseId = 0;
};

struct StoreDelete
{
  std::string mKey;
};

/// @brief Applies the writes if all comparisons are true, otherwise returns the
/// current entries of the keys in mReadOnFailure.
struct TransactionRequest
{
  std::vector<StoreCompare> mCompares;
  std::vector<StorePut> mPuts;
  std::vector<StoreDelete> mDeletes;
  std::vector<std::string> mReadOnFailure;
};

/// @brief Creates a store lease, which expires after the TTL unless it is kept
/// alive.
struct LeaseGrantRequest
{
  int64_t mTtlSeconds = 0;
};

/// @brief Restarts the TTL of a store lease.
struct LeaseKeepAliveRequest
{
  int64_t mLeaseId = 0;
};

/// @brief Ends a store lease and removes the keys attached to it.
struct LeaseRevokeRequest
{
  int64_t mLeaseId = 0;
};

using StoreRequest = std::variant<RangeRequest,
                                  TransactionRequest,
                                  LeaseGrantRequest,
                                  LeaseKeepAliveRequest,
                                  LeaseRevokeRequest>;

/// @brief The reply to any StoreRequest; fields that do not apply keep their
/// defaults.
struct StoreReply
{
  /// Revision of the store at the time of the reply.
  int64_t mRevision = 0;
  /// Transactions: whether the writes were applied.
  bool mSucceeded = false;
  /// Ranges: the keys found. Failed transactions: the entries of
  /// mReadOnFailure.
  std::vector<StoreEntry> mEntries;
  /// Ranges: whether no keys follow those found. False if that isn't known, as
  /// in replies of other daemons.
  bool mEndReached = false;
  /// Leases: the granted lease, or the one kept alive.
  int64_t mLeaseId = 0;
  /// Leases: the TTL; 0 if the lease to keep alive no longer exists.
  int64_t mTtlSeconds = 0;
};

/// @brief Sends one request to the platform store.
///
/// Errors: Unavailable with Execution::NotRun if nothing was sent;
/// OutcomeUnknown if the request may have taken effect. After OutcomeUnknown, a
/// write must be read back before it is repeated.
using StoreCall = std::function<Awaitable<Result<StoreReply>>(StoreRequest)>;

/// @brief Waits up to mMaxWait for changes of keys with a prefix after a
/// revision.
struct WatchRequest
{
  std::string mPrefix;
  int64_t mAfterRevision = 0;
  std::chrono::milliseconds mMaxWait{ 0 };
};

/// @brief One change of a key; the entry's value is empty if the key was
/// removed.
struct StoreChange
{
  StoreEntry mEntry;
  bool mRemoved = false;
};

struct WatchReply
{
  std::vector<StoreChange> mChanges;
  /// Revision after which the next watch continues.
  int64_t mRevision = 0;
  /// The store no longer has the changes after the requested revision; read all
  /// keys again.
  bool mCompacted = false;
  /// All changes before this time are in the reply or in earlier ones.
  /// std::nullopt if the source gives no such time; see WatchFreshAsOf().
  std::optional<TimePoint> mFreshAsOf;
};

/// @brief Waits for changes. A reply without changes means that the wait time
/// has passed.
/// Errors: as StoreCall.
using WatchCall = std::function<Awaitable<Result<WatchReply>>(WatchRequest)>;

/// @brief End of the range that covers every key with this prefix.
std::string PrefixEnd(std::string_view aPrefix);

/// @brief Reads one key; std::nullopt if it does not exist.
/// aStore is copied, so the original may be destroyed while the call is
/// suspended.
Awaitable<Result<std::optional<StoreEntry>>> ReadKey(StoreCall aStore,
                                                     std::string aKey);

/// @brief Reads all keys with a prefix, in key order.
Awaitable<Result<StoreReply>> ReadPrefix(StoreCall aStore, std::string aPrefix);

} // namespace agatetide::coordination
