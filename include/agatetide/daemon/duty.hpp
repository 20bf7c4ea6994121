#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/coordination/lease.hpp"
#include "agatetide/coordination/membership.hpp"
#include "agatetide/daemon/config_snapshot.hpp"
#include "agatetide/daemon/settings.hpp"
#include "agatetide/http/client.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace agatetide::daemon {

/// @brief Objects shared by the duties of the control thread. A duty is a task
/// that one daemon performs at a time, as holder of the duty's lease. The
/// referenced objects must outlive all duties.
struct DutyContext
{
  boost::asio::any_io_executor mExecutor;
  Clock mClock;
  WallClock mWallClock;
  Random mRandom;
  coordination::StoreCall mStore;
  http::Client& mClient;
  coordination::Membership& mMembership;
  const Settings& mSettings;
  /// Returns the current configuration.
  std::function<std::shared_ptr<const ConfigSnapshot>()> mConfig;
};

/// @brief Suspends the calling coroutine for aTime.
Awaitable<void> Sleep(std::chrono::milliseconds aTime);

/// @brief A lease whose holder is announced by gossip, so that other daemons
/// need not read the store while the holder is alive. Owned by the control
/// thread.
class DutyLease
{
public:
  /// @brief Creates a lease that is not held yet. aDuty names it, for example
  /// "orders". Errors: those of coordination::Lease::Create().
  static Result<DutyLease> Create(DutyContext& aContext, std::string aDuty);

  /// @brief Renews the lease, or tries to acquire it if its holder is gone.
  /// Must be called about once a second.
  Awaitable<void> Maintain();

  /// @brief Releases the lease if it is held.
  Awaitable<void> Release();

  bool IsHeld() const { return mLease.IsHeld(); }
  int64_t FencingToken() const { return mLease.FencingToken(); }
  TimePoint HeldSince() const { return mLease.HeldSince(); }

private:
  DutyLease(DutyContext& aContext,
            std::string aDuty,
            coordination::Lease aLease);

  bool IsHolderAlive() const;
  void AnnounceHolder();

  DutyContext* mContext;
  std::string mDuty;
  coordination::Lease mLease;
  TimePoint mLastRenewed{};
  TimePoint mLastAnnounced{};
};

/// @brief Topic of the gossip records that announce lease holders.
inline constexpr const char* kLeaseTopic = "lease";

/// @brief Time to live of duty leases, in seconds.
inline constexpr int64_t kDutyLeaseTtlSeconds = 6;

} // namespace agatetide::daemon
