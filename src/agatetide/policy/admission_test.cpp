#include "agatetide/policy/admission.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

using namespace agatetide;
using namespace agatetide::policy;

namespace {

constexpr double kSlots = 20.0;
constexpr std::chrono::milliseconds kServiceTime{ 100 };
/// Requests per second that the slots can serve.
constexpr double kRate = 200.0;
constexpr std::chrono::milliseconds kTarget{ 400 };
constexpr std::chrono::milliseconds kTick{ 1 };
constexpr std::chrono::seconds kWarmUp{ 2 };
constexpr std::chrono::seconds kEnd{ 14 };
constexpr Duration kCounted = kEnd - kWarmUp - kTarget;
/// Retry time that is told without admission.
constexpr std::chrono::milliseconds kConstantRetryTime{ 100 };

/// Requests of one account and class that arrive at random.
struct Source
{
  std::string mAccount;
  double mRequestsPerSecond = 0.0;
  double mWeight = 1.0;
  RequestClass mClass = RequestClass::Urgent;
  /// Whether refused requests come back once, when told.
  bool mReturns = false;
  /// Whether a return has the content of its refused request.
  bool mSameContent = true;
  // Counted after the warm-up; new requests apart from returns.
  unsigned mNew = 0;
  unsigned mNewInTime = 0;
  unsigned mServed = 0;
  unsigned mReturned = 0;
  unsigned mReturnedInTime = 0;
};

/// One service, played on a manual clock. Without admission requests run at
/// once, wait at the replicas, and are refused when as many wait as run.
class Model
{
public:
  Model(std::vector<Source> aSources, bool aAdmission)
    : mSources(std::move(aSources))
    , mUsesAdmission(aAdmission)
  {
  }

  const std::vector<Source>& Run()
  {
    const TimePoint start = mClock.Now();
    mCountFrom = start + kWarmUp;
    mEnd = start + kEnd;
    while (mClock.Now() < mEnd) {
      mClock.Advance(kTick);
      EndRequests();
      while (!mReturns.empty() && mReturns.begin()->first <= mClock.Now()) {
        const Request request = mReturns.begin()->second;
        mReturns.erase(mReturns.begin());
        Arrive(request.mSource, true, request.mContent);
      }
      for (size_t i = 0; i < mSources.size(); ++i) {
        for (double left = mSources[i].mRequestsPerSecond * Seconds(kTick);
             left > 0.0;
             left -= 1.0) {
          if (UniformUnit(mRandom) < left) {
            Arrive(i, false, mNextId);
          }
        }
      }
    }
    return mSources;
  }

  double Goodput() const
  {
    double served = 0.0;
    for (const Source& source : mSources) {
      served += source.mServed;
    }
    return served / Seconds(kCounted);
  }

private:
  struct Request
  {
    size_t mSource = 0;
    uint64_t mContent = 0;
    bool mReturn = false;
    TimePoint mArrivedAt{};
    TimePoint mDueAt{};
  };

  AdmissionCapacity Capacity() const
  {
    return { kSlots, static_cast<double>(mRunning.size()), 1.0 };
  }

  AdmissionRequest Ask(uint64_t aId, const Request& aRequest) const
  {
    const Source& source = mSources[aRequest.mSource];
    return { aId,
             source.mClass,
             source.mAccount,
             source.mWeight,
             aRequest.mContent,
             aRequest.mDueAt };
  }

  void Arrive(size_t aSource, bool aReturn, uint64_t aContent)
  {
    const TimePoint now = mClock.Now();
    const uint64_t id = mNextId++;
    const Request request{ aSource, aContent, aReturn, now, now + kTarget };
    if (IsCounted(request)) {
      ++(aReturn ? mSources[aSource].mReturned : mSources[aSource].mNew);
    }
    mRequests[id] = request;
    if (!mUsesAdmission) {
      if (mRunning.size() + mQueued.size() >= 2 * kSlots) {
        Refuse(id, kConstantRetryTime);
        return;
      }
      mQueued.push_back(id);
      StartQueued();
      return;
    }
    const auto decision = mAdmission.Decide(Ask(id, request), Capacity(), now);
    if (decision.mVerdict == AdmissionVerdict::Run) {
      Start(id);
    } else if (decision.mVerdict == AdmissionVerdict::Refuse) {
      Refuse(id, decision.mRetryAfter);
    } else {
      mWaiting.push_back(id);
      StartAdmitted();
    }
  }

  /// Whether it arrived after the warm-up and is due before the end.
  bool IsCounted(const Request& aRequest) const
  {
    return aRequest.mArrivedAt >= mCountFrom && aRequest.mDueAt < mEnd;
  }

  void Start(uint64_t aId)
  {
    const double factor = 0.7 + 0.6 * UniformUnit(mRandom);
    mRunning.emplace(mClock.Now() + std::chrono::duration_cast<Duration>(
                                      kServiceTime * factor),
                     std::pair(aId, mClock.Now()));
  }

  void StartQueued()
  {
    while (!mQueued.empty() && mRunning.size() < kSlots) {
      Start(mQueued.front());
      mQueued.pop_front();
    }
  }

  void StartAdmitted()
  {
    for (const uint64_t id :
         mAdmission.AdmitWaiting(Capacity(), mClock.Now())) {
      Start(id);
      std::erase(mWaiting, id);
    }
  }

  void EndRequests()
  {
    const TimePoint now = mClock.Now();
    while (!mRunning.empty() && mRunning.begin()->first <= now) {
      const auto [id, startedAt] = mRunning.begin()->second;
      mRunning.erase(mRunning.begin());
      Count(mRequests.at(id));
      if (mUsesAdmission) {
        mAdmission.Finish(mSources[mRequests.at(id).mSource].mClass,
                          now - startedAt,
                          true,
                          now);
      }
      mRequests.erase(id);
    }
    StartQueued();
    if (mUsesAdmission) {
      StartAdmitted();
      for (const uint64_t id : std::vector(mWaiting)) {
        const Request& request = mRequests.at(id);
        if (now >= mAdmission.LatestStart(request.mDueAt)) {
          std::erase(mWaiting, id);
          mAdmission.Remove(id);
          Refuse(id, mAdmission.RetryTime(Ask(id, request), Capacity(), now));
        }
      }
    }
  }

  void Count(const Request& aRequest)
  {
    if (!IsCounted(aRequest) || mClock.Now() > aRequest.mDueAt) {
      return;
    }
    Source& source = mSources[aRequest.mSource];
    ++source.mServed;
    ++(aRequest.mReturn ? source.mReturnedInTime : source.mNewInTime);
  }

  void Refuse(uint64_t aId, Milliseconds aRetryAfter)
  {
    const Request request = mRequests.at(aId);
    mRequests.erase(aId);
    const Source& source = mSources[request.mSource];
    if (source.mReturns && !request.mReturn) {
      Request again = request;
      again.mContent = source.mSameContent ? request.mContent : aId << 32U;
      mReturns.emplace(mClock.Now() + aRetryAfter, again);
    }
  }

  std::vector<Source> mSources;
  bool mUsesAdmission;
  ManualClock mClock;
  Random mRandom = SeededRandom(7);
  Admission mAdmission{ {}, SeededRandom(8) };
  TimePoint mCountFrom{};
  TimePoint mEnd{};
  uint64_t mNextId = 1;
  std::map<uint64_t, Request> mRequests;
  std::multimap<TimePoint, std::pair<uint64_t, TimePoint>> mRunning;
  std::deque<uint64_t> mQueued;
  std::vector<uint64_t> mWaiting;
  std::multimap<TimePoint, Request> mReturns;
};

double InTime(const Source& aSource)
{
  return static_cast<double>(aSource.mNewInTime) / aSource.mNew;
}

double ReturnsInTime(const Source& aSource)
{
  return static_cast<double>(aSource.mReturnedInTime) / aSource.mReturned;
}

/// One account asks for three times the capacity, two others for little.
std::vector<Source> FloodOfAnAccount()
{
  return { { "large", 3.0 * kRate, 1.0, RequestClass::Urgent, true },
           { "a", 0.15 * kRate },
           { "b", 0.15 * kRate } };
}

/// Scoring calls ask for three times the capacity, lookups for little.
std::vector<Source> FloodOfScoringCalls()
{
  return { { "", 3.0 * kRate, 1.0, RequestClass::Trainer, true },
           { "a", 0.2 * kRate },
           { "b", 0.2 * kRate } };
}

} // namespace

// Guards against lookups that miss their target since another account asks for
// three times the capacity.
Test(admission, a_flood_of_one_account_does_not_delay_the_others)
{
  const auto sources = Model(FloodOfAnAccount(), true).Run();
  for (const size_t i : { 1U, 2U }) {
    cr_expect_geq(InTime(sources[i]), 0.99, "%g in time", InTime(sources[i]));
  }
}

// Guards against lookups that miss their target since scoring calls ask for
// three times the capacity.
Test(admission, a_flood_of_scoring_calls_does_not_delay_lookups)
{
  const auto sources = Model(FloodOfScoringCalls(), true).Run();
  for (const size_t i : { 1U, 2U }) {
    cr_expect_geq(InTime(sources[i]), 0.99, "%g in time", InTime(sources[i]));
  }
}

// Guards against an account that gets less than its weighted share of the
// capacity while all ask for more than theirs.
Test(admission, accounts_get_their_weighted_shares)
{
  const auto sources =
    Model({ { "a", 3.0 * kRate }, { "b", kRate }, { "c", kRate, 2.0 } }, true)
      .Run();
  const double capacity = kRate * Seconds(kCounted);
  for (const Source& source : sources) {
    const double fair = capacity * source.mWeight / 4.0;
    cr_expect_geq(source.mServed,
                  0.9 * fair,
                  "%s: %u served of %g",
                  source.mAccount.c_str(),
                  source.mServed,
                  fair);
  }
}

// Guards against callers that come back when told and are refused again, since
// new requests of their account took the capacity. Each is refused at most
// once: a return that is refused does not come back.
Test(admission, those_who_come_back_when_told_are_served)
{
  for (auto sources : { FloodOfAnAccount(), FloodOfScoringCalls() }) {
    const Source flood = Model(std::move(sources), true).Run().front();
    // Returns take at least half of the 60% of capacity that others leave, so
    // that they compete with new requests.
    cr_expect_gt(flood.mReturned, 0.3 * kRate * Seconds(kCounted));
    cr_expect_geq(
      ReturnsInTime(flood), 0.95, "%g in time", ReturnsInTime(flood));
  }
}

// Guards against capacity that is lost to requests that end too late or to
// slots that nobody uses, when demand is three times the capacity.
Test(admission, goodput_does_not_fall_with_the_load)
{
  const auto atLoad = [](double aLoad) {
    Model model({ { "a", 0.5 * aLoad * kRate, 1.0, RequestClass::Urgent, true },
                  { "b", 0.3 * aLoad * kRate },
                  { "", 0.2 * aLoad * kRate, 1.0, RequestClass::Trainer } },
                true);
    model.Run();
    return model.Goodput();
  };
  const double once = atLoad(1.0);
  const double thrice = atLoad(3.0);
  cr_expect_geq(thrice, 0.95 * once, "%g after %g", thrice, once);
}

// Guards against checks that pass without admission.
Test(admission, requests_that_run_at_once_miss_the_bounds)
{
  const auto account = Model(FloodOfAnAccount(), false).Run();
  const auto scoring = Model(FloodOfScoringCalls(), false).Run();
  for (const auto& sources : { account, scoring }) {
    cr_expect_lt(InTime(sources[1]), 0.99);
    cr_expect_lt(ReturnsInTime(sources[0]), 0.95);
  }
  const auto shares =
    Model({ { "a", 3.0 * kRate }, { "b", kRate }, { "c", kRate, 2.0 } }, false)
      .Run();
  const double capacity = kRate * Seconds(kCounted);
  cr_expect_lt(shares[2].mServed, 0.9 * capacity / 2.0);
}

// Guards against waiting, and against a reserve, while capacity is not short;
// and against one host's share binding while the others leave slots free.
Test(admission, requests_pass_while_capacity_is_not_short)
{
  Admission admission({}, SeededRandom(1));
  const TimePoint now{ std::chrono::hours(1) };
  for (uint64_t id = 0; id < 16; ++id) {
    const AdmissionCapacity capacity{ kSlots, static_cast<double>(id), 0.1 };
    const AdmissionRequest request{
      id, RequestClass::Trainer, "", 1.0, id, now
    };
    cr_expect(admission.Decide(request, capacity, now).mVerdict ==
              AdmissionVerdict::Run);
  }
  const AdmissionCapacity full{ kSlots, kSlots, 0.1 };
  const AdmissionRequest late{ 17, RequestClass::Urgent, "a", 1.0,
                               1,  now + kTarget };
  cr_expect(admission.Decide(late, full, now).mVerdict ==
            AdmissionVerdict::Wait);
}

// Guards against hosts that together use more than the capacity, one that is
// new included, and against a priority that removes an account's share.
Test(admission, shares_add_up_to_the_capacity)
{
  const std::vector<double> hosts(300, 1.0);
  cr_expect_float_eq(300.0 * ShareOfCapacity(1.0, hosts), 1.0, 1e-9);
  cr_expect_eq(ShareOfCapacity(1.0, {}), 1.0);
  cr_expect_eq(WeightOfPriority(5), 1.0);
  cr_expect_eq(WeightOfPriority(3), 2.0);
  cr_expect_gt(WeightOfPriority(1000), 0.1);
}

// Guards against 300 hosts that each keep a request running in a share of less
// than a slot, which together are more than the slots.
Test(admission, a_share_below_one_slot_is_used_part_of_the_time)
{
  Admission admission({}, SeededRandom(1));
  ManualClock clock;
  const AdmissionCapacity full{ 75.0, 75.0, 1.0 / 300.0 };
  unsigned started = 0;
  uint64_t id = 0;
  for (; clock.Now() < ManualClock().Now() + std::chrono::seconds(40);
       clock.Advance(kServiceTime)) {
    const AdmissionRequest request{ ++id, RequestClass::Urgent,      "a", 1.0,
                                    id,   clock.Now() + kServiceTime };
    if (admission.Decide(request, full, clock.Now()).mVerdict ==
        AdmissionVerdict::Run) {
      ++started;
      admission.Finish(
        RequestClass::Urgent, kServiceTime, true, clock.Now() + kServiceTime);
    } else {
      admission.Remove(id);
    }
  }
  cr_expect_lt(started, 115U, "%u started of 100", started);
  cr_expect_gt(started, 85U, "%u started of 100", started);
}

// Guards against retry times that bunch, against credits without bound, and
// against a return that finds its credit used by a request with other content.
Test(admission, credits_are_spread_bounded_and_kept_for_their_content)
{
  ReturnCreditOptions options;
  options.mMaxCredits = 100;
  ReturnCredits credits(options, SeededRandom(1));
  const TimePoint now{ std::chrono::hours(1) };
  std::map<int64_t, unsigned> perSecond;
  std::vector<TimePoint> times;
  for (uint64_t content = 0; content < 200; ++content) {
    times.push_back(credits.Grant("a", content, 50.0, now, now));
    ++perSecond[(times.back() - now) / std::chrono::seconds(1)];
  }
  cr_expect_eq(credits.size(), 100);
  for (const auto& [second, count] : perSecond) {
    cr_expect_leq(count, 50U, "%u in one second", count);
  }
  cr_expect(!credits.Use("a", 1000, times[0]));
  cr_expect(!credits.Use("b", 0, times[0]));
  cr_expect(credits.Use("a", 0, times[0]));
  cr_expect(!credits.Use("a", 0, times[0]));
  cr_expect(credits.Use("a", 1000, times[1] + options.mOpenAfter));
}
