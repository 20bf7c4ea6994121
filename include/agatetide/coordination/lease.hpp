#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/clock.hpp"
#include "agatetide/coordination/store.hpp"

#include <atomic>
#include <string>

namespace agatetide::coordination {

struct LeaseOptions
{
  /// Store key that stands for the duty.
  std::string mKey;
  /// Written as the key's value; identifies the holder in status output.
  std::string mHolder;
  int64_t mTtlSeconds = 6;
  /// Subtracted from the expiry to cover clock drift between hosts.
  Milliseconds mDriftMargin{ 500 };
};

/// @brief A duty lease in the platform store with a fencing number.
///
/// Call Renew() about three times within the TTL. The local expiry counts
/// from before a renewal was sent, so a delayed answer never extends it.
/// Not thread-safe; one coroutine at a time.
class Lease
{
public:
  /// @brief Precondition: aOptions.mKey is not empty and the TTL exceeds the
  /// drift margin. Errors: InvalidArgument otherwise.
  static Result<Lease> Create(LeaseOptions aOptions,
                              StoreCall aStore,
                              Clock aClock);

  /// @brief Acquires the lease when it is free, or renews it when held.
  ///
  /// Returns whether the lease is held afterwards. Errors: those of the
  /// store; the lease then stays valid until its local expiry.
  Awaitable<Result<bool>> Renew();

  /// @brief Gives the lease up so that a successor need not wait.
  Awaitable<Result<bool>> Release();

  /// @brief Whether this process may act as the holder now. Check it
  /// immediately before each effect.
  bool Held() const;

  /// @brief Whether the store may hold something for this process: the lease,
  /// one that has lapsed here, or a create whose outcome is unknown. Renew()
  /// keeps or clears it.
  bool Engaged() const { return mLeaseId != 0; }

  /// @brief The create revision of the lease key; grows with each holder.
  /// Precondition: Held().
  int64_t FencingNumber() const { return mFencingToken; }

  /// @brief When the present tenure began. Precondition: Held().
  TimePoint HeldSince() const { return mHeldSince; }

  /// @brief Who holds the lease according to the last answer of the store.
  const std::string& Holder() const { return mCurrentHolder; }

private:
  Lease(LeaseOptions aOptions, StoreCall aStore, Clock aClock);

  Awaitable<Result<bool>> Acquire();
  Awaitable<Result<bool>> ReadBack(TimePoint aSent);
  Awaitable<Result<bool>> KeepAlive();
  void Hold(TimePoint aSent, int64_t aFencingNumber);
  void Drop();

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
