#include "agatetide/policy/admission.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace agatetide::policy {

namespace {

constexpr int kDefaultPriority = 5;
constexpr int kMaxPriority = 10;
/// Weight of a new service time in the moving average.
constexpr double kServiceTimeGain = 0.05;
/// Weight of the last interval in the moving averages of rates. Retry times
/// from the rate of a single interval gave more returns than could be served.
constexpr double kRateGain = 0.3;
/// Without this margin for bursts of the classes that go before, 94% of the
/// returns of scoring calls were served in one of ten runs of the model.
constexpr double kHigherClassMargin = 1.1;
/// A class that others leave no capacity still gets finite retry times.
constexpr double kMinClassPart = 0.02;
/// Rate while nothing was measured yet.
constexpr double kUnknownRate = 10.0;

Duration ToDuration(double aSeconds)
{
  // Longer waits are treated alike, and would overflow.
  constexpr double kMaxSeconds = 3600.0;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(aSeconds, kMaxSeconds)));
}

void Average(double& aRate, double aNewRate)
{
  aRate = aRate > 0.0 ? aRate + kRateGain * (aNewRate - aRate) : aNewRate;
}

/// Requests without an account exist in several classes.
std::string CreditAccount(const AdmissionRequest& aRequest)
{
  return std::to_string(static_cast<int>(aRequest.mClass)) + "/" +
         aRequest.mAccount;
}

} // namespace

double WeightOfPriority(int aPriority)
{
  const int priority = std::clamp(aPriority, 0, kMaxPriority);
  return std::exp2((kDefaultPriority - priority) / 2.0);
}

double ShareOfCapacity(double aOwn, std::span<const double> aHosts)
{
  const double total = std::accumulate(aHosts.begin(), aHosts.end(), 0.0);
  return aOwn / std::max(total, aOwn);
}

bool Admission::IsShort(const AdmissionCapacity& aCapacity,
                        TimePoint aNow) const
{
  return aNow < mFullUntil || mQueue.size() > 0 ||
         aCapacity.mUsed >= mOptions.mShortUse * aCapacity.mSlots;
}

/// Requests that this host may run at the same time: its share, and more while
/// other slots are free.
size_t Admission::SlotLimit(const AdmissionCapacity& aCapacity,
                            TimePoint aNow) const
{
  const double share = aCapacity.mSlots * aCapacity.mShare;
  if (share < 1.0) {
    const size_t own = aNow >= mNextStart && aCapacity.mSlots > 0.0 ? 1 : 0;
    return own + static_cast<size_t>(mExtra);
  }
  return static_cast<size_t>(share + mExtra);
}

void Admission::GrowExtra(const AdmissionCapacity& aCapacity, TimePoint aNow)
{
  const double spare = mOptions.mSpareUse * aCapacity.mSlots - aCapacity.mUsed;
  if (spare < 1.0 || aNow < mFullUntil ||
      aNow < mExtraChangedAt + mOptions.mExtraInterval) {
    return;
  }
  // Other hosts see the same slots: each takes about its part of them.
  const double step = std::min(1.0, 2.0 * spare * aCapacity.mShare);
  mExtra = std::min(mExtra + step, aCapacity.mSlots * (1.0 - aCapacity.mShare));
  mExtraChangedAt = aNow;
}

void Admission::RecordFull(TimePoint aNow)
{
  mFullUntil = aNow + mOptions.mFullTime;
  if (aNow >= mExtraChangedAt + mOptions.mExtraInterval) {
    mExtra *= mOptions.mExtraDecrease;
    mExtraChangedAt = aNow;
  }
}

bool Admission::MayRun(RequestClass aClass,
                       const AdmissionCapacity& aCapacity,
                       TimePoint aNow) const
{
  SlotUsage usage;
  usage.mLimit = SlotLimit(aCapacity, aNow);
  usage.mRunning = mRunning;
  usage.mRunningBackground =
    mRunningByClass[static_cast<size_t>(RequestClass::Background)];
  usage.mRunningNonUrgent =
    usage.mRunningBackground +
    mRunningByClass[static_cast<size_t>(RequestClass::Trainer)];
  return MayTakeSlot(aClass, usage, mOptions.mHeadroom);
}

AdmissionDecision Admission::Decide(const AdmissionRequest& aRequest,
                                    const AdmissionCapacity& aCapacity,
                                    TimePoint aNow)
{
  UpdateRates(aNow);
  RecordDemand(aRequest, aNow);
  if (!IsShort(aCapacity, aNow)) {
    mShortInterval = false;
    if (mHasSchedules) {
      mReturns.RestartSchedules();
      mHasSchedules = false;
    }
    mReturns.Use(CreditAccount(aRequest), aRequest.mContent, aNow);
    Start(aRequest.mClass, aRequest.mAccount, aCapacity, aNow);
    mExtra = std::max(
      0.0, static_cast<double>(mRunning) - aCapacity.mSlots * aCapacity.mShare);
    return {};
  }
  QueuedRequest queued{
    aRequest.mId,
    aRequest.mClass,
    aRequest.mAccount,
    aRequest.mWeight,
    1.0,
    mReturns.Use(CreditAccount(aRequest), aRequest.mContent, aNow),
    aRequest.mDueAt,
  };
  if (mQueue.size() == 0 && MayRun(aRequest.mClass, aCapacity, aNow)) {
    Start(aRequest.mClass, aRequest.mAccount, aCapacity, aNow);
    return {};
  }
  const Duration wait = ExpectedWait(queued, aCapacity);
  if (aNow + wait > LatestStart(aRequest.mDueAt) ||
      !mQueue.Push(std::move(queued))) {
    return { AdmissionVerdict::Refuse,
             wait,
             RetryTime(aRequest, aCapacity, aNow) };
  }
  return { AdmissionVerdict::Wait, wait, {} };
}

std::vector<uint64_t> Admission::AdmitWaiting(
  const AdmissionCapacity& aCapacity,
  TimePoint aNow)
{
  UpdateRates(aNow);
  std::vector<uint64_t> admitted;
  while (mQueue.size() > 0) {
    const auto next = mQueue.Pop([&](const QueuedRequest& aRequest) {
      return MayRun(aRequest.mClass, aCapacity, aNow);
    });
    if (!next) {
      GrowExtra(aCapacity, aNow);
      break;
    }
    Start(next->mClass, next->mAccount, aCapacity, aNow);
    admitted.push_back(next->mId);
  }
  return admitted;
}

void Admission::Start(RequestClass aClass,
                      const std::string& aAccount,
                      const AdmissionCapacity& aCapacity,
                      TimePoint aNow)
{
  const auto index = static_cast<size_t>(aClass);
  ++mRunning;
  ++mRunningByClass[index];
  ++mStartedByClass[index];
  const auto account = mAccounts[index].find(aAccount);
  if (account != mAccounts[index].end()) {
    ++account->second.mStarted;
  }
  const double share = aCapacity.mSlots * aCapacity.mShare;
  if (share > 0.0 && share < 1.0) {
    mNextStart = aNow + ToDuration(mServiceSeconds / share);
  }
}

void Admission::Finish(RequestClass aClass,
                       Duration aServiceTime,
                       bool aServed,
                       TimePoint aNow)
{
  --mRunning;
  --mRunningByClass[static_cast<size_t>(aClass)];
  if (aServed) {
    ++mFinished;
    const double seconds = Seconds(aServiceTime);
    mServiceSeconds =
      mServiceSeconds <= 0.0
        ? seconds
        : mServiceSeconds + kServiceTimeGain * (seconds - mServiceSeconds);
  }
  UpdateRates(aNow);
}

void Admission::RecordDemand(const AdmissionRequest& aRequest, TimePoint aNow)
{
  Accounts& accounts = mAccounts[static_cast<size_t>(aRequest.mClass)];
  auto found = accounts.find(aRequest.mAccount);
  if (found == accounts.end()) {
    if (accounts.size() >= mOptions.mMaxAccounts) {
      return; // Still served in its turn; its retry times are estimates.
    }
    found = accounts.emplace(aRequest.mAccount, Account{}).first;
  }
  found->second.mWeight = aRequest.mWeight;
  found->second.mSeenAt = aNow;
}

void Admission::UpdateRates(TimePoint aNow)
{
  const Duration passed = aNow - mIntervalStart;
  if (passed < mOptions.mRateInterval) {
    return;
  }
  // An interval with a pause or with unused capacity does not tell the rate.
  const bool usable = passed < 2 * mOptions.mRateInterval;
  const double seconds = Seconds(passed);
  mFinishRate =
    usable && mShortInterval ? static_cast<double>(mFinished) / seconds : 0.0;
  mFinished = 0;
  for (size_t i = 0; i < kRequestClassCount; ++i) {
    Average(mStartRates[i], static_cast<double>(mStartedByClass[i]) / seconds);
    mStartedByClass[i] = 0;
    std::erase_if(mAccounts[i], [&](const auto& aItem) {
      return aNow - aItem.second.mSeenAt > mOptions.mAccountLifetime;
    });
    for (auto& [name, account] : mAccounts[i]) {
      Average(account.mRate, static_cast<double>(account.mStarted) / seconds);
      account.mStarted = 0;
    }
  }
  mShortInterval = true;
  mIntervalStart = aNow;
}

double Admission::FreeRate(const AdmissionCapacity& aCapacity) const
{
  if (mFinishRate > 0.0) {
    return mFinishRate;
  }
  return mServiceSeconds > 0.0
           ? aCapacity.mSlots * aCapacity.mShare / mServiceSeconds
           : 0.0;
}

double Admission::RateOfClass(RequestClass aClass,
                              const AdmissionCapacity& aCapacity) const
{
  const double all = FreeRate(aCapacity);
  double left = all;
  for (size_t i = 0; i < static_cast<size_t>(aClass); ++i) {
    left -= mStartRates[i] * kHigherClassMargin;
  }
  if (aClass != RequestClass::Urgent) {
    left = std::min(left, all * mOptions.mHeadroom.mTrainerShare);
  }
  return std::max(left, all * kMinClassPart);
}

double Admission::RateOfAccount(const AdmissionRequest& aRequest,
                                const AdmissionCapacity& aCapacity) const
{
  const Accounts& accounts = mAccounts[static_cast<size_t>(aRequest.mClass)];
  double weights = 0.0;
  for (const auto& [name, account] : accounts) {
    weights += account.mWeight;
  }
  const double ofClass = RateOfClass(aRequest.mClass, aCapacity);
  const double fair =
    ofClass * aRequest.mWeight / std::max(weights, aRequest.mWeight);
  const auto found = accounts.find(aRequest.mAccount);
  const double measured = found == accounts.end() ? 0.0 : found->second.mRate;
  const double rate = std::min(std::max(fair, measured), ofClass);
  return rate > 0.0 ? rate : kUnknownRate;
}

Duration Admission::ExpectedWait(const QueuedRequest& aRequest,
                                 const AdmissionCapacity& aCapacity) const
{
  const double rate = RateOfClass(aRequest.mClass, aCapacity);
  return rate > 0.0 ? ToDuration(mQueue.EstimatedPosition(aRequest) / rate)
                    : Duration::zero();
}

Duration Admission::TimeToNextSlot(const AdmissionCapacity& aCapacity) const
{
  const double rate = FreeRate(aCapacity);
  return ToDuration(1.0 / (rate > 0.0 ? rate : kUnknownRate));
}

TimePoint Admission::LatestStart(TimePoint aDueAt) const
{
  return aDueAt - ToDuration(mServiceSeconds * mOptions.mServiceTimeMargin);
}

Milliseconds Admission::RetryTime(const AdmissionRequest& aRequest,
                                  const AdmissionCapacity& aCapacity,
                                  TimePoint aNow)
{
  mHasSchedules = true;
  const double rate = RateOfAccount(aRequest, aCapacity);
  const TimePoint at = mReturns.Grant(CreditAccount(aRequest),
                                      aRequest.mContent,
                                      rate,
                                      aNow + mOptions.mMinRetryTime,
                                      aNow);
  return std::chrono::ceil<Milliseconds>(at - aNow);
}

} // namespace agatetide::policy
