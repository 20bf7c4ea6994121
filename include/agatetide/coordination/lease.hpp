#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/clock.hpp"
#include "agatetide/coordination/store.hpp"

#include <atomic>
#include <string>

namespace agatetide::coordination {

struct LeaseOptions
{
  /// Store key of the lease.
  std::string mKey;
  /// Value of the key; identifies the lease holder in status output.
  std::string mHolder;
  int64_t mTtlSeconds = 6;
  /// Subtracted from the local expiry to allow for clock drift between hosts.
  Milliseconds mDriftMargin{ 500 };
};

/// @brief A lease in the platform store, with a fencing token, for leader
/// election.
///
/// Call AcquireOrRenew() about three times per TTL. The local expiry is counted
/// from the time a renewal was sent, so that a delayed reply does not extend
/// it. Not thread-safe; use it from one coroutine at a time.
class Lease
{
public:
  /// @brief Precondition: aOptions.mKey is not empty and the TTL exceeds the
  /// drift margin. Errors: InvalidArgument otherwise.
  static Result<Lease> Create(LeaseOptions aOptions,
                              StoreCall aStore,
                              Clock aClock);

  /// @brief Acquires the lease if it is free, or renews it if it is held.
  ///
  /// Returns whether the lease is held afterwards. Errors: those of the
  /// store; a held lease then stays valid until its local expiry.
  Awaitable<Result<bool>> AcquireOrRenew();

  /// @brief Revokes the lease, so that a successor need not wait for its
  /// expiry. Returns false if there was nothing to revoke. Errors: those of the
  /// store; the lease is not held any more, and AcquireOrRenew() revokes it
  /// again.
  Awaitable<Result<bool>> Release();

  /// @brief Whether this process may act as lease holder now. Check it
  /// immediately before each external effect.
  bool IsHeld() const;

  /// @brief Whether the store may hold a lease of this process: one that is
  /// held, one that expired locally, or one whose creation had an unknown
  /// outcome. AcquireOrRenew() keeps or revokes it.
  bool MayExistInStore() const { return mLeaseId != 0; }

  /// @brief Fencing token: the create revision of the lease key, which
  /// increases with each lease holder.
  /// Precondition: IsHeld().
  int64_t FencingToken() const { return mFencingToken; }

  /// @brief When the lease was acquired. Precondition: IsHeld().
  TimePoint HeldSince() const { return mHeldSince; }

  /// @brief The lease holder according to the store's last reply; empty if
  /// none is known.
  const std::string& LastKnownHolder() const { return mCurrentHolder; }

private:
  Lease(LeaseOptions aOptions, StoreCall aStore, Clock aClock);

  Awaitable<Result<bool>> Acquire();
  Awaitable<Result<bool>> ReadBack(TimePoint aSent);
  Awaitable<Result<bool>> KeepAlive();
  void MarkHeld(TimePoint aSent, int64_t aFencingToken);
  void Clear();

  LeaseOptions mOptions;
  StoreCall mStore;
  Clock mClock;
  int64_t mLeaseId = 0;
  int64_t mFencingToken = 0;
  TimePoint mExpiry{};
  TimePoint mHeldSince{};
  std::string mCurrentHolder;
};

} // namespace agatetide::coordination
