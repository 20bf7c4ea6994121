#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/random.hpp"
#include "agatetide/base/ring.hpp"
#include "agatetide/coordination/admission.hpp"
#include "agatetide/coordination/messages.hpp"
#include "agatetide/daemon/concurrency_limiter.hpp"
#include "agatetide/daemon/crash_evidence.hpp"
#include "agatetide/daemon/settings.hpp"
#include "agatetide/daemon/traffic_view.hpp"
#include "agatetide/http/client.hpp"
#include "agatetide/policy/concurrency_limit.hpp"
#include "agatetide/policy/outlier_ejection.hpp"
#include "agatetide/policy/replica_choice.hpp"
#include "agatetide/policy/retry_budget.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace agatetide::daemon {

/// @brief Calls of the traffic thread into the control thread. Each hook may
/// be used from the traffic thread and resumes there.
struct ControlCalls
{
  std::function<Awaitable<Result<coordination::Admission>>(
    coordination::AdmissionKey,
    coordination::AdmissionRecord)>
    mAdmit;
  std::function<Awaitable<Result<int64_t>>(coordination::ConfigWrite)> mChange;
  std::function<Awaitable<Result<coordination::PeerReply>>(
    std::string,
    coordination::PeerRequest,
    TimePoint)>
    mAskPeer;
  std::function<Awaitable<Result<std::vector<std::string>>>(unsigned)>
    mSealedWindows;
  /// Hands a report over; drops it when the ring is full and returns false.
  std::function<bool(TrafficReport)> mReport;
};

/// @brief This daemon's requests on one replica.
struct ReplicaLoad
{
  uint32_t mRunning = 0;
  /// Mean of mRunning over about the lag of load reports.
  double mAverageRunning = 0.0;
  TimePoint mUpdatedAt{};

  /// Brings mAverageRunning up to date, then changes mRunning.
  void Update(int aDelta, TimePoint aNow);
};

/// @brief What the traffic thread has learnt about an upstream group.
struct UpstreamState
{
  explicit UpstreamState(const Settings& aSettings);

  policy::ConcurrencyLimit mConcurrencyLimit;
  policy::OutlierEjection mEjection;
  policy::RetryBudget mRetryBudget;
  policy::RetryBudget mHedgeBudget;
  policy::HedgeDelay mHedgeDelay;
  /// Mean latency of answers; zero for engines, whose answers differ.
  Duration mMeanLatency{};
};

/// @brief What the handlers of the traffic thread share.
struct TrafficContext
{
  boost::asio::any_io_executor mExecutor;
  const Settings& mSettings;
  Clock mClock;
  WallClock mWallClock;
  Random mRandom;
  std::unique_ptr<http::Client> mClient;
  ControlCalls mControl;
  TrafficViewPtr mView;
  /// Own running requests by replica address.
  std::map<std::string, ReplicaLoad, std::less<>> mReplicaLoads;
  std::map<std::string, std::shared_ptr<ConcurrencyLimiter>> mLimiters;
  std::map<std::string, uint64_t> mRoundRobinCounters;
  uint64_t mNextId = 1;
  CrashEvidence mCrashEvidence;
  /// Replicas on which requests are retried that broke on another one. Two
  /// of them do not share a replica if there is a choice, so that a request
  /// that crashes upstreams does not make the other look guilty.
  std::multiset<std::string> mSuspectReplicas;
  std::map<std::string, std::unique_ptr<UpstreamState>, std::less<>> mUpstreams;
};

/// @brief One authenticated request, for as long as it runs.
struct Call
{
  std::string mRequestId;
  /// Whether the caller chose the request id.
  bool mCallerChoseId = false;
  std::string mAccount;
  /// "package.Service/Method".
  std::string mMethod;
  std::string mBody;
  bool mProtobuf = false;
  TimePoint mDeadline{};
  /// Upstream calls may take until then when it is later than mDeadline: the
  /// answer of an admitted request is kept for a re-send.
  TimePoint mUpstreamDeadline{};
  TimePoint mStarted{};
};

/// @brief The account's weight; 1 unless configured.
double AccountWeight(const TrafficContext& aContext,
                     const std::string& aAccount);

/// @brief The state of an upstream group, created on first use. The
/// reference stays valid for as long as the context.
UpstreamState& FindOrCreateUpstreamState(TrafficContext& aContext,
                                         const std::string& aUpstream);

/// @brief How an attempt on a replica ended.
struct AttemptOutcome
{
  bool mFailed = false;
  Duration mLatency{};
  /// Tokens of the answer; 0 where answers have none.
  uint32_t mTokens = 0;
};

/// @brief Feeds an attempt into the limit, the ejection and the hedge delay.
void ObserveAttempt(TrafficContext& aContext,
                    const v1::Upstream& aUpstream,
                    std::string_view aReplica,
                    const AttemptOutcome& aEnd);

/// @brief The gate of an upstream group, created on first use.
std::shared_ptr<ConcurrencyLimiter> FindOrCreateLimiter(
  TrafficContext& aContext,
  const v1::Upstream& aUpstream);

/// @brief A chosen replica, counted as running until it is destroyed.
class SelectedReplica
{
public:
  /// Precondition: aContext outlives the object.
  SelectedReplica(TrafficContext& aContext, std::string aAddress);
  SelectedReplica(SelectedReplica&& aOther) noexcept;
  SelectedReplica& operator=(SelectedReplica&&) = delete;
  ~SelectedReplica();

  const std::string& Address() const { return mAddress; }

private:
  TrafficContext* mContext;
  std::string mAddress;
};

/// @brief Chooses a replica of an upstream group and logs the decision.
/// aAvoid names replicas that this request has failed on.
/// Errors: Unavailable (not run) when none is usable.
Result<SelectedReplica> SelectReplica(TrafficContext& aContext,
                                      const v1::Upstream& aUpstream,
                                      const std::set<std::string>& aAvoid,
                                      std::string_view aRequestId);

} // namespace agatetide::daemon
