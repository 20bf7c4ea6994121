#pragma once

#include "agatetide/duty/leadership.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/policy/move_order.hpp"
#include "agatetide/policy/weight_homes.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <optional>
#include <string>

namespace agatetide::duty {

/// @brief Orders one replica to load a version of a model.
struct VersionOrder
{
  std::string mReplicaId;
  std::string mModel;
  int64_t mVersion = 0;
  int64_t mFencingToken = 0;
  /// Orders that the replica has accepted; it refuses this one when the
  /// number differs, so that a late order cannot undo a newer one.
  int64_t mExpectedOrders = 0;
};

enum class OrderOutcome
{
  Accepted,
  AlreadyHolds,
  /// Another order is in progress, or the number of orders differs.
  Conflict,
  Refused,
};

/// @brief What a replica says of itself.
struct ReplicaStatus
{
  bool mBusy = false;
  int64_t mOrders = 0;
  std::map<std::string, int64_t, std::less<>> mVersions;
};

using SendOrder =
  std::function<Awaitable<Result<OrderOutcome>>(http::Endpoint, VersionOrder)>;
using ReadStatus =
  std::function<Awaitable<Result<ReplicaStatus>>(http::Endpoint, std::string)>;

struct VersionMoverOptions
{
  /// Replicas of a service that load at once: more slow each other down.
  unsigned mLeastAtOnce = 2;
  double mShareAtOnce = 0.2;
  /// An order whose effect is not seen by then is looked at again.
  Milliseconds mLoadTime{ 2500 };
  Milliseconds mRetryPause{ 300 };
};

/// @brief Moves engines to the versions that trainers have named, while this
/// daemon leads. Not thread-safe: owned by the executor of the daemon.
class VersionMover
{
public:
  VersionMover(VersionMoverOptions aOptions,
               boost::asio::any_io_executor aExecutor,
               const fleet::FleetView& aView,
               const Leadership& aLeadership,
               SendOrder aSend,
               ReadStatus aRead,
               Clock aClock);

  /// @brief Sets how much work each model brings.
  void SetDemand(const std::map<std::string, double, std::less<>>& aDemand);

  /// @brief Starts the orders that are due. Call it several times a second.
  void Review();

private:
  struct Move
  {
    std::string mModel;
    int64_t mVersion = 0;
    bool mSending = false;
    TimePoint mAgainAt{};
  };

  Awaitable<void> Order(fleet::Replica aReplica,
                        std::string aModel,
                        int64_t aVersion);
  /// A replica that follows a model and is behind.
  struct Candidate
  {
    const fleet::Replica* mReplica = nullptr;
    std::string mModel;
    int64_t mVersion = 0;
  };

  std::vector<Candidate> Behind() const;
  void ForgetFinished();
  std::vector<policy::HomeReplica> HomeReplicas() const;

  VersionMoverOptions mOptions;
  boost::asio::any_io_executor mExecutor;
  const fleet::FleetView& mView;
  const Leadership& mLeadership;
  SendOrder mSend;
  ReadStatus mRead;
  Clock mClock;
  policy::WeightHomes mHomes;
  policy::MoveOrderPolicy mOrder = policy::MoveOrderPolicy::FurthestBehind;
  /// When a replica was last ordered to load the model.
  std::map<std::string, TimePoint, std::less<>> mModelMoved;
  /// By replica id.
  std::map<std::string, Move, std::less<>> mMoves;
};

} // namespace agatetide::duty
