#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/coordination/usage_counters.hpp"
#include "agatetide/daemon/duty.hpp"
#include "agatetide/daemon/peer_link.hpp"
#include "agatetide/daemon/traffic_view.hpp"

namespace agatetide::daemon {

/// @brief Counts the usage of this daemon and copies the counts to peers. As
/// holder of the "usage" lease it also seals usage windows in the store and
/// reports them to the platform. Owned by the control thread.
class UsageDuty
{
public:
  UsageDuty(DutyContext& aContext, PeerLink& aLink, DutyLease aLease);

  /// @brief Counts one finished request.
  void Count(const TrafficReport& aReport);

  /// @brief Merges encoded counts of a peer.
  void Merge(const std::string& aBytes);

  /// @brief Maintains the lease, copies counts and reports ended windows until
  /// the executor stops.
  Awaitable<void> Run();

  Awaitable<void> Release() { return mLease.Release(); }

  /// @brief Up to aCount sealed windows from the store as JSON, newest first.
  /// Errors: those of the store.
  Awaitable<Result<std::vector<std::string>>> SealedWindows(unsigned aCount);

  bool IsHeld() const { return mLease.IsHeld(); }

private:
  int64_t CurrentWindow() const;
  Awaitable<void> CopyToPeers();
  Awaitable<bool> ReportWindow(int64_t aWindow);
  Awaitable<Result<std::string>> SealWindow(int64_t aWindow);
  std::string FormatWindow(int64_t aWindow) const;

  DutyContext& mContext;
  PeerLink& mLink;
  DutyLease mLease;
  coordination::UsageCounters mCounters;
  int64_t mLastReportedWindow = 0;
  TimePoint mLastCopy{};
};

} // namespace agatetide::daemon
