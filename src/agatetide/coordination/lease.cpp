#include "agatetide/coordination/lease.hpp"

namespace agatetide::coordination {

Result<Lease> Lease::Create(LeaseOptions aOptions,
                            StoreCall aStore,
                            Clock aClock)
{
  if (aOptions.mKey.empty()) {
    return Error{ ErrorKind::InvalidArgument,
                  "the lease key is empty",
                  "set LeaseOptions::mKey" };
  }
  if (std::chrono::seconds(aOptions.mTtlSeconds) <= aOptions.mDriftMargin) {
    return Error{ ErrorKind::InvalidArgument,
                  "the lease TTL does not exceed the drift margin",
                  "raise mTtlSeconds or lower mDriftMargin" };
  }
  return Lease(std::move(aOptions), std::move(aStore), std::move(aClock));
}

Lease::Lease(LeaseOptions aOptions, StoreCall aStore, Clock aClock)
  : mOptions(std::move(aOptions))
  , mStore(std::move(aStore))
  , mClock(std::move(aClock))
{
}

bool Lease::IsHeld() const
{
  return mLeaseId != 0 && mFencingToken != 0 && mClock() < mExpiry;
}

Awaitable<Result<bool>> Lease::AcquireOrRenew()
{
  if (mLeaseId != 0 && mFencingToken != 0) {
    co_return co_await KeepAlive();
  }
  if (mLeaseId != 0) {
    // The outcome of an earlier create is unknown, or a lease expired locally.
    // Once the store lease is revoked, its key is gone and a late create cannot
    // take effect.
    const auto revoked = co_await Release();
    if (revoked.has_error()) {
      co_return revoked.error();
    }
  }
  co_return co_await Acquire();
}

Awaitable<Result<bool>> Lease::Acquire()
{
  // For the store, a read is cheaper than granting a lease that is not used.
  auto current = co_await ReadKey(mStore, mOptions.mKey);
  if (current.has_error()) {
    co_return current.error();
  }
  if (current->has_value()) {
    mCurrentHolder = (*current)->mValue;
    co_return false;
  }
  const TimePoint sent = mClock();
  auto granted = co_await mStore(LeaseGrantRequest{ mOptions.mTtlSeconds });
  if (granted.has_error()) {
    co_return granted.error();
  }
  mLeaseId = granted->mLeaseId;
  TransactionRequest create;
  create.mCompares.push_back({ mOptions.mKey, 0 });
  create.mPuts.push_back({ mOptions.mKey, mOptions.mHolder, mLeaseId });
  create.mReadOnFailure.push_back(mOptions.mKey);
  auto created = co_await mStore(create);
  if (created.has_error()) {
    if (created.error().mKind == ErrorKind::OutcomeUnknown) {
      co_return co_await ReadBack(sent);
    }
    Clear();
    co_return created.error();
  }
  if (!created->mSucceeded) {
    mCurrentHolder =
      created->mEntries.empty() ? "" : created->mEntries.front().mValue;
    const int64_t unused = std::exchange(mLeaseId, 0);
    co_await mStore(LeaseRevokeRequest{ unused });
    co_return false;
  }
  MarkHeld(sent, created->mRevision);
  co_return true;
}

/// Checks whether a create whose reply was lost took effect. The store lease
/// id distinguishes this attempt's key from that of another attempt.
Awaitable<Result<bool>> Lease::ReadBack(TimePoint aSent)
{
  auto current = co_await ReadKey(mStore, mOptions.mKey);
  if (current.has_error()) {
    co_return current.error();
  }
  if (current->has_value() && (*current)->mLeaseId == mLeaseId) {
    MarkHeld(aSent, (*current)->mCreateRevision);
    co_return true;
  }
  co_return false;
}

Awaitable<Result<bool>> Lease::KeepAlive()
{
  const TimePoint sent = mClock();
  auto renewed = co_await mStore(LeaseKeepAliveRequest{ mLeaseId });
  if (renewed.has_error()) {
    if (!IsHeld()) {
      mFencingToken =
        0; // AcquireOrRenew() revokes the lease that may still exist.
    }
    co_return renewed.error();
  }
  if (renewed->mTtlSeconds <= 0) {
    Clear();
    co_return false;
  }
  // A lease that expired locally ends, even if the store still has it: IsHeld()
  // has returned false, so this process has to start over like a new holder.
  if (!IsHeld()) {
    co_await Release();
    co_return false;
  }
  mExpiry =
    sent + std::chrono::seconds(mOptions.mTtlSeconds) - mOptions.mDriftMargin;
  co_return true;
}

Awaitable<Result<bool>> Lease::Release()
{
  const int64_t lease = mLeaseId;
  Clear();
  if (lease == 0) {
    co_return false;
  }
  auto revoked = co_await mStore(LeaseRevokeRequest{ lease });
  if (revoked.has_error()) {
    mLeaseId = lease; // AcquireOrRenew() revokes it again.
    co_return revoked.error();
  }
  co_return true;
}

void Lease::MarkHeld(TimePoint aSent, int64_t aFencingToken)
{
  mFencingToken = aFencingToken;
  mExpiry =
    aSent + std::chrono::seconds(mOptions.mTtlSeconds) - mOptions.mDriftMargin;
  mHeldSince = mClock();
  mCurrentHolder = mOptions.mHolder;
}

void Lease::Clear()
{
  mLeaseId = 0;
  mFencingToken = 0;
  mExpiry = TimePoint{};
}

} // namespace agatetide::coordination
