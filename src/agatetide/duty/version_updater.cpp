#include "agatetide/duty/version_updater.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace agatetide::duty {

namespace asio = boost::asio;

namespace {

std::string_view OutcomeName(VersionOrderOutcome aOutcome)
{
  switch (aOutcome) {
    case VersionOrderOutcome::Accepted:
      return "accepted";
    case VersionOrderOutcome::AlreadyHolds:
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
                               SendVersionOrder aSend,
                               ReadReplicaStatus aRead,
                               Clock aClock)
  : mOptions(aOptions)
  , mExecutor(std::move(aExecutor))
  , mView(aView)
  , mLeadership(aLeadership)
  , mSend(std::move(aSend))
  , mRead(std::move(aRead))
  , mClock(std::move(aClock))
{
}

std::vector<policy::AssignableReplica> VersionUpdater::HomeReplicas() const
{
  std::vector<policy::AssignableReplica> replicas;
  for (const auto& [id, replica] : mView.Replicas()) {
    if (!replica.mDraining && !replica.mVersions.empty()) {
      replicas.push_back({ id, replica.mAvailabilityZone, replica.mVersions });
    }
  }
  return replicas;
}

void VersionUpdater::SetDemand(
  const std::map<std::string, double, std::less<>>& aDemand)
{
  if (!mLeadership.MayAct()) {
    return;
  }
  const auto replicas = HomeReplicas();
  mHomes.Update(replicas, mView.PublishedVersions());
  mHomes.Rebalance(replicas, aDemand);
}

/// Forgets moves whose effect is seen, or that should be looked at again.
void VersionUpdater::ForgetFinished()
{
  const TimePoint now = mClock();
  std::erase_if(mMoves, [&](const auto& aItem) {
    const Move& move = aItem.second;
    const fleet::Replica* replica = mView.FindReplica(aItem.first);
    const bool done =
      replica == nullptr ||
      VersionOf(replica->mVersions, move.mModel) >= move.mVersion;
    return !move.mSending && (done || now >= move.mAgainAt);
  });
}

std::vector<VersionUpdater::Candidate> VersionUpdater::Behind() const
{
  std::vector<Candidate> behind;
  for (const auto& [model, version] : mView.PublishedVersions()) {
    for (const auto& [id, replica] : mView.Replicas()) {
      const int64_t has = VersionOf(replica.mVersions, model);
      if (!replica.mDraining && has > 0 && has < version &&
          mHomes.IsAssigned(id, model) && !mMoves.contains(id)) {
        behind.push_back({ &replica, model, version });
      }
    }
  }
  return behind;
}

void VersionUpdater::Review()
{
  if (!mLeadership.MayAct()) {
    mMoves.clear();
    return;
  }
  mHomes.Update(HomeReplicas(), mView.PublishedVersions());
  ForgetFinished();
  std::map<std::string, unsigned> replicas;
  std::map<std::string, unsigned> loading;
  for (const auto& [id, replica] : mView.Replicas()) {
    ++replicas[replica.mService];
    loading[replica.mService] += mMoves.contains(id) ? 1 : 0;
  }
  const std::vector<Candidate> behind = Behind();
  std::vector<policy::PendingWeightLoad> order;
  for (size_t i = 0; i < behind.size(); ++i) {
    const Candidate& candidate = behind[i];
    order.push_back(
      { i,
        candidate.mVersion -
          VersionOf(candidate.mReplica->mVersions, candidate.mModel),
        mModelMoved[candidate.mModel] });
  }
  policy::SortWeightLoads(order, mOrder);
  for (const policy::PendingWeightLoad& next : order) {
    const auto& [replica, model, version] = behind[next.mIndex];
    const auto atOnce =
      std::max(mOptions.mLeastAtOnce,
               static_cast<unsigned>(replicas[replica->mService] *
                                     mOptions.mShareAtOnce));
    if (loading[replica->mService] >= atOnce || mMoves.contains(replica->mId)) {
      continue;
    }
    ++loading[replica->mService];
    mMoves[replica->mId] = { model, version, true, {} };
    mModelMoved[model] = mClock();
    asio::co_spawn(mExecutor, Order(*replica, model, version), asio::detached);
  }
}

Awaitable<void> VersionUpdater::Order(fleet::Replica aReplica,
                                      std::string aModel,
                                      int64_t aVersion)
{
  const auto status = co_await mRead(aReplica.mEndpoint, aReplica.mId);
  std::string result;
  Milliseconds pause = mOptions.mRetryPause;
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
    const auto sent = co_await mSend(aReplica.mEndpoint, std::move(order));
    result = sent.has_error() ? FormatError(sent.error())
                              : std::string(OutcomeName(*sent));
    if (sent.has_value() && *sent == VersionOrderOutcome::Accepted) {
      pause = mOptions.mLoadTime;
    }
  }
  Event("version_order")
    .Field("replica", aReplica.mId)
    .Field("model", aModel)
    .Field("version", aVersion)
    .Field("result", result)
    .Write();
  const auto move = mMoves.find(aReplica.mId);
  if (move != mMoves.end()) {
    move->second.mSending = false;
    move->second.mAgainAt = mClock() + pause;
  }
}

} // namespace agatetide::duty
