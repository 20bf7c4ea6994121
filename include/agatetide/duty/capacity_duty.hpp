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

/// @brief Orders a number of replicas of one kind in one zone.
struct CapacityOrder
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
  /// None can be had there at the moment.
  NoneAvailable,
};

/// @brief Errors: those of http::Client; Unavailable for other answers.
using SendCapacityOrder =
  std::function<Awaitable<Result<CapacityOutcome>>(CapacityOrder)>;

struct CapacityDutyOptions
{
  Milliseconds mReviewInterval{ 500 };
  /// Share of the places that the items of the open steps fill.
  double mTargetUse = 0.9;
  /// An ordered replica counts as present until this long after its boot time.
  Milliseconds mStartMargin{ 4000 };
  /// A replica that went is expected back for this long: orders name the
  /// whole number of replicas, and must not end one that restarts.
  Milliseconds mReturnTime{ 30000 };
  /// A zone without replicas to be had is asked again after this time.
  Milliseconds mUnavailableTime{ 5000 };
  Milliseconds mRetryPause{ 1000 };
  /// Capacity is given back after this time without need, one by one.
  Milliseconds mReleaseAfter{ 60000 };
  Milliseconds mReleasePause{ 10000 };
  policy::CapacityOptions mPolicy;
};

/// @brief Orders replicas for the services whose number the operator lets the
/// system choose, while this daemon leads. Not thread-safe: owned by the
/// executor of the daemon.
class CapacityDuty
{
public:
  /// Precondition: aView and aLeadership outlive the duty.
  CapacityDuty(CapacityDutyOptions aOptions,
               boost::asio::any_io_executor aExecutor,
               const fleet::FleetView& aView,
               const Leadership& aLeadership,
               SendCapacityOrder aSend,
               Clock aClock);

  /// @brief Sets how many items run at once when none has to wait, by service.
  void SetDemand(std::map<std::string, unsigned, std::less<>> aItems);

  /// @brief Counts replicas and, on the leader, sends the orders that are
  /// due. Call it several times a second.
  void Review();

private:
  /// Service, availability zone, and whether the replicas are preemptible.
  using Subject = std::tuple<std::string, std::string, bool>;
  struct Kind
  {
    unsigned mPresent = 0;
    /// The most replicas of late, and when there were as many last.
    unsigned mMost = 0;
    TimePoint mMostAt{};
    unsigned mOrdered = 0;
    TimePoint mOrderedUntil{};
    TimePoint mNotBefore{};
    bool mSending = false;
  };

  void Count();
  void ForgetOrders();
  void ReviewService(const fleet::Service& aService);
  unsigned Expected(const Kind& aKind) const;
  unsigned Registered(const Kind& aKind) const;
  unsigned SlotsOf(const std::string& aService) const;
  void Change(const fleet::Service& aService,
              const std::string& aZone,
              const policy::CapacityChange& aChange);
  Awaitable<void> Send(Subject aSubject, unsigned aReplicas, Duration aBoot);

  CapacityDutyOptions mOptions;
  boost::asio::any_io_executor mExecutor;
  const fleet::FleetView& mView;
  const Leadership& mLeadership;
  SendCapacityOrder mSend;
  Clock mClock;
  std::map<std::string, unsigned, std::less<>> mDemand;
  std::map<Subject, Kind> mKinds;
  TimePoint mReviewed{};
  /// Since when fewer replicas are needed, by service.
  std::map<std::string, TimePoint, std::less<>> mIdleSince;
};

} // namespace agatetide::duty
