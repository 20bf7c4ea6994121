#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/coordination/usage_counters.hpp"
#include "agatetide/daemon/duty.hpp"
#include "agatetide/daemon/peer_link.hpp"
#include "agatetide/daemon/traffic_view.hpp"

namespace agatetide::daemon {

/// @brief Counts usage, copies the counts to peers, and as holder of the
/// usage lease seals and reports windows.
class UsageDuty
{
public:
  UsageDuty(DutyContext& aContext, PeerLink& aLink, DutyLease aLease);

  /// @brief Counts one finished request.
  void Count(const TrafficReport& aReport);

  /// @brief Merges a peer's copy.
  void Merge(const std::string& aBytes);

  /// @brief Maintains the lease, copies counts and reports windows that have
  /// ended. Runs until the executor stops.
  Awaitable<void> Run();

  Awaitable<void> Release() { return mLease.Release(); }

  /// @brief Sealed windows from the store, newest first.
  Awaitable<Result<std::vector<std::string>>> SealedWindows(unsigned aCount);

  bool Held() const { return mLease.Held(); }

private:
  int64_t CurrentWindow() const;
  Awaitable<void> CopyToPeers();
  Awaitable<bool> ReportWindow(int64_t aWindow);
  Awaitable<Result<std::string>> Seal(int64_t aWindow);
  std::string Render(int64_t aWindow) const;

  DutyContext& mContext;
  PeerLink& mLink;
  DutyLease mLease;
  coordination::UsageCounters mCounters;
  int64_t mReportedThrough = 0;
  TimePoint mLastCopy{};
};

} // namespace agatetide::daemon
