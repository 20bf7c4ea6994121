#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/coordination/store.hpp"

#include <map>

namespace agatetide::coordination {

/// @brief An in-memory platform store for tests, examples and the test double.
/// Not thread-safe.
class MemoryStore
{
public:
  explicit MemoryStore(Clock aClock)
    : mClock(std::move(aClock))
  {
  }

  /// @brief Removes expired leases, then applies one request.
  StoreReply Apply(const StoreRequest& aRequest);

  /// @brief A StoreCall that applies its requests to this object, which must
  /// outlive it.
  StoreCall AsCall();

  int64_t Revision() const { return mRevision; }

private:
  struct Lease
  {
    TimePoint mExpiry;
    int64_t mTtlSeconds = 0;
  };

  void ExpireLeases();
  void RemoveLease(int64_t aLeaseId);
  StoreReply Range(const RangeRequest& aRequest) const;
  StoreReply Commit(const TransactionRequest& aRequest);
  StoreReply Grant(const LeaseGrantRequest& aRequest);
  StoreReply KeepAlive(const LeaseKeepAliveRequest& aRequest);

  Clock mClock;
  std::map<std::string, StoreEntry> mEntries;
  std::map<int64_t, Lease> mLeases;
  int64_t mRevision = 1;
  int64_t mNextLease = 1000;
};

} // namespace agatetide::coordination
