#include "agatetide/request/service_admission.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/request/forwarder.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace agatetide::request {

namespace asio = boost::asio;

namespace {

/// Bytes of a body that are read for its fingerprint.
constexpr size_t kMaxFingerprintBytes = 4096;
/// Bounds of the time after which waiting requests are admitted when no request
/// of this host ends.
constexpr std::chrono::milliseconds kMinWakeTime{ 5 };
constexpr std::chrono::milliseconds kMaxWakeTime{ 100 };
/// A host that drains takes no new callers, and one that reaches no replica
/// sends through others.
constexpr double kPartialHostWeight = 0.5;

double WeightOfHost(const fleet::EntryHost& aHost)
{
  return aHost.mDraining || aHost.mCutOff ? kPartialHostWeight : 1.0;
}

int64_t ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<Milliseconds>(aDuration).count();
}

policy::AdmissionRequest MakeRequest(const AdmissionCall& aCall, uint64_t aId)
{
  return { aId,           aCall.mClass,   aCall.mAccount,
           aCall.mWeight, aCall.mContent, aCall.mDueAt };
}

} // namespace

uint64_t ContentFingerprint(const UpstreamRequest& aRequest)
{
  const std::string_view body =
    std::string_view(aRequest.mBody).substr(0, kMaxFingerprintBytes);
  return Hash64(
    body,
    Hash64(aRequest.mTarget,
           Hash64(aRequest.mMethod, uint64_t{ aRequest.mBody.size() })));
}

ServiceAdmission::ServiceAdmission(asio::any_io_executor aExecutor,
                                   const ReplicaPool& aPool,
                                   Clock aClock,
                                   Random aRandom)
  : mExecutor(std::move(aExecutor))
  , mPool(aPool)
  , mClock(std::move(aClock))
  , mRandom(std::move(aRandom))
{
}

ServiceAdmission::Permit::Permit(std::weak_ptr<ServiceAdmission> aAdmission,
                                 const AdmissionCall& aCall,
                                 TimePoint aStart)
  : mAdmission(std::move(aAdmission))
  , mService(aCall.mService)
  , mClass(aCall.mClass)
  , mStart(aStart)
{
}

ServiceAdmission::Permit::~Permit()
{
  if (const auto admission = mAdmission.lock()) {
    admission->Finish(mService, mClass, admission->mClock() - mStart, mServed);
  }
}

ServiceAdmission::Service& ServiceAdmission::FindOrCreate(
  const std::string& aService)
{
  return mServices.try_emplace(aService, mExecutor, mRandom).first->second;
}

/// This host's part of the capacity. A host that is cut off from the store
/// keeps its last one; one that is not yet among the known hosts counts itself.
double ServiceAdmission::Share() const
{
  const fleet::FleetView& view = mPool.View();
  if (mLastShare && !view.IsFresh()) {
    return *mLastShare;
  }
  const std::string& self = mPool.Limits().Host();
  double own = 1.0;
  std::vector<double> weights;
  for (const auto& [name, host] : view.Hosts()) {
    weights.push_back(WeightOfHost(host));
    if (name == self) {
      own = weights.back();
    }
  }
  if (!view.Hosts().contains(self)) {
    weights.push_back(own);
  }
  mLastShare = policy::ShareOfCapacity(own, weights);
  return *mLastShare;
}

policy::AdmissionCapacity ServiceAdmission::CapacityOf(
  std::string_view aService) const
{
  policy::AdmissionCapacity capacity;
  for (const auto& [id, replica] : mPool.View().Replicas()) {
    if (replica.mService == aService && mPool.IsUsable(replica)) {
      capacity.mSlots += replica.mSlots;
      capacity.mUsed += mPool.EstimatedRequests(replica);
    }
  }
  capacity.mShare = Share();
  return capacity;
}

double ServiceAdmission::WeightOf(const fleet::Route& aRoute,
                                  std::string_view aAccount) const
{
  int priority = aRoute.mPriority;
  if (const auto& config = mPool.View().Config()) {
    const auto account = config->mAccounts.find(aAccount);
    if (account != config->mAccounts.end()) {
      priority = account->second.mPriority.value_or(priority);
    }
  }
  return policy::WeightOfPriority(priority);
}

Awaitable<Result<ServiceAdmission::Permit>> ServiceAdmission::Acquire(
  AdmissionCall aCall,
  asio::steady_timer& aTimer,
  std::function<bool()> aIsCanceled)
{
  const auto self = shared_from_this();
  Service& service = FindOrCreate(aCall.mService);
  const uint64_t id = mNextId++;
  const auto decision = service.mPolicy.Decide(
    MakeRequest(aCall, id), CapacityOf(aCall.mService), mClock());
  if (decision.mVerdict == policy::AdmissionVerdict::Run) {
    ++mCounts.mRunAtOnce;
    co_return Permit(weak_from_this(), aCall, mClock());
  }
  if (decision.mVerdict == policy::AdmissionVerdict::Refuse) {
    ++mCounts.mRefusedAtOnce;
    co_return Refuse(
      aCall, service, decision.mExpectedWait, decision.mRetryAfter);
  }
  // Slots may be free that this request may take, but those before it may not.
  Waiter waiter{ &aTimer, false };
  service.mWaiters[id] = &waiter;
  AdmitWaiting(aCall.mService, service);
  if (co_await AwaitTurn(service, id, aCall.mDueAt, aTimer, aIsCanceled)) {
    ++mCounts.mRunAfterWait;
    co_return Permit(weak_from_this(), aCall, mClock());
  }
  if (aIsCanceled()) {
    ++mCounts.mRemoved;
    co_return Error{ ErrorKind::Canceled,
                     "the caller closed the connection",
                     "none",
                     Execution::NotRun };
  }
  if (mStopping) {
    ++mCounts.mRemoved;
    co_return HostStoppingError();
  }
  ++mCounts.mRefusedLate;
  const Milliseconds retryAfter = service.mPolicy.RetryTime(
    MakeRequest(aCall, id), CapacityOf(aCall.mService), mClock());
  co_return Refuse(aCall, service, decision.mExpectedWait, retryAfter);
}

/// Returns whether the request was admitted. It is no longer queued then.
Awaitable<bool> ServiceAdmission::AwaitTurn(Service& aService,
                                            uint64_t aId,
                                            TimePoint aDueAt,
                                            asio::steady_timer& aTimer,
                                            std::function<bool()> aIsCanceled)
{
  Waiter& waiter = *aService.mWaiters.at(aId);
  for (;;) {
    const TimePoint end = aService.mPolicy.LatestStart(aDueAt);
    if (waiter.mAdmitted || aIsCanceled() || mStopping || mClock() >= end) {
      break;
    }
    aTimer.expires_at(end);
    boost::system::error_code ignored;
    co_await aTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  aService.mWaiters.erase(aId);
  if (!waiter.mAdmitted) {
    aService.mPolicy.Remove(aId);
  }
  co_return waiter.mAdmitted;
}

void ServiceAdmission::AdmitWaiting(const std::string& aName, Service& aService)
{
  if (aService.mPolicy.WaitingCount() == 0) {
    return;
  }
  for (const uint64_t id :
       aService.mPolicy.AdmitWaiting(CapacityOf(aName), mClock())) {
    Waiter& waiter = *aService.mWaiters.at(id);
    waiter.mAdmitted = true;
    waiter.mTimer->cancel();
  }
  StartWakeTimer(aName, aService);
}

void ServiceAdmission::StartWakeTimer(const std::string& aName,
                                      Service& aService)
{
  if (aService.mWakeTimerRuns || aService.mPolicy.WaitingCount() == 0) {
    return;
  }
  aService.mWakeTimerRuns = true;
  aService.mWakeTimer.expires_after(
    std::clamp<Duration>(aService.mPolicy.TimeToNextSlot(CapacityOf(aName)),
                         kMinWakeTime,
                         kMaxWakeTime));
  aService.mWakeTimer.async_wait(
    [weak = weak_from_this(), aName](const boost::system::error_code&) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      Service& service = self->mServices.at(aName);
      service.mWakeTimerRuns = false;
      self->AdmitWaiting(aName, service);
    });
}

void ServiceAdmission::Finish(const std::string& aService,
                              policy::RequestClass aClass,
                              Duration aTime,
                              bool aServed)
{
  Service& service = mServices.at(aService);
  service.mPolicy.Finish(aClass, aTime, aServed, mClock());
  AdmitWaiting(aService, service);
}

void ServiceAdmission::RecordFull(std::string_view aService)
{
  if (const auto service = mServices.find(aService);
      service != mServices.end()) {
    service->second.mPolicy.RecordFull(mClock());
  }
}

bool ServiceAdmission::IsShort(std::string_view aService) const
{
  const auto service = mServices.find(aService);
  return service != mServices.end() && IsActive(aService) &&
         service->second.mPolicy.IsShort(CapacityOf(aService), mClock());
}

std::optional<Milliseconds> ServiceAdmission::RetryTimeIfShort(
  const AdmissionCall& aCall)
{
  if (!IsShort(aCall.mService)) {
    return std::nullopt;
  }
  return FindOrCreate(aCall.mService)
    .mPolicy.RetryTime(
      MakeRequest(aCall, 0), CapacityOf(aCall.mService), mClock());
}

Error ServiceAdmission::Refuse(const AdmissionCall& aCall,
                               Service& aService,
                               Duration aExpectedWait,
                               Milliseconds aRetryAfter)
{
  if (mStopping) {
    return HostStoppingError();
  }
  if (aService.mLogLimiter.Allow(mClock())) {
    const policy::AdmissionCapacity capacity = CapacityOf(aCall.mService);
    LogEvent("admission_refused", LogLevel::Warning)
      .Field("upstream", aCall.mService)
      .Field("account", aCall.mAccount)
      .Field("class", static_cast<int>(aCall.mClass))
      .Field("slots", capacity.mSlots)
      .Field("used", capacity.mUsed)
      .Field("share", capacity.mShare)
      .Field("rate", aService.mPolicy.FreeRate(capacity))
      .Field("running", static_cast<uint64_t>(aService.mPolicy.RunningCount()))
      .Field("waiting", static_cast<uint64_t>(aService.mPolicy.WaitingCount()))
      .Field("credits", static_cast<uint64_t>(aService.mPolicy.CreditCount()))
      .Field("wait_ms", ToMilliseconds(aExpectedWait))
      .Field("left_ms", ToMilliseconds(aCall.mDueAt - mClock()))
      .Field("retry_ms", static_cast<int64_t>(aRetryAfter.count()))
      .Field("run_at_once", mCounts.mRunAtOnce)
      .Field("run_after_wait", mCounts.mRunAfterWait)
      .Field("refused_at_once", mCounts.mRefusedAtOnce)
      .Field("refused_late", mCounts.mRefusedLate)
      .Field("suppressed", aService.mLogLimiter.ResetSuppressedCount())
      .Write();
  }
  return { ErrorKind::Unavailable,
           "the capacity of " + aCall.mService + " is short",
           "come back at the time that is given",
           Execution::NotRun,
           aRetryAfter };
}

void ServiceAdmission::Stop()
{
  mStopping = true;
  for (auto& [name, service] : mServices) {
    for (auto& [id, waiter] : service.mWaiters) {
      waiter->mTimer->cancel();
    }
  }
}

size_t ServiceAdmission::WaitingCount() const
{
  size_t count = 0;
  for (const auto& [name, service] : mServices) {
    count += service.mPolicy.WaitingCount();
  }
  return count;
}

} // namespace agatetide::request
