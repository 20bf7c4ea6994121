#pragma once

#include "agatetide/coordination/lease.hpp"
#include "agatetide/fleet/fleet_view.hpp"

#include <boost/asio/any_io_executor.hpp>

namespace agatetide::duty {

struct LeadershipOptions
{
  std::string mKey = "agatetide/leader";
  int64_t mTtlSeconds = 3;
  Milliseconds mRenewInterval{ 800 };
  /// Daemons that do not lead look this often whether the lease is free;
  /// sooner when the leader's host has gone.
  Milliseconds mTryInterval{ 5000 };
  /// Time between acquiring the lease and the first act, so that calls of the
  /// holder before have arrived.
  Milliseconds mSettleTime{ 1000 };
};

/// @brief The lease of the daemon that carries out the singleton duties.
/// Not thread-safe: owned by the executor of the daemon.
class Leadership
{
public:
  /// @brief aHost and aIncarnation name this start of the daemon.
  /// Precondition: aView outlives the object. Errors: those of
  /// coordination::Lease::Create().
  static Result<Leadership> Create(LeadershipOptions aOptions,
                                   coordination::StoreCall aStore,
                                   Clock aClock,
                                   const std::string& aHost,
                                   const std::string& aIncarnation,
                                   const fleet::FleetView& aView);

  /// @brief Renews the lease, or takes it when it is free. Call it several
  /// times a second.
  Awaitable<void> Maintain();

  /// @brief Gives the lease up and takes it no more.
  Awaitable<void> Resign();

  /// @brief Whether this daemon may act now. Check it immediately before
  /// each act.
  bool MayAct() const;

  /// @brief Grows with each holder. Precondition: MayAct().
  int64_t FencingNumber() const { return mLease.FencingNumber(); }

private:
  Leadership(LeadershipOptions aOptions,
             coordination::Lease aLease,
             Clock aClock,
             const fleet::FleetView& aView);

  bool HolderGone() const;

  LeadershipOptions mOptions;
  coordination::Lease mLease;
  Clock mClock;
  const fleet::FleetView* mView;
  TimePoint mLastTry{};
  bool mResigned = false;
};

} // namespace agatetide::duty
