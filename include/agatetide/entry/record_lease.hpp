#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/coordination/store.hpp"

namespace agatetide::entry {

struct RecordLeaseOptions
{
  std::chrono::seconds mTtl{ 600 };
  /// New records use the lease for this long, so they live at least mTtl less
  /// this time.
  std::chrono::seconds mUse{ 300 };
};

/// @brief A lease of the store that many short-lived records share; it is not
/// renewed but replaced. Not thread-safe: use it only on the executor of the
/// daemon.
class RecordLease
{
public:
  RecordLease(RecordLeaseOptions aOptions,
              coordination::StoreCall aStore,
              Clock aClock);

  /// @brief The id of a lease for new records. Errors: as StoreCall.
  Awaitable<Result<int64_t>> Acquire();

  /// @brief Records that the store does not know the lease any more.
  void Forget() { mLeaseId = 0; }

private:
  RecordLeaseOptions mOptions;
  coordination::StoreCall mStore;
  Clock mClock;
  int64_t mLeaseId = 0;
  TimePoint mGrantedAt{};
};

} // namespace agatetide::entry
