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

/// @brief Functions by which the traffic thread calls the control thread.
/// Called from the traffic thread; coroutines resume on it.
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
  /// Passes a report on. If the ring is full, drops the report and returns
  /// false.
  std::function<bool(TrafficReport)> mReport;
};

/// @brief Number of this daemon's requests that run on one replica.
struct ReplicaLoad
{
  uint32_t mRunning = 0;
  /// Moving average of mRunning over about the delay of load reports.
  double mAverageRunning = 0.0;
  TimePoint mUpdatedAt{};

  /// Updates mAverageRunning, then adds aDelta to mRunning.
  void Update(int aDelta, TimePoint aNow);
};

/// @brief State that the traffic thread keeps for an upstream group.
struct UpstreamState
{
  explicit UpstreamState(const Settings& aSettings);

  policy::ConcurrencyLimit mConcurrencyLimit;
  policy::OutlierEjection mEjection;
  policy::RetryBudget mRetryBudget;
  policy::RetryBudget mHedgeBudget;
  policy::HedgeDelay mHedgeDelay;
  /// Moving average of the latency. Zero for engines, whose answers differ in
  /// length.
  Duration mMeanLatency{};
};

/// @brief Objects shared by the request handlers of the traffic thread.
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
  /// This daemon's running requests by replica address.
  std::map<std::string, ReplicaLoad, std::less<>> mReplicaLoads;
  std::map<std::string, std::shared_ptr<ConcurrencyLimiter>> mLimiters;
  std::map<std::string, uint64_t> mRoundRobinCounters;
  uint64_t mNextId = 1;
  CrashEvidence mCrashEvidence{ mClock };
  /// Replicas on which requests are being retried whose connection to another
  /// replica broke. Two such requests avoid the same replica if possible, so
  /// that when one crashes the replica, the other is not suspected.
  std::multiset<std::string> mSuspectReplicas;
  std::map<std::string, std::unique_ptr<UpstreamState>, std::less<>> mUpstreams;
};

/// @brief One authenticated request of a caller.
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
  /// Deadline of the upstream calls if it is later than mDeadline. The answer
  /// of an admitted request is kept in case the caller sends it again.
  TimePoint mUpstreamDeadline{};
  TimePoint mStarted{};
};

/// @brief The account's weight in the fair queue; 1 unless configured.
double AccountWeight(const TrafficContext& aContext,
                     const std::string& aAccount);

/// @brief The state of an upstream group, created on first use. The
/// reference stays valid for as long as the context.
UpstreamState& FindOrCreateUpstreamState(TrafficContext& aContext,
                                         const std::string& aUpstream);

/// @brief Outcome of one attempt on a replica.
struct AttemptOutcome
{
  bool mFailed = false;
  Duration mLatency{};
  /// Tokens of the answer; 0 for upstreams that generate none.
  uint32_t mTokens = 0;
};

/// @brief Updates outlier ejection, concurrency limit, hedge delay and mean
/// latency of the upstream group with the outcome of an attempt.
void ObserveAttempt(TrafficContext& aContext,
                    const v1::Upstream& aUpstream,
                    std::string_view aReplica,
                    const AttemptOutcome& aOutcome);

/// @brief The concurrency limiter of an upstream group, created on first use
/// and updated to the current limit and service time.
std::shared_ptr<ConcurrencyLimiter> FindOrCreateLimiter(
  TrafficContext& aContext,
  const v1::Upstream& aUpstream);

/// @brief The replica selected for a request. The request counts as running on
/// it until the object is destroyed.
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

/// @brief Selects a replica of an upstream group and logs the decision.
/// aAvoid contains the addresses of replicas that must not be selected.
/// Errors: Unavailable (not run) if no replica is usable.
Result<SelectedReplica> SelectReplica(TrafficContext& aContext,
                                      const v1::Upstream& aUpstream,
                                      const std::set<std::string>& aAvoid,
                                      std::string_view aRequestId);

} // namespace agatetide::daemon
