#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/base/event_log.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/policy/load_estimate.hpp"
#include "agatetide/request/load_messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::request {

/// @brief Load estimates of the replicas of services whose replicas report
/// their pace, from responses and from the reports of other hosts. Not
/// thread-safe; all calls must come from the daemon's executor.
class LoadTable
{
public:
  /// @brief Numbers since the start of the process.
  struct Counters
  {
    uint64_t mSentReports = 0;
    uint64_t mSentBytes = 0;
    uint64_t mAccepted = 0;
    /// Not newer than what was known, or too old.
    uint64_t mOutdated = 0;
    /// Of a replica, or a start of it, that is not registered.
    uint64_t mUnknown = 0;
  };

  /// Precondition: aView outlives the table.
  LoadTable(const fleet::FleetView& aView, Clock aClock);

  /// @brief Counts a request of this host on a replica that starts now.
  void CountStart(const std::string& aReplicaId);

  /// @brief Counts its end. Precondition: CountStart() was called for it.
  void CountEnd(const fleet::Replica& aReplica, Duration aTook);

  /// @brief Records the load in the header of a response that arrives now.
  void Record(std::string_view aReplicaId, const ReportedLoad& aLoad);

  /// @brief Whether a replica of the service has reported a pace, to this host
  /// or to another one, and the service is small enough that each choice can
  /// look at the estimates of all its replicas.
  bool IsActive(std::string_view aService) const;

  /// @brief What is assumed of a replica now.
  policy::EstimatedLoad Estimate(const fleet::Replica& aReplica) const;

  /// @brief Mean time of the requests of this host to the service; 0.1 s
  /// before the first one has ended.
  double WorkSeconds(std::string_view aService) const;

  /// @brief The reports for a message to another host, at most aMaxBytes and
  /// what the budget for each second leaves; empty if there are none. Those
  /// that are newest and have changed most come first.
  std::string Export(size_t aMaxBytes);

  /// @brief Accepts those reports of a message that arrives now which are newer
  /// than the known ones. Errors: InvalidArgument if the text is malformed; no
  /// report is accepted then.
  Result<size_t> Import(std::string_view aText);

  const Counters& Count() const { return mCounters; }

private:
  struct Entry
  {
    policy::OwnRequests mOwn;
    std::optional<policy::LoadReport> mReport;
    /// As Replica::mStartTimeMs at the time of the report.
    int64_t mStartTimeMs = 0;
    /// The report that was last sent to another host.
    std::optional<policy::LoadReport> mSent;
  };
  struct Service
  {
    bool mActive = false;
    /// Exponentially weighted mean.
    double mWorkSeconds = 0.1;
    /// Requests of other hosts for each slot, and when it was computed.
    double mOthersPerSlot = 0.0;
    std::optional<TimePoint> mComputedAt;
    /// Number of its replicas, as of mCountedAt.
    mutable size_t mReplicaCount = 0;
    mutable TimePoint mCountedAt{};
  };

  /// The report of this start of the replica; null if there is none or it is
  /// too old.
  const policy::LoadReport* FindReport(const fleet::Replica& aReplica,
                                       const Entry& aEntry) const;
  void SetReport(const fleet::Replica& aReplica, policy::LoadReport aReport);
  size_t CountReplicas(std::string_view aName, const Service& aService) const;
  double OthersPerSlot(const std::string& aService) const;
  double ComputeOthersPerSlot(std::string_view aService) const;
  double SendPriority(const fleet::Replica& aReplica,
                      const Entry& aEntry,
                      const policy::LoadReport& aReport) const;
  void RefillBudget();
  void RemoveOldEntries();
  void LogCounters();

  const fleet::FleetView& mView;
  Clock mClock;
  policy::LoadEstimateOptions mOptions;
  TimePoint mCleanedAt{};
  /// By replica id.
  std::map<std::string, Entry, std::less<>> mEntries;
  /// The means are a cache, so that Estimate() is const.
  mutable std::map<std::string, Service, std::less<>> mServices;
  /// Bytes that may be sent now.
  double mBudget = 0.0;
  TimePoint mBudgetAt{};
  Counters mCounters;
  LogLimiter mCounterLog{ std::chrono::seconds(10) };
};

/// @brief Adds the fields "estimated", "pace" and "report_ms" (age of the
/// report, -1 if there is none) to a log event about a choice.
void AddEstimate(LogEvent& aEvent, const policy::EstimatedLoad& aEstimate);

} // namespace agatetide::request
