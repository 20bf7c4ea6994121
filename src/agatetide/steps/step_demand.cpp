#include "agatetide/steps/step_demand.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace agatetide::steps {

namespace {

/// A step with the time for which its items need replicas.
struct ActiveStep
{
  int64_t mSubmittedMs = 0;
  /// Results are due this long after the submission.
  Milliseconds mResultTimeout{ 0 };
  unsigned mItemCount = 0;
};

/// The maximum number of items that the steps have at the same time. A step
/// counts from its submission until its results are due.
unsigned MaxConcurrentItems(std::span<const ActiveStep> aSteps)
{
  unsigned peak = 0;
  for (const ActiveStep& latest : aSteps) {
    unsigned items = 0;
    for (const ActiveStep& step : aSteps) {
      const int64_t elapsed = latest.mSubmittedMs - step.mSubmittedMs;
      items += elapsed >= 0 && elapsed < step.mResultTimeout.count()
                 ? step.mItemCount
                 : 0;
    }
    peak = std::max(peak, items);
  }
  return peak;
}

} // namespace

StepDemand::StepDemand(StepContext& aContext, Milliseconds aWindow)
  : mContext(aContext)
  , mWindow(aWindow)
{
}

void StepDemand::Update(std::span<const StepRecord> aRecords)
{
  UpdateTokens(aRecords);
  UpdatePeakItems(aRecords);
}

void StepDemand::UpdatePeakItems(std::span<const StepRecord> aRecords)
{
  std::map<std::pair<std::string, std::string>, std::vector<ActiveStep>> steps;
  const auto& config = mContext.mView.Config();
  for (const StepRecord& record : aRecords) {
    const int64_t age = mContext.mWallClock() - record.mSubmittedMs;
    const fleet::Route* route =
      config ? config->FindRoute(record.mHttpHost, record.mPath) : nullptr;
    if (route == nullptr || age >= mWindow.count()) {
      continue;
    }
    for (const fleet::WeightedService& service : route->mServices) {
      steps[{ service.mService, record.mModel }].push_back(
        { record.mSubmittedMs, route->mResultTimeout, record.mItemCount });
    }
  }
  mPeakItems.clear();
  for (const auto& [serviceAndModel, active] : steps) {
    mPeakItems[serviceAndModel.first] += MaxConcurrentItems(active);
  }
}

/// Sums the expected tokens of recent steps. If a service that runs them
/// reports a pace, they are weighted by lateness.
void StepDemand::UpdateTokens(std::span<const StepRecord> aRecords)
{
  const auto& config = mContext.mView.Config();
  std::vector<policy::RecentStep> recent;
  std::set<std::string_view> ids;
  mTokens.clear();
  mRule = policy::RebalanceRule::Share;
  for (const StepRecord& record : aRecords) {
    const int64_t age = mContext.mWallClock() - record.mSubmittedMs;
    if (age >= mWindow.count()) {
      continue;
    }
    mTokens[record.mModel] += static_cast<double>(record.mExpectedTokens);
    const fleet::Route* route =
      config ? config->FindRoute(record.mHttpHost, record.mPath) : nullptr;
    if (route == nullptr) {
      continue;
    }
    ids.insert(record.mId);
    recent.push_back(ObserveStep(record, *route));
    for (const fleet::WeightedService& service : route->mServices) {
      if (mContext.mPool.ReportsPace(service.mService)) {
        mRule = policy::RebalanceRule::Gain;
      }
    }
  }
  std::erase_if(mOpenTimes,
                [&](const auto& aItem) { return !ids.contains(aItem.first); });
  if (mRule == policy::RebalanceRule::Gain) {
    mTokens = policy::DemandByLateness(recent);
  }
}

/// The time for which a step was open. The record does not tell when it was
/// ended: it was between the last look that found it open and the first one
/// that found it ended, and usually before its results were due.
policy::RecentStep StepDemand::ObserveStep(const StepRecord& aRecord,
                                           const fleet::Route& aRoute)
{
  const int64_t age =
    std::max<int64_t>(0, mContext.mWallClock() - aRecord.mSubmittedMs);
  OpenTime& time = mOpenTimes[aRecord.mId];
  if (!aRecord.mEnded) {
    time.mOpenMs = age;
  } else if (time.mEndedMs == 0) {
    time.mEndedMs =
      std::min(age, std::max(time.mOpenMs, aRoute.mResultTimeout.count()));
  }
  constexpr double kMillisecondsPerSecond = 1000.0;
  const double openMs =
    aRecord.mEnded ? static_cast<double>(time.mOpenMs + time.mEndedMs) / 2.0
                   : static_cast<double>(age);
  policy::RecentStep step;
  step.mModel = aRecord.mModel;
  step.mExpectedTokens = static_cast<double>(aRecord.mExpectedTokens);
  step.mOpen = !aRecord.mEnded;
  step.mOpenSeconds = openMs / kMillisecondsPerSecond;
  step.mDueSeconds = Seconds(aRoute.mResultTimeout);
  return step;
}

} // namespace agatetide::steps
