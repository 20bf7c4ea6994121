#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/base/random.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/policy/outlier_ejection.hpp"
#include "agatetide/policy/replica_choice.hpp"
#include "agatetide/request/upstream.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace agatetide::request {

/// @brief How an attempt on a replica ended.
struct AttemptEnd
{
  bool mFailed = false;
  Duration mLatency{};
};

/// @brief Which replicas of a service may be chosen.
struct ReplicaWish
{
  std::string mService;
  /// Ids that this request has failed on.
  std::set<std::string> mAvoid;
  /// Empty allows all.
  std::function<bool(const fleet::Replica&)> mAllowed;
};

/// @brief Knows what runs on the replicas and chooses among them.
/// Not thread-safe: owned by the executor of the daemon.
class ReplicaPool
{
public:
  /// Precondition: aView outlives the pool.
  ReplicaPool(const fleet::FleetView& aView, Clock aClock, Random aRandom);

  /// @brief Counts one running request of this daemon until it is destroyed.
  /// Precondition: the pool outlives it.
  class Use
  {
  public:
    Use(ReplicaPool& aPool, fleet::Replica aReplica);
    Use(Use&& aOther) noexcept;
    Use& operator=(Use&&) = delete;
    ~Use();

    const fleet::Replica& Replica() const { return mReplica; }

  private:
    ReplicaPool* mPool;
    fleet::Replica mReplica;
  };

  /// @brief Chooses a replica and logs the decision; nullopt when none is
  /// usable.
  std::optional<Use> Choose(const ReplicaWish& aWish,
                            std::string_view aRequestId);

  /// @brief Takes this replica if it is registered and accepts new work.
  std::optional<Use> Take(std::string_view aReplicaId);

  /// @brief Feeds an attempt into the ejection of outliers.
  void Observe(const fleet::Replica& aReplica, const AttemptEnd& aEnd);

  /// @brief Records the load that a replica told.
  void Report(std::string_view aReplicaId, const ReportedLoad& aLoad);

  /// @brief Leaves a replica out of choices for a time.
  void Suspend(std::string_view aReplicaId, Duration aTime);

  /// @brief Requests of this daemon that run on the replica.
  uint32_t Running(std::string_view aReplicaId) const;

  /// @brief Requests that probably run or wait on the replica.
  double EstimatedRequests(const fleet::Replica& aReplica) const;

  /// @brief Whether the replica accepts new work as far as is known.
  bool Usable(const fleet::Replica& aReplica) const;

  const fleet::FleetView& View() const { return mView; }

private:
  struct Load
  {
    uint32_t mRunning = 0;
    /// Requests of others by the last report.
    double mOthers = 0.0;
    TimePoint mReported{};
    TimePoint mSuspendedUntil{};
  };

  double Others(const Load& aLoad) const;
  void Leave(const std::string& aReplicaId);
  std::string EjectionGroup(const fleet::Replica& aReplica) const;

  const fleet::FleetView& mView;
  Clock mClock;
  Random mRandom;
  std::map<std::string, Load, std::less<>> mLoads;
  policy::OutlierEjection mEjection{ policy::OutlierEjectionOptions{} };
  uint64_t mTurn = 0;
};

} // namespace agatetide::request
