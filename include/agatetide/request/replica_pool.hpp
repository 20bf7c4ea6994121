#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/base/random.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/policy/load_choice.hpp"
#include "agatetide/policy/outlier_ejection.hpp"
#include "agatetide/policy/replica_choice.hpp"
#include "agatetide/request/cold_replicas.hpp"
#include "agatetide/request/load_table.hpp"
#include "agatetide/request/request_limits.hpp"
#include "agatetide/request/upstream.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace agatetide::request {

/// @brief The outcome of an attempt, as outlier ejection needs it.
struct AttemptResult
{
  bool mFailed = false;
  Duration mLatency{};
};

/// @brief Whether a request may crash the replica that runs it.
enum class SuspectKind
{
  None,
  /// One of the requests that ran on a crashed replica.
  Possible,
  /// Runs on an idle replica if possible, and other requests avoid that one.
  Probable,
};

/// @brief Selects the replicas that may run a request.
struct ReplicaFilter
{
  std::string mService;
  /// Ids of the replicas that the request was already sent to.
  std::set<std::string> mExcludedIds;
  /// An empty function allows all replicas.
  std::function<bool(const fleet::Replica&)> mIsAllowed;
  /// Suspects share no replica with each other if possible.
  SuspectKind mSuspect = SuspectKind::None;
  /// Regions whose replicas may be used; std::nullopt allows all.
  std::optional<fleet::RegionSet> mAllowedRegions;
};

/// @brief Tracks the load of the replicas and chooses replicas for requests.
/// Not thread-safe; all calls must come from the daemon's executor.
class ReplicaPool
{
public:
  /// Precondition: aView outlives the pool. aHost is the name of this host.
  ReplicaPool(const fleet::FleetView& aView,
              Clock aClock,
              Random aRandom,
              std::string aHost = {});

  /// @brief Counts as one running request of this daemon on a replica until
  /// it is destroyed. Precondition: the pool outlives it.
  class Reservation
  {
  public:
    Reservation(ReplicaPool& aPool,
                fleet::Replica aReplica,
                SuspectKind aSuspect = SuspectKind::None);
    Reservation(Reservation&& aOther) noexcept;
    Reservation& operator=(Reservation&&) = delete;
    ~Reservation();

    const fleet::Replica& Replica() const { return mReplica; }

  private:
    ReplicaPool* mPool;
    fleet::Replica mReplica;
    SuspectKind mSuspect;
    TimePoint mStartedAt;
  };

  /// @brief Chooses a replica and logs the choice. Returns std::nullopt if no
  /// replica passes the filter and may be sent a request. An ejected or blocked
  /// replica is chosen only if there is no other.
  std::optional<Reservation> ChooseAndReserve(const ReplicaFilter& aFilter,
                                              std::string_view aRequestId);

  /// @brief Estimates the time until a limited replica that passes the filter
  /// may be sent a request, after aWaitingCount other requests that wait for
  /// it; Duration::max() if there is none.
  Duration EstimateLimitDelay(const ReplicaFilter& aFilter,
                              size_t aWaitingCount) const;

  /// @brief Time until a service without replicas in the allowed regions
  /// usually has one there; std::nullopt if one is registered that is neither
  /// draining nor in an evacuated zone.
  std::optional<Milliseconds> TimeUntilReplacement(
    std::string_view aService,
    const std::optional<fleet::RegionSet>& aAllowedRegions) const;

  /// @brief Reserves the replica with this id. Returns std::nullopt if it is
  /// not registered or not usable.
  std::optional<Reservation> TryReserve(std::string_view aReplicaId);

  /// @brief Records the outcome of an attempt for outlier ejection.
  void RecordAttempt(const fleet::Replica& aReplica,
                     const AttemptResult& aResult);

  /// @brief Records the load that a replica reported with a response that is
  /// complete. Does not change the estimate of the replica: the load was
  /// reported in the header, which may have arrived seconds earlier.
  void RecordLoad(std::string_view aReplicaId, const ReportedLoad& aLoad);

  /// @brief Records the load in the header of a response that arrives now, for
  /// the estimate of the replica.
  void RecordHeaderLoad(std::string_view aReplicaId, const ReportedLoad& aLoad)
  {
    mTable.Record(aReplicaId, aLoad);
  }

  /// @brief Selects how replicas are chosen. LeastRequests is the baseline to
  /// compare with, and serves services without a reported pace in any case.
  void SetChoicePolicy(policy::ReplicaChoicePolicy aPolicy)
  {
    mChoicePolicy = aPolicy;
  }

  /// @brief Whether requests to the service are placed by expected time.
  bool UsesEstimates(std::string_view aService) const;

  /// @brief Estimated load of a replica, its pace and the age of the report.
  policy::EstimatedLoad Estimate(const fleet::Replica& aReplica) const
  {
    return mTable.Estimate(aReplica);
  }

  /// @brief The replica with its estimate, for policy::ChooseByExpectedTime().
  policy::LoadCandidate MakeLoadCandidate(const fleet::Replica& aReplica) const;

  /// @brief As LoadTable::Export().
  std::string ExportLoads(size_t aMaxBytes) { return mTable.Export(aMaxBytes); }

  /// @brief Accepts the newer ones of the reports in a message that arrives
  /// now. A message that is malformed is ignored, and logged once for each
  /// sender. aSender is the address of the host.
  void ImportLoads(std::string_view aText, std::string_view aSender);

  const LoadTable::Counters& LoadCounters() const { return mTable.Count(); }

  /// @brief The request limits of the replicas. No replica is chosen or
  /// reserved whose limit leaves no request to this host.
  RequestLimits& Limits() { return mLimits; }
  const RequestLimits& Limits() const { return mLimits; }

  /// @brief Makes a replica unusable for aDuration, or longer if it is already
  /// blocked for longer.
  void BlockFor(std::string_view aReplicaId, Duration aDuration);

  /// @brief Records that no connection to the replica could be opened: it may
  /// have ended, and may start again before its registration shows it. Where
  /// replicas have a cold start, it is taken for cold.
  void RecordUnreachable(const fleet::Replica& aReplica)
  {
    mCold.RecordUnreachable(aReplica);
  }

  /// @brief Makes all blocked replicas usable again: they failed because this
  /// host could not reach them.
  void UnblockAll();

  /// @brief Number of requests of this daemon that run on the replica.
  uint32_t RunningRequests(std::string_view aReplicaId) const;

  /// @brief Estimated number of requests of all daemons that run or wait on
  /// the replica, by the method that is used for its service.
  double EstimatedRequests(const fleet::Replica& aReplica) const;

  /// @brief Whether the replica is neither draining, blocked nor in an
  /// evacuated zone, and its limit, also the one of a cold replica, leaves a
  /// request to this host.
  bool IsUsable(const fleet::Replica& aReplica) const;

  const fleet::FleetView& View() const { return mView; }

  /// @brief Whether replicas of the service have reported a pace.
  bool ReportsPace(std::string_view aService) const
  {
    return mTable.IsActive(aService);
  }

private:
  struct Candidates;
  struct Load
  {
    /// Requests of this daemon that run on the replica.
    uint32_t mRunning = 0;
    /// Suspects among them.
    std::map<SuspectKind, uint32_t> mSuspects;
    /// Requests of other daemons at the time of the last report.
    double mOtherRequests = 0.0;
    TimePoint mReportedAt{};
    TimePoint mBlockedUntil{};
  };

  /// Requests of other daemons; 0 if the last report is too old.
  double OtherRequests(const Load& aLoad) const;
  bool IsBlocked(const std::string& aReplicaId) const;
  /// Time until the replica's limits allow a request of this host.
  Duration LimitDelay(const fleet::Replica& aReplica) const;
  /// Whether the replica passes the filter, apart from its limit.
  bool Passes(const ReplicaFilter& aFilter,
              const fleet::Replica& aReplica) const;
  void Release(const std::string& aReplicaId, SuspectKind aSuspect);
  Candidates FindCandidates(const ReplicaFilter& aFilter);
  std::optional<size_t> Choose(Candidates& aCandidates, SuspectKind aSuspect);
  std::optional<size_t> ChooseIncluded(Candidates& aCandidates);
  std::string EjectionGroup(const fleet::Replica& aReplica) const;

  const fleet::FleetView& mView;
  Clock mClock;
  Random mRandom;
  std::map<std::string, Load, std::less<>> mLoads;
  policy::OutlierEjection mEjection{ policy::OutlierEjectionOptions{} };
  RequestLimits mLimits;
  /// Computes shares when it is asked.
  mutable ColdReplicas mCold;
  LoadTable mTable;
  policy::ReplicaChoicePolicy mChoicePolicy =
    policy::ReplicaChoicePolicy::ExpectedTime;
  /// Addresses of hosts that sent reports which could not be read.
  std::set<std::string, std::less<>> mUnreadableSenders;
  /// For policy::ChooseReplica().
  uint64_t mRoundRobinCounter = 0;
};

} // namespace agatetide::request
