#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/random.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/policy/reachability.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace agatetide::request {

enum class ConnectOutcome
{
  Connected,
  /// The replica's host responded that nothing accepts connections there.
  Refused,
  NoResponse,
};

/// @brief Opens a connection to a replica.
using ConnectCall = std::function<Awaitable<ConnectOutcome>(http::Endpoint)>;

/// @brief Whether a failure says that the path to the replica may be broken.
/// Only connections that were not established or were lost do; what a replica
/// answers, and how long it takes, does not.
bool MayBePathFailure(const Error& aError);

struct ReachabilityMonitorOptions
{
  policy::ReachabilityOptions mPolicy;
  /// Replicas that a check connects to first.
  size_t mFirstReplicas = 3;
  /// Replicas that it connects to as well if too few of those are reached
  /// within mFurtherDelay, since they may all have failed.
  size_t mFurtherReplicas = 6;
  Milliseconds mFurtherDelay{ 100 };
};

/// @brief Finds out whether this host reaches replicas at all. Connects to
/// replicas only after failures, and while none is reached. Not thread-safe:
/// use it only on the executor given to the constructor.
class ReachabilityMonitor
{
public:
  /// Precondition: aView outlives the object.
  ReachabilityMonitor(ReachabilityMonitorOptions aOptions,
                      boost::asio::any_io_executor aExecutor,
                      const fleet::FleetView& aView,
                      ConnectCall aConnect,
                      Clock aClock,
                      Random aRandom);

  /// @brief Records that a replica could not be reached or did not acknowledge
  /// a request, and returns whether this host reaches no replica. Checks it if
  /// the last check is not recent.
  Awaitable<bool> CheckAfterFailure();

  /// @brief Whether this host reaches no replica, as of the last check.
  bool IsCutOff() const { return mReachability.IsCutOff(); }

  /// @brief Called after each change of IsCutOff(). May be empty.
  std::function<void(bool aCutOff)> mOnChange;

private:
  struct Check;

  Awaitable<void> RunCheck();
  void StartConnecting(const std::shared_ptr<Check>& aCheck,
                       std::span<const http::Endpoint> aEndpoints);
  Awaitable<void> AwaitReached(std::shared_ptr<Check> aCheck,
                               size_t aEnough,
                               TimePoint aEnd);
  Awaitable<void> Connect(std::shared_ptr<Check> aCheck,
                          http::Endpoint aEndpoint);
  Awaitable<void> RecheckUntilRestored();
  std::vector<http::Endpoint> ChooseReplicas() const;
  void Finish(const Check& aCheck);

  ReachabilityMonitorOptions mOptions;
  boost::asio::any_io_executor mExecutor;
  const fleet::FleetView& mView;
  ConnectCall mConnect;
  Clock mClock;
  Random mRandom;
  policy::Reachability mReachability;
  /// The check that is running; null if none is.
  std::shared_ptr<Check> mRunning;
};

} // namespace agatetide::request
