#include "agatetide/request/load_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace agatetide::request {

namespace {

/// A report from another host must be newer by this much. Its age leaves out
/// the time that the message took, so that an own report that comes back would
/// look newer than it is.
constexpr std::chrono::milliseconds kMinNewer{ 100 };
/// Each choice looks at the estimates of all replicas of a service. With 1,500
/// a busy host of an eighth of a core spent 73% of its time on them and served
/// a third of its requests; larger services are placed by counts.
constexpr size_t kMaxReplicas = 256;
constexpr std::chrono::seconds kCountLifetime{ 1 };
/// Each message between hosts would otherwise look at all entries.
constexpr std::chrono::seconds kCleaningInterval{ 1 };
/// Load lasts about as long as the requests that cause it: streams of items run
/// for seconds, requests to plain services for a tenth of one.
constexpr double kDecayPerWorkSecond = 1.5;
/// Older reports are not sent, since the load has changed by then.
constexpr std::chrono::milliseconds kMaxSentAge{ 1000 };
/// In any second at most the sum of both is sent, which stays below 5 KB.
constexpr double kMaxBudgetBytes = 1000.0;
constexpr double kBudgetBytesPerSecond = 3900.0;
/// Part of the budget that one message may use. A host that answers many others
/// then has something for each.
constexpr double kMessageShare = 0.5;
/// Name of the header and its line end.
constexpr size_t kHeaderOverheadBytes = 24;
/// Lowers the priority of a report that was sent before, below all changes.
constexpr double kSentBefore = 10.0;
/// How long the mean of a service is used. The mean of all replicas changes
/// slowly, and is needed for each choice.
constexpr std::chrono::milliseconds kMeanLifetime{ 20 };
/// Weight of a request in the mean time of the requests.
constexpr double kWorkWeight = 0.05;
constexpr double kPercent = 100.0;

} // namespace

void AddEstimate(LogEvent& aEvent, const policy::EstimatedLoad& aEstimate)
{
  const int64_t age =
    aEstimate.mAge ? std::chrono::ceil<Milliseconds>(*aEstimate.mAge).count()
                   : -1;
  aEvent.Field("estimated", aEstimate.mRequests)
    .Field("pace", aEstimate.mPace)
    .Field("report_ms", age);
}

LoadTable::LoadTable(const fleet::FleetView& aView, Clock aClock)
  : mView(aView)
  , mClock(std::move(aClock))
  , mBudgetAt(mClock())
{
}

void LoadTable::CountStart(const std::string& aReplicaId)
{
  mEntries[aReplicaId].mOwn.Add(1, mClock());
}

void LoadTable::CountEnd(const fleet::Replica& aReplica, Duration aTook)
{
  Entry& entry = mEntries[aReplica.mId];
  entry.mOwn.Add(-1, mClock());
  if (entry.mOwn.Running() == 0 && mView.FindReplica(aReplica.mId) == nullptr) {
    mEntries.erase(aReplica.mId);
  }
  double& mean = mServices[aReplica.mService].mWorkSeconds;
  mean += kWorkWeight * (Seconds(aTook) - mean);
}

void LoadTable::Record(std::string_view aReplicaId, const ReportedLoad& aLoad)
{
  const fleet::Replica* replica = mView.FindReplica(aReplicaId);
  if (replica != nullptr) {
    SetReport(*replica,
              { aLoad.mRunning, aLoad.mQueued, aLoad.mPace, mClock() });
  }
}

void LoadTable::SetReport(const fleet::Replica& aReplica,
                          policy::LoadReport aReport)
{
  Service& service = mServices[aReplica.mService];
  service.mActive = service.mActive || aReport.mPace.has_value();
  if (!service.mActive) {
    return;
  }
  Entry& entry = mEntries[aReplica.mId];
  if (entry.mStartTimeMs != aReplica.mStartTimeMs) {
    entry.mSent.reset();
  }
  entry.mStartTimeMs = aReplica.mStartTimeMs;
  entry.mReport = aReport;
}

bool LoadTable::IsActive(std::string_view aService) const
{
  const auto found = mServices.find(aService);
  return found != mServices.end() && found->second.mActive &&
         CountReplicas(found->first, found->second) <= kMaxReplicas;
}

size_t LoadTable::CountReplicas(std::string_view aName,
                                const Service& aService) const
{
  const TimePoint now = mClock();
  if (aService.mCountedAt == TimePoint{} ||
      now - aService.mCountedAt >= kCountLifetime) {
    aService.mCountedAt = now;
    aService.mReplicaCount = static_cast<size_t>(std::count_if(
      mView.Replicas().begin(), mView.Replicas().end(), [&](const auto& aItem) {
        return aItem.second.mService == aName;
      }));
  }
  return aService.mReplicaCount;
}

const policy::LoadReport* LoadTable::FindReport(const fleet::Replica& aReplica,
                                                const Entry& aEntry) const
{
  const bool valid =
    aEntry.mReport && aEntry.mStartTimeMs == aReplica.mStartTimeMs &&
    mClock() - aEntry.mReport->mMeasuredAt < mOptions.mLifetime;
  return valid ? &*aEntry.mReport : nullptr;
}

double LoadTable::ComputeOthersPerSlot(std::string_view aService) const
{
  double requests = 0.0;
  double slots = 0.0;
  for (const auto& [id, entry] : mEntries) {
    const fleet::Replica* replica = mView.FindReplica(id);
    if (replica == nullptr || replica->mService != aService ||
        replica->mDraining) {
      continue;
    }
    if (const auto* report = FindReport(*replica, entry)) {
      requests += policy::OtherRequests(*report, entry.mOwn);
      slots += replica->mSlots;
    }
  }
  return slots > 0.0 ? requests / slots : 0.0;
}

double LoadTable::OthersPerSlot(const std::string& aService) const
{
  Service& service = mServices[aService];
  if (!service.mComputedAt || mClock() - *service.mComputedAt > kMeanLifetime) {
    service.mOthersPerSlot = ComputeOthersPerSlot(aService);
    service.mComputedAt = mClock();
  }
  return service.mOthersPerSlot;
}

policy::EstimatedLoad LoadTable::Estimate(const fleet::Replica& aReplica) const
{
  static const Entry kUnknown;
  const auto found = mEntries.find(aReplica.mId);
  const Entry& entry = found == mEntries.end() ? kUnknown : found->second;
  policy::LoadEstimateOptions options = mOptions;
  options.mLoadDecaySeconds =
    std::clamp(kDecayPerWorkSecond * WorkSeconds(aReplica.mService),
               mOptions.mLoadDecaySeconds,
               Seconds(mOptions.mLifetime));
  return policy::EstimateLoad(FindReport(aReplica, entry),
                              entry.mOwn,
                              OthersPerSlot(aReplica.mService) *
                                aReplica.mSlots,
                              mClock(),
                              options);
}

double LoadTable::WorkSeconds(std::string_view aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? Service{}.mWorkSeconds
                                  : found->second.mWorkSeconds;
}

double LoadTable::SendPriority(const fleet::Replica& aReplica,
                               const Entry& aEntry,
                               const policy::LoadReport& aReport) const
{
  const double age = Seconds(mClock() - aReport.mMeasuredAt);
  if (!aEntry.mSent) {
    return 1.0 - age;
  }
  if (aEntry.mSent->mMeasuredAt == aReport.mMeasuredAt) {
    return -kSentBefore - age;
  }
  const double load = std::abs(static_cast<double>(aReport.Requests()) -
                               aEntry.mSent->Requests()) /
                      std::max(1U, aReplica.mSlots);
  const double pace =
    std::abs(aReport.mPace.value_or(1.0) - aEntry.mSent->mPace.value_or(1.0));
  return load + pace - age;
}

void LoadTable::RefillBudget()
{
  const TimePoint now = mClock();
  mBudget =
    std::min(kMaxBudgetBytes,
             mBudget + kBudgetBytesPerSecond * Seconds(now - mBudgetAt));
  mBudgetAt = now;
}

void LoadTable::RemoveOldEntries()
{
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aEntry.second.mOwn.Running() == 0 &&
           mView.FindReplica(aEntry.first) == nullptr;
  });
}

std::string LoadTable::Export(size_t aMaxBytes)
{
  if (mClock() - mCleanedAt >= kCleaningInterval) {
    RemoveOldEntries();
    mCleanedAt = mClock();
  }
  const bool isAnyActive =
    std::any_of(mServices.begin(), mServices.end(), [&](const auto& aItem) {
      return IsActive(aItem.first);
    });
  if (!isAnyActive) {
    return {};
  }
  RefillBudget();
  const size_t bytes =
    std::min(aMaxBytes, static_cast<size_t>(kMessageShare * mBudget));
  if (bytes <= kHeaderOverheadBytes) {
    return {};
  }
  struct Candidate
  {
    double mPriority;
    Entry* mEntry;
    SharedLoad mLoad;
  };
  std::vector<Candidate> candidates;
  for (auto& [id, entry] : mEntries) {
    const fleet::Replica* replica = mView.FindReplica(id);
    const auto* report =
      replica != nullptr ? FindReport(*replica, entry) : nullptr;
    if (report == nullptr || !IsActive(replica->mService) ||
        mClock() - report->mMeasuredAt >= kMaxSentAge) {
      continue;
    }
    // Rounded up, so that passing a report on never makes it younger.
    const auto age =
      std::chrono::ceil<Milliseconds>(mClock() - report->mMeasuredAt);
    const double pace = std::round(report->mPace.value_or(0.0) * kPercent);
    candidates.push_back({ SendPriority(*replica, entry, *report),
                           &entry,
                           { ReplicaKey(*replica),
                             report->mRunning,
                             report->mWaiting,
                             static_cast<uint32_t>(pace),
                             static_cast<uint32_t>(age.count()) } });
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return aLeft.mPriority > aRight.mPriority;
            });
  std::vector<SharedLoad> loads;
  loads.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    loads.push_back(candidate.mLoad);
  }
  std::string text = EncodeLoads(loads, bytes - kHeaderOverheadBytes);
  const size_t sent = text.size() / kLoadBytes;
  for (size_t i = 0; i < sent; ++i) {
    candidates[i].mEntry->mSent = candidates[i].mEntry->mReport;
  }
  if (!text.empty()) {
    mBudget -= static_cast<double>(text.size() + kHeaderOverheadBytes);
    mCounters.mSentReports += sent;
    mCounters.mSentBytes += text.size() + kHeaderOverheadBytes;
  }
  LogCounters();
  return text;
}

Result<size_t> LoadTable::Import(std::string_view aText)
{
  const auto loads = DecodeLoads(aText);
  if (loads.has_error()) {
    return loads.error();
  }
  std::map<uint64_t, const fleet::Replica*> replicas;
  for (const auto& [id, replica] : mView.Replicas()) {
    replicas.emplace(ReplicaKey(replica), &replica);
  }
  size_t accepted = 0;
  for (const SharedLoad& load : *loads) {
    const auto found = replicas.find(load.mKey);
    if (found == replicas.end()) {
      ++mCounters.mUnknown;
      continue;
    }
    const fleet::Replica& replica = *found->second;
    const TimePoint measuredAt = mClock() - Milliseconds(load.mAgeMs);
    const auto entry = mEntries.find(replica.mId);
    const auto* known =
      entry == mEntries.end() ? nullptr : FindReport(replica, entry->second);
    if (Milliseconds(load.mAgeMs) >= mOptions.mLifetime ||
        (known != nullptr && measuredAt <= known->mMeasuredAt + kMinNewer)) {
      ++mCounters.mOutdated;
      continue;
    }
    const auto pace = load.mPacePercent > 0
                        ? std::optional(load.mPacePercent / kPercent)
                        : std::nullopt;
    SetReport(replica, { load.mRunning, load.mQueued, pace, measuredAt });
    ++accepted;
  }
  mCounters.mAccepted += accepted;
  return accepted;
}

void LoadTable::LogCounters()
{
  if (mCounters.mSentReports + mCounters.mAccepted == 0 ||
      !mCounterLog.Allow(mClock())) {
    return;
  }
  int64_t known = 0;
  Duration ages{};
  for (const auto& [id, entry] : mEntries) {
    const fleet::Replica* replica = mView.FindReplica(id);
    if (const auto* report =
          replica != nullptr ? FindReport(*replica, entry) : nullptr) {
      ++known;
      ages += mClock() - report->mMeasuredAt;
    }
  }
  const Duration meanAge = ages / std::max<int64_t>(1, known);
  LogEvent("loads_shared")
    .Field("known", known)
    .Field("mean_report_ms", std::chrono::ceil<Milliseconds>(meanAge).count())
    .Field("sent", mCounters.mSentReports)
    .Field("sent_bytes", mCounters.mSentBytes)
    .Field("accepted", mCounters.mAccepted)
    .Field("outdated", mCounters.mOutdated)
    .Field("unknown", mCounters.mUnknown)
    .Write();
}

} // namespace agatetide::request
