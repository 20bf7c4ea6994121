#include "agatetide/duty/version_updater.hpp"

#include "agatetide/base/event_log.hpp"
#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>

namespace agatetide::duty {

namespace asio = boost::asio;

namespace {

/// A review reassigns at most one in so many replicas: each of them loads
/// weights meanwhile. With one at a time an even start took longer than half a
/// minute to follow trainers of unequal size.
constexpr size_t kReplicasPerReassignment = 10;

std::string_view OutcomeName(VersionOrderOutcome aOutcome)
{
  switch (aOutcome) {
    case VersionOrderOutcome::Accepted:
      return "accepted";
    case VersionOrderOutcome::AlreadyLoaded:
      return "already_holds";
    case VersionOrderOutcome::Conflict:
      return "conflict";
    case VersionOrderOutcome::Refused:
      break;
  }
  return "refused";
}

int64_t VersionOf(const std::map<std::string, int64_t, std::less<>>& aVersions,
                  const std::string& aModel)
{
  const auto found = aVersions.find(aModel);
  return found == aVersions.end() ? 0 : found->second;
}

} // namespace

VersionUpdater::VersionUpdater(VersionUpdaterOptions aOptions,
                               asio::any_io_executor aExecutor,
                               const fleet::FleetView& aView,
                               const Leadership& aLeadership,
                               VersionOrderCall aSendOrder,
                               ReplicaStatusCall aReadStatus,
                               Clock aClock)
  : mOptions(aOptions)
  , mExecutor(std::move(aExecutor))
  , mView(aView)
  , mLeadership(aLeadership)
  , mSendOrder(std::move(aSendOrder))
  , mReadStatus(std::move(aReadStatus))
  , mClock(std::move(aClock))
{
}

std::vector<policy::AssignableReplica> VersionUpdater::AssignableReplicas()
  const
{
  std::vector<policy::AssignableReplica> replicas;
  for (const auto& [id, replica] : mView.Replicas()) {
    if (!replica.mDraining && !replica.mVersions.empty()) {
      replicas.push_back({ id, replica.mAvailabilityZone, replica.mVersions });
    }
  }
  return replicas;
}

void VersionUpdater::SetTokenDemand(
  const std::map<std::string, double, std::less<>>& aDemand,
  policy::RebalanceRule aRule)
{
  if (!mLeadership.MayAct()) {
    return;
  }
  const auto replicas = AssignableReplicas();
  mAssignments.Update(replicas, mView.PublishedVersions());
  const bool byLateness = aRule == policy::RebalanceRule::Gain;
  const size_t most =
    byLateness ? std::max<size_t>(1, replicas.size() / kReplicasPerReassignment)
               : 1;
  for (size_t i = 0; i < most; ++i) {
    const auto moved = mAssignments.Rebalance(replicas, aDemand, aRule);
    if (!moved) {
      break;
    }
    LogEvent("replica_reassigned")
      .Field("replica", moved->mReplicaId)
      .Field("from", moved->mFrom)
      .Field("to", moved->mTo)
      .Field("by_lateness", byLateness)
      .Write();
  }
}

/// Removes the updates that have taken effect and those that should be checked
/// again.
void VersionUpdater::RemoveFinished()
{
  const TimePoint now = mClock();
  std::erase_if(mUpdates, [&](const auto& aItem) {
    const PendingUpdate& update = aItem.second;
    const fleet::Replica* replica = mView.FindReplica(aItem.first);
    const bool finished =
      replica == nullptr ||
      VersionOf(replica->mVersions, update.mModel) >= update.mVersion;
    return !update.mSending && (finished || now >= update.mRetryAt);
  });
}

std::vector<VersionUpdater::Candidate> VersionUpdater::OutdatedReplicas() const
{
  std::vector<Candidate> outdated;
  for (const auto& [model, version] : mView.PublishedVersions()) {
    for (const auto& [id, replica] : mView.Replicas()) {
      const int64_t loaded = VersionOf(replica.mVersions, model);
      if (!replica.mDraining && loaded > 0 && loaded < version &&
          mAssignments.IsAssigned(id, model) && !mUpdates.contains(id)) {
        outdated.push_back({ &replica, model, version });
      }
    }
  }
  return outdated;
}

void VersionUpdater::Reconcile()
{
  if (!mLeadership.MayAct()) {
    mUpdates.clear();
    return;
  }
  mAssignments.Update(AssignableReplicas(), mView.PublishedVersions());
  RemoveFinished();
  std::map<std::string, unsigned> replicas;
  std::map<std::string, unsigned> loading;
  for (const auto& [id, replica] : mView.Replicas()) {
    ++replicas[replica.mService];
    loading[replica.mService] += mUpdates.contains(id) ? 1 : 0;
  }
  const std::vector<Candidate> outdated = OutdatedReplicas();
  std::vector<policy::PendingWeightLoad> order;
  for (size_t i = 0; i < outdated.size(); ++i) {
    const Candidate& candidate = outdated[i];
    order.push_back(
      { i,
        candidate.mVersion -
          VersionOf(candidate.mReplica->mVersions, candidate.mModel),
        mLastOrderTime[candidate.mModel] });
  }
  policy::SortWeightLoads(order, mLoadPriority);
  for (const policy::PendingWeightLoad& next : order) {
    const auto& [replica, model, version] = outdated[next.mIndex];
    const auto maxLoading =
      std::max(mOptions.mMinConcurrentLoads,
               static_cast<unsigned>(replicas[replica->mService] *
                                     mOptions.mMaxConcurrentLoadShare));
    if (loading[replica->mService] >= maxLoading ||
        mUpdates.contains(replica->mId)) {
      continue;
    }
    ++loading[replica->mService];
    mUpdates[replica->mId] = { model, version, true, {} };
    mLastOrderTime[model] = mClock();
    asio::co_spawn(mExecutor,
                   SendLoadOrder(*replica, model, version),
                   LogFailure("send_load_order"));
  }
}

Awaitable<void> VersionUpdater::SendLoadOrder(fleet::Replica aReplica,
                                              std::string aModel,
                                              int64_t aVersion)
{
  const auto status = co_await mReadStatus(aReplica.mEndpoint, aReplica.mId);
  std::string result;
  Milliseconds delay = mOptions.mRetryDelay;
  if (status.has_error()) {
    result = FormatError(status.error());
  } else if (VersionOf(status->mVersions, aModel) >= aVersion) {
    result = "already_holds";
  } else if (status->mBusy) {
    result = "busy";
  } else if (mLeadership.MayAct()) {
    VersionOrder order{ aReplica.mId,
                        aModel,
                        aVersion,
                        mLeadership.FencingToken(),
                        status->mOrderCount };
    const auto sent = co_await mSendOrder(aReplica.mEndpoint, std::move(order));
    result = sent.has_error() ? FormatError(sent.error())
                              : std::string(OutcomeName(*sent));
    if (sent.has_value() && *sent == VersionOrderOutcome::Accepted) {
      delay = mOptions.mLoadTimeout;
    }
  }
  LogEvent("version_order")
    .Field("replica", aReplica.mId)
    .Field("model", aModel)
    .Field("version", aVersion)
    .Field("result", result)
    .Write();
  const auto update = mUpdates.find(aReplica.mId);
  if (update != mUpdates.end()) {
    update->second.mSending = false;
    update->second.mRetryAt = mClock() + delay;
  }
}

} // namespace agatetide::duty
