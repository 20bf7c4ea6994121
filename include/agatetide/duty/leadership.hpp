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
  /// A free lease is tried for by the first host at once, by each further
  /// one this much later, so that they do not all call the store.
  Milliseconds mTurn{ 200 };
  Milliseconds mLongestTurn{ 2000 };
  /// A lease that is held by all accounts is looked at this often.
  Milliseconds mLookInterval{ 30000 };
  /// A lease that could not be given up is tried again this often.
  Milliseconds mResignInterval{ 200 };
  /// Time between acquiring the lease and the first act, so that calls of the
  /// holder before have arrived.
  Milliseconds mSettleTime{ 1000 };
};

/// @brief The lease of the daemon that carries out the singleton duties.
/// Whether it is free is known from the watch of live hosts, so that daemons
/// that do not lead ask nothing of the store.
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

  /// @brief Gives the lease up and takes it no more. While the store does not
  /// answer, Maintain() goes on trying.
  Awaitable<void> Resign();

  /// @brief Whether this daemon may act now. Check it immediately before
  /// each act.
  bool MayAct() const;

  /// @brief Grows with each holder. Precondition: MayAct().
  int64_t FencingToken() const { return mLease.FencingNumber(); }

private:
  Leadership(LeadershipOptions aOptions,
             coordination::Lease aLease,
             Clock aClock,
             std::string aHost,
             const fleet::FleetView& aView);

  bool Due(TimePoint aNow);
  Duration Turn() const;

  LeadershipOptions mOptions;
  coordination::Lease mLease;
  Clock mClock;
  const fleet::FleetView* mView;
  std::string mHost;
  /// When the store was last asked, if it was.
  std::optional<TimePoint> mLastTry;
  /// Since when the lease is known to be free.
  std::optional<TimePoint> mFreeSince;
  bool mResigned = false;
  /// Whether the lease was held when it was last looked at, for the log.
  bool mLed = false;
};

} // namespace agatetide::duty
