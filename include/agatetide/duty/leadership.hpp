#pragma once

#include "agatetide/coordination/lease.hpp"
#include "agatetide/fleet/fleet_view.hpp"

#include <boost/asio/any_io_executor.hpp>

namespace agatetide::duty {

struct LeadershipOptions
{
  std::string mKey{ fleet::kLiveLeaderKey };
  int64_t mTtlSeconds = 3;
  Milliseconds mRenewInterval{ 800 };
  /// The first host, by name, tries to acquire a free lease immediately, and
  /// each further one this much later, so that they don't all call the store.
  Milliseconds mAcquireDelay{ 200 };
  Milliseconds mMaxAcquireDelay{ 2000 };
  /// Interval at which a daemon calls the store although the watch shows
  /// another holder.
  Milliseconds mCheckInterval{ 30000 };
  /// Interval between attempts to release the lease after Resign().
  Milliseconds mResignRetryDelay{ 200 };
  /// Time between acquiring the lease and acting as the leader, so that calls
  /// still in flight from the previous holder have arrived.
  Milliseconds mActivationDelay{ 1000 };
  /// A leader that reaches no replica keeps the lease at least for this long
  /// after it acquired it, so that two hosts do not take turns quickly.
  Milliseconds mMinTenure{ 3000 };
};

/// @brief Leader election: holds the lease of the daemon that carries out the
/// singleton duties. Whether the lease is free is known from the watch of live
/// hosts, so that the other daemons call the store only every mCheckInterval.
/// Not thread-safe: use it only on the executor of the daemon.
class Leadership
{
public:
  /// @brief aHost and aIncarnation identify this start of the daemon.
  /// Precondition: aView outlives the object. Errors: those of
  /// coordination::Lease::Create().
  static Result<Leadership> Create(LeadershipOptions aOptions,
                                   coordination::StoreCall aStore,
                                   Clock aClock,
                                   const std::string& aHost,
                                   const std::string& aIncarnation,
                                   const fleet::FleetView& aView);

  /// @brief Renews the lease if it is held, or acquires it if it is free. While
  /// this host reaches no replica and another does, releases it instead. Call
  /// it several times a second.
  Awaitable<void> Maintain();

  /// @brief Releases the lease for good. If the store doesn't reply,
  /// Maintain() retries.
  Awaitable<void> Resign();

  /// @brief Whether this daemon may act as the leader now: the lease is held,
  /// mActivationDelay has passed, and it has not resigned. Check it immediately
  /// before each action.
  bool MayAct() const;

  /// @brief The fencing token, which grows with each holder.
  /// Precondition: MayAct().
  int64_t FencingToken() const { return mLease.FencingToken(); }

private:
  Leadership(LeadershipOptions aOptions,
             coordination::Lease aLease,
             Clock aClock,
             std::string aHost,
             const fleet::FleetView& aView);

  bool ShouldCallStore(TimePoint aNow);
  Duration AcquireDelay() const;
  bool ShouldLeaveToOthers() const;
  Awaitable<void> StepDown();

  LeadershipOptions mOptions;
  coordination::Lease mLease;
  Clock mClock;
  const fleet::FleetView* mView;
  std::string mHost;
  /// Time of the last store call. Before the first one: std::nullopt, or the
  /// time at which the lease was first seen held or in an unknown state.
  std::optional<TimePoint> mLastStoreCall;
  /// Since when the lease is known to be free; std::nullopt if it is held or
  /// its state is unknown.
  std::optional<TimePoint> mFreeSince;
  bool mResigned = false;
  /// Whether the lease was held at the last check; used to log changes.
  bool mWasHeld = false;
};

} // namespace agatetide::duty
