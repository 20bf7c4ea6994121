#include "agatetide/duty/version_mover.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace agatetide::duty {

namespace asio = boost::asio;

namespace {

std::string_view OutcomeName(OrderOutcome aOutcome)
{
  switch (aOutcome) {
    case OrderOutcome::Accepted:
      return "accepted";
    case OrderOutcome::AlreadyHolds:
      return "already_holds";
    case OrderOutcome::Conflict:
      return "conflict";
    case OrderOutcome::Refused:
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

VersionMover::VersionMover(VersionMoverOptions aOptions,
                           asio::any_io_executor aExecutor,
                           const fleet::FleetView& aView,
                           const Leadership& aLeadership,
                           SendOrder aSend,
                           ReadStatus aRead,
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

std::vector<policy::HomeReplica> VersionMover::HomeReplicas() const
{
  std::vector<policy::HomeReplica> replicas;
  for (const auto& [id, replica] : mView.Replicas()) {
    if (!replica.mDraining && !replica.mVersions.empty()) {
      replicas.push_back({ id, replica.mAvailabilityZone, replica.mVersions });
    }
  }
  return replicas;
}

void VersionMover::SetDemand(
  const std::map<std::string, double, std::less<>>& aDemand)
{
  if (!mLeadership.MayAct()) {
    return;
  }
  const auto replicas = HomeReplicas();
  mHomes.Update(replicas, mView.NamedVersions());
  mHomes.SetDemand(replicas, aDemand);
}

void VersionMover::Review()
{
  if (!mLeadership.MayAct()) {
    mMoves.clear();
    return;
  }
  mHomes.Update(HomeReplicas(), mView.NamedVersions());
  const TimePoint now = mClock();
  std::map<std::string, unsigned> replicas;
  std::map<std::string, unsigned> loading;
  for (const auto& [id, replica] : mView.Replicas()) {
    ++replicas[replica.mService];
    const auto move = mMoves.find(id);
    if (move == mMoves.end()) {
      continue;
    }
    const Move& known = move->second;
    const bool done =
      VersionOf(replica.mVersions, known.mModel) >= known.mVersion;
    if (!known.mSending && (done || now >= known.mAgainAt)) {
      mMoves.erase(move);
    } else {
      ++loading[replica.mService];
    }
  }
  std::erase_if(mMoves, [&](const auto& aItem) {
    return !aItem.second.mSending && mView.Find(aItem.first) == nullptr;
  });
  for (const auto& [model, version] : mView.NamedVersions()) {
    for (const auto& [id, replica] : mView.Replicas()) {
      const int64_t has = VersionOf(replica.mVersions, model);
      const auto atOnce =
        std::max(mOptions.mLeastAtOnce,
                 static_cast<unsigned>(replicas[replica.mService] *
                                       mOptions.mShareAtOnce));
      if (replica.mDraining || has == 0 || has >= version ||
          !mHomes.Follows(id, model) || mMoves.contains(id) ||
          loading[replica.mService] >= atOnce) {
        continue;
      }
      ++loading[replica.mService];
      mMoves[id] = { model, version, true, {} };
      asio::co_spawn(mExecutor, Order(replica, model, version), asio::detached);
    }
  }
}

Awaitable<void> VersionMover::Order(fleet::Replica aReplica,
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
                        mLeadership.FencingNumber(),
                        status->mOrders };
    const auto sent = co_await mSend(aReplica.mEndpoint, std::move(order));
    result = sent.has_error() ? FormatError(sent.error())
                              : std::string(OutcomeName(*sent));
    if (sent.has_value() && *sent == OrderOutcome::Accepted) {
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
