#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/base/random.hpp"
#include "agatetide/policy/fair_queue.hpp"
#include "agatetide/policy/headroom.hpp"
#include "agatetide/policy/return_credits.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::policy {

/// @brief Weight of a priority in the fair shares of client accounts. 5, the
/// default of routes, has weight 1; two steps towards 0 double it. Priorities
/// outside of 0 to 10 count as these.
double WeightOfPriority(int aPriority);

/// @brief Part of a service's capacity that a host may use while capacity is
/// short. aHosts are the weights of all running hosts, aOwn included.
/// Precondition: aOwn is positive.
double ShareOfCapacity(double aOwn, std::span<const double> aHosts);

struct AdmissionOptions
{
  /// One request costs one turn.
  FairQueueOptions mQueue{ QueuePolicy::FairByAccount, 512, 1.0, true };
  /// A single client account may use all slots, since others wait for one
  /// finished request at most.
  HeadroomOptions mHeadroom{ true, 0.9, 0.7, 1.0 };
  /// Capacity is short from this part of the service's slots in use on. It is
  /// below the part that requests of the trainer class may use, so that these
  /// do not take the slots that are kept for lookups.
  double mShortUse = 0.85;
  /// Slots up to this part may be used beyond the host's share.
  double mSpareUse = 0.95;
  /// Capacity stays short for this long after a replica refused a request as
  /// full.
  Duration mFullTime = std::chrono::milliseconds(500);
  /// Slots beyond the share change at most this often: one more while requests
  /// wait and others leave slots free, but not during mFullTime, and a part of
  /// them when a replica refuses a request as full. What is known of other
  /// hosts' requests is old, so that all hosts see the same free slots.
  Duration mExtraInterval = std::chrono::milliseconds(50);
  double mExtraDecrease = 0.5;
  /// Times the usual service time that a request needs in reserve before it is
  /// due.
  double mServiceTimeMargin = 1.25;
  /// Interval over which the rate of finished requests is measured.
  Duration mRateInterval = std::chrono::milliseconds(500);
  /// Fewer finished requests in an interval do not tell the rate.
  size_t mMinFinished = 10;
  /// A client account without requests for this long has no share.
  Duration mAccountLifetime = std::chrono::seconds(2);
  size_t mMaxAccounts = 1024;
  /// Shortest retry time.
  Milliseconds mMinRetryTime{ 10 };
  ReturnCreditOptions mReturns;
};

/// @brief A request for capacity.
struct AdmissionRequest
{
  /// Unique among the waiting requests.
  uint64_t mId = 0;
  RequestClass mClass = RequestClass::Urgent;
  std::string mAccount;
  double mWeight = 1.0;
  /// Fingerprint of what the caller sent.
  uint64_t mContent = 0;
  /// The response is of no use later.
  TimePoint mDueAt{};
};

/// @brief The capacity of a service as this host sees it.
struct AdmissionCapacity
{
  /// Slots of all usable replicas.
  double mSlots = 0.0;
  /// Estimated requests of all hosts on them.
  double mUsed = 0.0;
  /// Part of the slots that is this host's share.
  double mShare = 1.0;
};

enum class AdmissionVerdict
{
  Run,
  /// The request is in the queue until AdmitWaiting() or Remove().
  Wait,
  Refuse,
};

struct AdmissionDecision
{
  AdmissionVerdict mVerdict = AdmissionVerdict::Run;
  Duration mExpectedWait{};
  /// For refused requests.
  Milliseconds mRetryAfter{};
};

/// @brief Decides which requests of this host use the capacity of one service
/// while it is short: by class, then weighted fair shares of client accounts,
/// then the time at which they are due. Performs no input or output. Not
/// thread-safe.
class Admission
{
public:
  Admission(AdmissionOptions aOptions, Random aRandom)
    : mOptions(aOptions)
    , mQueue(aOptions.mQueue)
    , mReturns(aOptions.mReturns, std::move(aRandom))
  {
  }

  /// @brief Decides a new request. One that runs is counted until Finish().
  AdmissionDecision Decide(const AdmissionRequest& aRequest,
                           const AdmissionCapacity& aCapacity,
                           TimePoint aNow);

  /// @brief Takes the requests that may run now out of the queue, counts them
  /// as running and returns their ids.
  std::vector<uint64_t> AdmitWaiting(const AdmissionCapacity& aCapacity,
                                     TimePoint aNow);

  /// @brief Removes a waiting request.
  void Remove(uint64_t aId) { mQueue.Remove(aId); }

  /// @brief Ends a running request. aServed is false if no replica ran it.
  void Finish(RequestClass aClass,
              Duration aServiceTime,
              bool aServed,
              TimePoint aNow);

  /// @brief Records that a replica refused a request as full.
  void RecordFull(TimePoint aNow);

  /// @brief Whether requests are admitted by their shares now.
  bool IsShort(const AdmissionCapacity& aCapacity, TimePoint aNow) const;

  /// @brief Retry time of a request that is refused now; its return is expected
  /// then.
  Milliseconds RetryTime(const AdmissionRequest& aRequest,
                         const AdmissionCapacity& aCapacity,
                         TimePoint aNow);

  /// @brief The latest time at which the request can start and still end when
  /// it is due.
  TimePoint LatestStart(TimePoint aDueAt) const;

  /// @brief Time until a slot of this host is expected to become free.
  Duration TimeToNextSlot(const AdmissionCapacity& aCapacity) const;

  /// @brief Requests per second that finish at this host, measured while they
  /// used its share, or else estimated from the share; 0 if unknown.
  double FreeRate(const AdmissionCapacity& aCapacity) const;

  size_t WaitingCount() const { return mQueue.size(); }
  size_t RunningCount() const { return mRunning; }
  size_t CreditCount() const { return mReturns.size(); }

private:
  struct Account
  {
    double mWeight = 1.0;
    TimePoint mSeenAt{};
    /// Requests that ran in the current interval.
    size_t mStarted = 0;
    /// Requests per second that ran; a moving average.
    double mRate = 0.0;
  };
  using Accounts = std::map<std::string, Account, std::less<>>;

  size_t SlotLimit(const AdmissionCapacity& aCapacity, TimePoint aNow) const;
  void GrowExtra(const AdmissionCapacity& aCapacity, TimePoint aNow);
  bool MayRun(RequestClass aClass,
              const AdmissionCapacity& aCapacity,
              TimePoint aNow) const;
  void Start(RequestClass aClass,
             const std::string& aAccount,
             const AdmissionCapacity& aCapacity,
             TimePoint aNow);
  void RecordDemand(const AdmissionRequest& aRequest, TimePoint aNow);
  void UpdateRates(TimePoint aNow);
  double RateOfClass(RequestClass aClass,
                     const AdmissionCapacity& aCapacity) const;
  double RateOfAccount(const AdmissionRequest& aRequest,
                       const AdmissionCapacity& aCapacity) const;
  Duration ExpectedWait(const QueuedRequest& aRequest,
                        const AdmissionCapacity& aCapacity) const;

  AdmissionOptions mOptions;
  FairQueue mQueue;
  ReturnCredits mReturns;
  std::array<Accounts, kRequestClassCount> mAccounts;
  std::array<size_t, kRequestClassCount> mRunningByClass{};
  std::array<size_t, kRequestClassCount> mStartedByClass{};
  /// Requests per second that started; moving averages.
  std::array<double, kRequestClassCount> mStartRates{};
  size_t mRunning = 0;
  size_t mFinished = 0;
  /// Requests per second that finished in the last interval; 0 if unknown.
  double mFinishRate = 0.0;
  /// Whether capacity was short in the whole current interval.
  bool mShortInterval = false;
  TimePoint mIntervalStart{};
  /// Moving average in seconds; 0 if unknown.
  double mServiceSeconds = 0.0;
  TimePoint mFullUntil{};
  /// Slots that this host may use beyond its share.
  double mExtra = 0.0;
  TimePoint mExtraChangedAt{};
  /// A share of less than one slot is used for a part of the time.
  TimePoint mNextStart{};
  /// Whether retry times were given since capacity last was not short.
  bool mHasSchedules = false;
};

} // namespace agatetide::policy
