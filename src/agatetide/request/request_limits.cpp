#include "agatetide/request/request_limits.hpp"

#include "agatetide/base/event_log.hpp"

#include <algorithm>
#include <cmath>

namespace agatetide::request {

namespace {

/// A replica that named its limit this long ago may have ended it since.
constexpr std::chrono::seconds kReportLifetime{ 10 };
/// A host without requests for the replica leaves its share to others after
/// this time.
constexpr std::chrono::seconds kDemandLifetime{ 10 };
/// Rate of a host that may not use the replica but finds no other host that
/// knows whether the limit still holds.
constexpr double kProbesPerSecond = 0.25;
/// Announced limits are rounded down to this many steps per doubling, so that
/// small changes of a limit are not announced.
constexpr double kAnnouncedStepsPerOctave = 4.0;
/// Period over which the requests to a limited replica are counted in the log.
constexpr std::chrono::seconds kCountPeriod{ 4 };

double RoundForAnnouncement(double aLimit)
{
  return std::exp2(std::floor(std::log2(aLimit) * kAnnouncedStepsPerOctave) /
                   kAnnouncedStepsPerOctave);
}

} // namespace

RequestLimits::RequestLimits(const fleet::FleetView& aView,
                             std::string aHost,
                             Clock aClock)
  : mView(aView)
  , mHost(std::move(aHost))
  , mClock(std::move(aClock))
{
}

RequestLimits::Limit& RequestLimits::FindOrCreate(std::string_view aReplicaId)
{
  const auto found = mLimits.find(aReplicaId);
  return found != mLimits.end()
           ? found->second
           : mLimits.emplace(std::string(aReplicaId), Limit(mClock()))
               .first->second;
}

void RequestLimits::Record(std::string_view aReplicaId,
                           const LimitReport& aReport)
{
  const auto found = mLimits.find(aReplicaId);
  if (!aReport.mRequestsPerSecond) {
    if (found != mLimits.end() && aReport.mSentAt > found->second.mReportedAt) {
      if (CurrentLimit(found->second)) {
        LogEvent("replica_limit_ended").Field("replica", aReplicaId).Write();
      }
      found->second.mNamed.reset();
      found->second.mReportedAt = mClock();
    }
    return;
  }
  Limit& limit = FindOrCreate(aReplicaId);
  const bool isNew = !CurrentLimit(limit);
  if (limit.mNamed != aReport.mRequestsPerSecond) {
    LogEvent("replica_limit")
      .Field("replica", aReplicaId)
      .Field("requests_per_second", *aReport.mRequestsPerSecond)
      .Write();
  }
  limit.mNamed = aReport.mRequestsPerSecond;
  limit.mReportedAt = mClock();
  if (isNew) {
    limit.mPacer = policy::RequestPacer(mClock());
    limit.mCountStart = mClock();
    limit.mSentCount = 0;
    UpdateShares();
  }
}

void RequestLimits::Forget(std::string_view aReplicaId)
{
  const auto found = mLimits.find(aReplicaId);
  if (found != mLimits.end()) {
    mLimits.erase(found);
  }
}

bool RequestLimits::HasRecentReport(const Limit& aLimit) const
{
  return aLimit.mReportedAt != TimePoint{} &&
         mClock() - aLimit.mReportedAt < kReportLifetime;
}

/// The newest known limit. What the replica said to this host goes before what
/// others announce, until it is old.
std::optional<double> RequestLimits::CurrentLimit(const Limit& aLimit) const
{
  if (HasRecentReport(aLimit)) {
    return aLimit.mNamed;
  }
  return aLimit.mAnnouncedByOthers ? aLimit.mAnnouncedByOthers : aLimit.mNamed;
}

bool RequestLimits::IsLimited(std::string_view aReplicaId) const
{
  const auto found = mLimits.find(aReplicaId);
  return found != mLimits.end() && CurrentLimit(found->second);
}

Duration RequestLimits::Delay(std::string_view aReplicaId) const
{
  return IsLimited(aReplicaId)
           ? mLimits.find(aReplicaId)->second.mPacer.Delay(mClock())
           : Duration::zero();
}

double RequestLimits::Rate(std::string_view aReplicaId) const
{
  return IsLimited(aReplicaId) ? mLimits.find(aReplicaId)->second.mPacer.Rate()
                               : 0.0;
}

void RequestLimits::RecordDemand(std::string_view aReplicaId)
{
  const auto found = mLimits.find(aReplicaId);
  if (found != mLimits.end()) {
    found->second.mDemandAt = mClock();
  }
}

void RequestLimits::CountSent(std::string_view aReplicaId)
{
  const auto found = mLimits.find(aReplicaId);
  if (found != mLimits.end() && CurrentLimit(found->second)) {
    found->second.mPacer.Take(mClock());
    found->second.mDemandAt = mClock();
    LogSentCount(aReplicaId, found->second);
  }
}

void RequestLimits::LogSentCount(std::string_view aReplicaId, Limit& aLimit)
{
  ++aLimit.mSentCount;
  const Duration period = mClock() - aLimit.mCountStart;
  if (period < kCountPeriod) {
    return;
  }
  LogEvent("limited_replica_requests")
    .Field("replica", aReplicaId)
    .Field("requests_per_second", *CurrentLimit(aLimit))
    .Field("sent", aLimit.mSentCount)
    .Field("ms",
           static_cast<int64_t>(
             std::chrono::duration_cast<Milliseconds>(period).count()))
    .Write();
  aLimit.mSentCount = 0;
  aLimit.mCountStart = mClock();
}

void RequestLimits::UpdateShares(std::set<std::string, std::less<>> aAnnounced)
{
  mAnnounced = std::move(aAnnounced);
  UpdateShares();
}

void RequestLimits::UpdateShares()
{
  std::map<std::string_view, Hosts> otherUsers;
  std::map<std::string_view, double> announced;
  for (const auto& [name, host] : mView.Hosts()) {
    for (const auto& [replica, limit] : host.mRequestLimits) {
      if (name == mHost || mView.FindReplica(replica) == nullptr) {
        continue;
      }
      otherUsers[replica].emplace_back(name);
      if (limit > 0.0) {
        const auto lowest = announced.try_emplace(replica, limit).first;
        lowest->second = std::min(lowest->second, limit);
      }
    }
  }
  for (const auto& [replica, limit] : announced) {
    FindOrCreate(replica);
  }
  std::erase_if(mLimits, [&](const auto& aItem) {
    return !HasRecentReport(aItem.second) && !aItem.second.mNamed &&
           !announced.contains(aItem.first);
  });
  if (mLimits.empty()) {
    return;
  }
  Hosts hosts;
  for (const auto& [name, host] : mView.Hosts()) {
    hosts.emplace_back(name);
  }
  if (!mView.Hosts().contains(mHost)) {
    hosts.emplace_back(mHost);
  }
  for (auto& [replica, limit] : mLimits) {
    const auto byOthers = announced.find(replica);
    limit.mAnnouncedByOthers = byOthers == announced.end()
                                 ? std::nullopt
                                 : std::optional(byOthers->second);
    UpdateShare(replica, limit, hosts, otherUsers[replica]);
  }
}

void RequestLimits::UpdateShare(const std::string& aReplicaId,
                                Limit& aLimit,
                                const Hosts& aHosts,
                                const Hosts& aOtherUsers)
{
  policy::LimitShareInput input;
  input.mRequestsPerSecond = CurrentLimit(aLimit).value_or(0.0);
  input.mReplicaId = aReplicaId;
  input.mHost = mHost;
  input.mAnnounced = mAnnounced.contains(aReplicaId);
  input.mHosts = aHosts;
  input.mOtherUsers = aOtherUsers;
  double share = policy::ShareOfLimit(input, {});
  if (share <= 0.0 && !HasRecentReport(aLimit) && !aLimit.mAnnouncedByOthers) {
    share = kProbesPerSecond;
  }
  aLimit.mPacer.SetRate(share, mClock());
}

std::map<std::string, double, std::less<>> RequestLimits::Announcement() const
{
  std::map<std::string, double, std::less<>> announcement;
  for (const auto& [replica, limit] : mLimits) {
    if (CurrentLimit(limit) && limit.mDemandAt != TimePoint{} &&
        mClock() - limit.mDemandAt < kDemandLifetime) {
      const bool confirmed = limit.mNamed && HasRecentReport(limit);
      // 0 means that the limit is not confirmed, so a limit of 0 is raised.
      announcement[replica] =
        confirmed
          ? RoundForAnnouncement(std::max(
              *limit.mNamed, policy::LimitShareOptions{}.mMinRequestsPerSecond))
          : 0.0;
    }
  }
  return announcement;
}

} // namespace agatetide::request
