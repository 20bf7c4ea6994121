#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/daemon/duty.hpp"

#include <map>
#include <string>
#include <vector>

namespace agatetide::daemon {

/// @brief As holder of the "orders" lease, sends the platform the orders that
/// bring upstreams to the configured placements. With the setting
/// policies.placement "queued_work" it also scales engine groups by load, in
/// availability zones without a configured placement. Owned by the control
/// thread.
class PlacementDuty
{
public:
  PlacementDuty(DutyContext& aContext, DutyLease aLease);

  /// @brief Maintains the lease and sends orders until the executor stops.
  Awaitable<void> Run();

  Awaitable<void> Release() { return mLease.Release(); }

private:
  /// Number of replicas that an engine group was last scaled to.
  struct ScaleState
  {
    uint32_t mReplicas = 0;
    TimePoint mChangedAt{};
  };

  bool MaySend() const;
  std::vector<v1::Placement> WantedPlacements();
  void AddScaledPlacements(const v1::Upstream& aUpstream,
                           std::vector<v1::Placement>& aPlacements);
  Awaitable<void> SendOrder(const v1::Placement& aPlacement);
  Awaitable<Result<int64_t>> WriteIntent(const v1::Placement& aPlacement);

  DutyContext& mContext;
  DutyLease mLease;
  /// Last placement that the platform confirmed, by "upstream@zone", under the
  /// lease with mConfirmedFencingToken.
  std::map<std::string, std::string> mConfirmedPlacements;
  int64_t mConfirmedFencingToken = 0;
  /// Whether engine groups are scaled by load.
  bool mAutoscaling = false;
  std::map<std::string, ScaleState> mScaleStates;
  /// When preemptible replicas of a zone were last seen leaving.
  std::map<std::string, TimePoint> mReclaimedAt;
};

} // namespace agatetide::daemon
