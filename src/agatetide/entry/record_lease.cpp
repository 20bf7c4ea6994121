#include "agatetide/entry/record_lease.hpp"

namespace agatetide::entry {

using namespace coordination;

RecordLease::RecordLease(RecordLeaseOptions aOptions,
                         StoreCall aStore,
                         Clock aClock)
  : mOptions(aOptions)
  , mStore(std::move(aStore))
  , mClock(std::move(aClock))
{
}

Awaitable<Result<int64_t>> RecordLease::Acquire()
{
  if (mLeaseId != 0 && mClock() - mGrantedAt < mOptions.mUse) {
    co_return mLeaseId;
  }
  const TimePoint sent = mClock();
  StoreRequest request = LeaseGrantRequest{ mOptions.mTtl.count() };
  const auto granted = co_await mStore(std::move(request));
  if (granted.has_error()) {
    co_return granted.error();
  }
  mLeaseId = granted->mLeaseId;
  mGrantedAt = sent;
  co_return mLeaseId;
}

} // namespace agatetide::entry
