#pragma once

#include "agatetide/duty/leadership.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/policy/capacity.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace agatetide::duty {

/// @brief Orders a total number of regular or preemptible replicas of a service
/// in one availability zone.
struct ReplicaCountOrder
{
  std::string mService;
  std::string mAvailabilityZone;
  unsigned mReplicas = 0;
  bool mPreemptible = false;
  int64_t mFencingToken = 0;
};

enum class CapacityOutcome
{
  Ordered,
  /// The zone has no such replicas at the moment.
  NoneAvailable,
};

/// @brief Sends an order to the platform. Errors: those of http::Client;
/// Unavailable for other responses.
using CapacityOrderCall =
  std::function<Awaitable<Result<CapacityOutcome>>(ReplicaCountOrder)>;

struct AutoscalerOptions
{
  Milliseconds mReconcileInterval{ 500 };
  /// Share of all replica slots that the items of the open steps are to use.
  double mTargetUtilization = 0.9;
  /// Time beyond its boot time for which an ordered replica counts as starting.
  Milliseconds mStartupMargin{ 4000 };
  /// Time for which a replica that disappeared is expected to restart. An order
  /// states the total number of replicas, so one that left it out would
  /// terminate a replica that is restarting.
  Milliseconds mRestartTimeout{ 30000 };
  /// Delay before replicas are ordered again in a zone that had none available.
  Milliseconds mUnavailableRetryDelay{ 5000 };
  /// Delay before an order that failed is retried.
  Milliseconds mRetryDelay{ 1000 };
  /// Time for which replicas must be unneeded before the first is released.
  Milliseconds mScaleDownDelay{ 60000 };
  /// Interval between releases after that; one replica at a time.
  Milliseconds mScaleDownInterval{ 10000 };
  policy::CapacityOptions mPolicy;
};

/// @brief Orders and releases replicas of the services that have scaling
/// limits, while this daemon is the leader. Not thread-safe: use it only on the
/// executor of the daemon.
class Autoscaler
{
public:
  /// Precondition: aView and aLeadership outlive the object.
  Autoscaler(AutoscalerOptions aOptions,
             boost::asio::any_io_executor aExecutor,
             const fleet::FleetView& aView,
             const Leadership& aLeadership,
             CapacityOrderCall aSend,
             Clock aClock);

  /// @brief Sets the number of items to run at the same time, by service, for
  /// none of them to wait.
  void SetPeakItems(std::map<std::string, unsigned, std::less<>> aItems);

  /// @brief Counts the replicas and, on the leader, sends the orders that are
  /// due. Call it several times a second.
  void Reconcile();

private:
  /// Service, availability zone, and whether the replicas are preemptible.
  using GroupKey = std::tuple<std::string, std::string, bool>;
  struct ReplicaGroup
  {
    /// Registered replicas that don't drain.
    unsigned mPresent = 0;
    /// Highest mPresent within mRestartTimeout, and when it was last reached.
    unsigned mRecentMax = 0;
    TimePoint mRecentMaxAt{};
    /// Number of replicas in the last order, and until when they may start.
    unsigned mOrdered = 0;
    TimePoint mOrderedUntil{};
    /// No orders before this time.
    TimePoint mNotBefore{};
    /// Whether an order is being sent.
    bool mSending = false;
  };

  void CountReplicas();
  void ResetOrders();
  void ReconcileService(const fleet::Service& aService);
  unsigned Expected(const ReplicaGroup& aGroup) const;
  unsigned Allocated(const ReplicaGroup& aGroup) const;
  unsigned SlotsOf(const std::string& aService) const;
  void SendChange(const fleet::Service& aService,
                  const std::string& aZone,
                  const policy::CapacityChange& aChange);
  Awaitable<void> Send(GroupKey aKey, unsigned aReplicas, Duration aBootTime);

  AutoscalerOptions mOptions;
  boost::asio::any_io_executor mExecutor;
  const fleet::FleetView& mView;
  const Leadership& mLeadership;
  CapacityOrderCall mSend;
  Clock mClock;
  std::map<std::string, unsigned, std::less<>> mDemand;
  std::map<GroupKey, ReplicaGroup> mGroups;
  TimePoint mLastReconciled{};
  /// Time from which mScaleDownDelay counts, by service: since when it has had
  /// unneeded replicas, moved forward by mScaleDownInterval at each release.
  std::map<std::string, TimePoint, std::less<>> mSurplusSince;
};

} // namespace agatetide::duty
