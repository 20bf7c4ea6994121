#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/daemon/duty.hpp"

#include <map>
#include <string>

namespace agatetide::daemon {

/// @brief As holder of the orders lease, keeps the platform's upstreams at
/// the configured placement.
class OrderDuty
{
public:
  OrderDuty(DutyContext& aContext, DutyLease aLease);

  /// @brief Maintains the lease and sends orders. Runs until the executor
  /// stops.
  Awaitable<void> Run();

  Awaitable<void> Release() { return mLease.Release(); }

private:
  bool MaySend() const;
  Awaitable<void> Send(const v1::Placement& aPlacement);
  Awaitable<Result<int64_t>> WriteIntent(const v1::Placement& aPlacement);

  DutyContext& mContext;
  DutyLease mLease;
  /// Last placement that the platform confirmed in this tenure.
  std::map<std::string, std::string> mConfirmed;
  int64_t mTenure = 0;
};

} // namespace agatetide::daemon
