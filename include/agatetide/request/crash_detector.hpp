#pragma once

#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/request/reachability_monitor.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace agatetide::request {

struct CrashDetectorOptions
{
  /// A replica that accepted a connection is asked again after this time, since
  /// a process that ends may accept connections for a moment.
  Milliseconds mSecondProbeDelay{ 150 };
  /// Registrations of replicas that ended are removed, or replaced by those of
  /// their next start, within this time: three heartbeats of 1.2 s and the time
  /// until all hosts know.
  Milliseconds mRegistrationTimeout{ 6000 };
  Milliseconds mPollInterval{ 100 };
};

/// @brief What a probe says of a replica whose connection broke.
enum class ProbeResult
{
  /// Its process has ended.
  Crashed,
  /// Something accepts connections at its address.
  Reached,
  /// It does not respond, or this host reaches no replica.
  Unknown,
};

/// @brief Finds out whether a replica whose connection broke has crashed.
/// Refused connections prove it if this host reaches other replicas, and so
/// does the replica's registration. Not thread-safe: use it only on the
/// executor given to the constructor.
class CrashDetector
{
public:
  /// Precondition: aView and aMonitor outlive the object.
  CrashDetector(CrashDetectorOptions aOptions,
                boost::asio::any_io_executor aExecutor,
                const fleet::FleetView& aView,
                ReachabilityMonitor& aMonitor,
                ConnectCall aConnect,
                Clock aClock);

  /// @brief Connects to the replica, at most twice. Calls for one start of a
  /// replica that overlap share the connections.
  Awaitable<ProbeResult> Probe(fleet::Replica aReplica);

  /// @brief Waits until the registrations show that the replica has ended;
  /// returns false if they do not in time.
  Awaitable<bool> AwaitEnd(fleet::Replica aReplica);

  /// @brief Whether this host reaches no replica, so that a broken connection
  /// says nothing of its replica.
  bool IsCutOff() const { return mMonitor.IsCutOff(); }

  const fleet::FleetView& View() const { return mView; }

private:
  struct Check;
  /// Id and start of a replica.
  using CheckKey = std::pair<std::string, int64_t>;

  Awaitable<ProbeResult> RunProbe(fleet::Replica aReplica);
  bool HasEnded(const fleet::Replica& aReplica) const;

  CrashDetectorOptions mOptions;
  boost::asio::any_io_executor mExecutor;
  const fleet::FleetView& mView;
  ReachabilityMonitor& mMonitor;
  ConnectCall mConnect;
  Clock mClock;
  std::map<CheckKey, std::shared_ptr<Check>> mChecks;
};

} // namespace agatetide::request
