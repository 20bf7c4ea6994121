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

/// @brief What the duties of the control thread share. References outlive
/// all duties.
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
  /// The present configuration.
  std::function<std::shared_ptr<const ConfigSnapshot>()> mConfig;
};

/// @brief Suspends the calling coroutine.
Awaitable<void> Sleep(std::chrono::milliseconds aTime);

/// @brief A lease whose holder is announced by gossip, so that the daemons
/// that do not hold it need not read the store while the holder is alive.
class DutyLease
{
public:
  /// @brief aDuty names the lease, for example "orders". Errors: those of
  /// coordination::Lease::Create().
  static Result<DutyLease> Create(DutyContext& aContext, std::string aDuty);

  /// @brief Renews the lease, or tries to take it when its holder is gone.
  /// Call it about once a second.
  Awaitable<void> Maintain();

  /// @brief Gives the lease up.
  Awaitable<void> Release();

  bool Held() const { return mLease.Held(); }
  int64_t FencingToken() const { return mLease.FencingToken(); }
  TimePoint HeldSince() const { return mLease.HeldSince(); }

private:
  DutyLease(DutyContext& aContext,
            std::string aDuty,
            coordination::Lease aLease);

  bool HolderAlive() const;
  void Announce();

  DutyContext* mContext;
  std::string mDuty;
  coordination::Lease mLease;
  TimePoint mLastRenewal{};
  TimePoint mLastAnnouncement{};
};

/// @brief Topic of the facts that announce duty holders.
inline constexpr const char* kLeaseTopic = "lease";

/// @brief Time to live of duty leases.
inline constexpr int64_t kDutyLeaseTtlSeconds = 6;

} // namespace agatetide::daemon
