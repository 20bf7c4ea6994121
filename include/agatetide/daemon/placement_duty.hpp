#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/daemon/duty.hpp"

#include <map>
#include <string>
#include <vector>

namespace agatetide::daemon {

/// @brief As holder of the orders lease, keeps the platform's upstreams at
/// the configured placement. With the setting policies.placement
/// "queued_work" it also scales engine groups by load, in the zones for which
/// operators have configured no placement.
class PlacementDuty
{
public:
  PlacementDuty(DutyContext& aContext, DutyLease aLease);

  /// @brief Maintains the lease and sends orders. Runs until the executor
  /// stops.
  Awaitable<void> Run();

  Awaitable<void> Release() { return mLease.Release(); }

private:
  struct Scale
  {
    uint32_t mReplicas = 0;
    TimePoint mChangedAt{};
  };

  bool MaySend() const;
  std::vector<v1::Placement> Wanted();
  void AddScaled(const v1::Upstream& aUpstream,
                 std::vector<v1::Placement>& aWanted);
  Awaitable<void> Send(const v1::Placement& aPlacement);
  Awaitable<Result<int64_t>> WriteIntent(const v1::Placement& aPlacement);

  DutyContext& mContext;
  DutyLease mLease;
  /// Last placement that the platform confirmed in this tenure.
  std::map<std::string, std::string> mConfirmed;
  int64_t mTenure = 0;
  bool mScales = false;
  std::map<std::string, Scale> mScale;
  /// When cheaper upstreams of a zone were last seen leaving.
  std::map<std::string, TimePoint> mReclaimedAt;
};

} // namespace agatetide::daemon
