#include "agatetide/coordination/lease.hpp"

namespace agatetide::coordination {

Result<Lease> Lease::Create(LeaseOptions aOptions,
                            StoreCall aStore,
                            Clock aClock)
{
  if (aOptions.mKey.empty()) {
    return Error{ ErrorKind::InvalidArgument,
                  "lease key is empty",
                  "name the duty in LeaseOptions::mKey" };
  }
  if (std::chrono::seconds(aOptions.mTtlSeconds) <= aOptions.mDriftMargin) {
    return Error{ ErrorKind::InvalidArgument,
                  "lease TTL does not exceed the drift margin",
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

bool Lease::Held() const
{
  return mLeaseId != 0 && mFencingToken != 0 && mClock() < mExpiry;
}

Awaitable<Result<bool>> Lease::Renew()
{
  if (mLeaseId != 0 && mFencingToken != 0) {
    co_return co_await KeepAlive();
  }
  if (mLeaseId != 0) {
    // The outcome of an earlier create is still unknown. With its store lease
    // revoked it can neither stand nor take effect later.
    const auto revoked = co_await Release();
    if (revoked.has_error()) {
      co_return revoked.error();
    }
  }
  co_return co_await Acquire();
}

Awaitable<Result<bool>> Lease::Acquire()
{
  // A read is cheaper for the store than a grant that is then not used.
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
  mLeaseId = granted->mLease;
  TransactionRequest create;
  create.mCompares.push_back({ mOptions.mKey, 0 });
  create.mPuts.push_back({ mOptions.mKey, mOptions.mHolder, mLeaseId });
  create.mReadOnFailure.push_back(mOptions.mKey);
  auto created = co_await mStore(create);
  if (created.has_error()) {
    if (created.error().mKind == ErrorKind::OutcomeUnknown) {
      co_return co_await ReadBack(sent);
    }
    Drop();
    co_return created.error();
  }
  if (!created->mSucceeded) {
    mCurrentHolder =
      created->mEntries.empty() ? "" : created->mEntries.front().mValue;
    const int64_t unused = std::exchange(mLeaseId, 0);
    co_await mStore(LeaseRevokeRequest{ unused });
    co_return false;
  }
  Hold(sent, created->mRevision);
  co_return true;
}

/// Finds out whether a create whose answer was lost took effect. The store
/// lease id tells this attempt's key from one of another attempt.
Awaitable<Result<bool>> Lease::ReadBack(TimePoint aSent)
{
  auto current = co_await ReadKey(mStore, mOptions.mKey);
  if (current.has_error()) {
    co_return current.error();
  }
  if (current->has_value() && (*current)->mLease == mLeaseId) {
    Hold(aSent, (*current)->mCreateRevision);
    co_return true;
  }
  co_return false;
}

Awaitable<Result<bool>> Lease::KeepAlive()
{
  const TimePoint sent = mClock();
  auto kept = co_await mStore(LeaseKeepAliveRequest{ mLeaseId });
  if (kept.has_error()) {
    if (!Held()) {
      mFencingToken = 0; // Renew() revokes what the store may still have.
    }
    co_return kept.error();
  }
  if (kept->mTtlSeconds <= 0) {
    Drop();
    co_return false;
  }
  // A tenure that lapsed locally ends, even if the store kept the lease: the
  // holder has answered "not held" in between and its successor rules apply.
  if (!Held()) {
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
  Drop();
  if (lease == 0) {
    co_return false;
  }
  auto revoked = co_await mStore(LeaseRevokeRequest{ lease });
  if (revoked.has_error()) {
    mLeaseId = lease; // Renew() revokes it again.
    co_return revoked.error();
  }
  co_return true;
}

void Lease::Hold(TimePoint aSent, int64_t aFencingNumber)
{
  mFencingToken = aFencingNumber;
  mExpiry =
    aSent + std::chrono::seconds(mOptions.mTtlSeconds) - mOptions.mDriftMargin;
  mHeldSince = mClock();
  mCurrentHolder = mOptions.mHolder;
}

void Lease::Drop()
{
  mLeaseId = 0;
  mFencingToken = 0;
  mExpiry = TimePoint{};
}

} // namespace agatetide::coordination
