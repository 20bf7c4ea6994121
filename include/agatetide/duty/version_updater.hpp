#pragma once

#include "agatetide/duty/leadership.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/policy/model_assignment.hpp"
#include "agatetide/policy/weight_load_order.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <optional>
#include <string>

namespace agatetide::duty {

/// @brief Orders a replica to load a weight version of a model.
struct VersionOrder
{
  std::string mReplicaId;
  std::string mModel;
  int64_t mVersion = 0;
  int64_t mFencingToken = 0;
  /// Number of orders that the replica has accepted so far. The replica refuses
  /// the order if its own count differs, so that a delayed order can't undo a
  /// newer one.
  int64_t mExpectedOrderCount = 0;
};

enum class VersionOrderOutcome
{
  Accepted,
  AlreadyLoaded,
  /// Another order is in progress, or the expected number of orders differs.
  Conflict,
  Refused,
};

/// @brief The status that a replica reports.
struct ReplicaStatus
{
  /// Whether an order is in progress.
  bool mBusy = false;
  /// Number of orders that the replica has accepted.
  int64_t mOrderCount = 0;
  /// Loaded weight version by model.
  std::map<std::string, int64_t, std::less<>> mVersions;
};

/// @brief Sends an order to the replica at an address.
using VersionOrderCall =
  std::function<Awaitable<Result<VersionOrderOutcome>>(http::Endpoint,
                                                       VersionOrder)>;
/// @brief Reads the status of the replica with an address and an id.
using ReplicaStatusCall =
  std::function<Awaitable<Result<ReplicaStatus>>(http::Endpoint, std::string)>;

struct VersionUpdaterOptions
{
  /// Number of replicas of a service that may load at the same time, since more
  /// slow each other down: mMaxConcurrentLoadShare of the service's replicas,
  /// but at least mMinConcurrentLoads.
  unsigned mMinConcurrentLoads = 2;
  double mMaxConcurrentLoadShare = 0.2;
  /// Time after which an accepted order whose version isn't loaded yet is
  /// checked again.
  Milliseconds mLoadTimeout{ 2500 };
  /// The same for orders that weren't accepted.
  Milliseconds mRetryDelay{ 300 };
};

/// @brief Orders engines to load the weight versions that trainers have
/// published, while this daemon is the leader. Not thread-safe: use it only on
/// the executor of the daemon.
class VersionUpdater
{
public:
  /// Precondition: aView and aLeadership outlive the object.
  VersionUpdater(VersionUpdaterOptions aOptions,
                 boost::asio::any_io_executor aExecutor,
                 const fleet::FleetView& aView,
                 const Leadership& aLeadership,
                 VersionOrderCall aSendOrder,
                 ReplicaStatusCall aReadStatus,
                 Clock aClock);

  /// @brief Sets the expected output tokens by model, and reassigns at most one
  /// replica.
  void SetTokenDemand(const std::map<std::string, double, std::less<>>& aDemand,
                      policy::RebalanceRule aRule);

  /// @brief Sends the orders that are due. Call it several times a second.
  void Reconcile();

private:
  struct PendingUpdate
  {
    std::string mModel;
    int64_t mVersion = 0;
    /// Whether the status is being read or the order is being sent.
    bool mSending = false;
    /// When the update is checked again.
    TimePoint mRetryAt{};
  };

  Awaitable<void> SendLoadOrder(fleet::Replica aReplica,
                                std::string aModel,
                                int64_t aVersion);
  /// A replica that should load a newer version of a model assigned to it.
  struct Candidate
  {
    const fleet::Replica* mReplica = nullptr;
    std::string mModel;
    int64_t mVersion = 0;
  };

  std::vector<Candidate> OutdatedReplicas() const;
  void RemoveFinished();
  std::vector<policy::AssignableReplica> AssignableReplicas() const;

  VersionUpdaterOptions mOptions;
  boost::asio::any_io_executor mExecutor;
  const fleet::FleetView& mView;
  const Leadership& mLeadership;
  VersionOrderCall mSendOrder;
  ReplicaStatusCall mReadStatus;
  Clock mClock;
  policy::ModelAssignment mAssignments;
  policy::WeightLoadPriority mLoadPriority =
    policy::WeightLoadPriority::FurthestBehind;
  /// Time of the last update of a replica to a new version, by model.
  std::map<std::string, TimePoint, std::less<>> mLastOrderTime;
  /// Updates in progress by replica id.
  std::map<std::string, PendingUpdate, std::less<>> mUpdates;
};

} // namespace agatetide::duty
