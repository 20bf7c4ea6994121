#pragma once

#include "agatetide/request/crash_detector.hpp"
#include "agatetide/request/crash_table.hpp"
#include "agatetide/request/recent_completions.hpp"
#include "agatetide/request/request_fingerprint.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace agatetide::request {

struct CrashSuspectsOptions
{
  policy::CrashVerdictOptions mPolicy;
  CrashTableOptions mTable;
  RecentCompletionsOptions mCompletions;
  /// Larger requests are not remembered when they complete, so that the digest
  /// costs little.
  size_t mMaxRememberedBytes = size_t{ 4 } << 10U;
};

/// @brief A request of a caller that is sent to replicas.
struct CallerRequest
{
  /// Precondition: aRequest and aRoute outlive the object.
  CallerRequest(const UpstreamRequest& aRequest, const fleet::Route& aRoute)
    : mRequest(aRequest)
    , mRoute(aRoute)
    , mFingerprint(aRequest, aRoute.mHttpHost)
  {
  }

  const UpstreamRequest& mRequest;
  const fleet::Route& mRoute;
  RequestFingerprint mFingerprint;
};

/// @brief Stores a trial so that all hosts know of it. Returns whether this
/// host may run it; only one host may.
using ClaimTrialCall = std::function<Awaitable<bool>(CrashRecord)>;

/// @brief Decides whether callers' requests may run that crashed replicas, and
/// learns from the attempts of this host which do. Costs nothing per request
/// while nothing fails but the digest of small ones. Not thread-safe: use it
/// only on the executor given to the constructor.
class CrashSuspects
{
public:
  /// Precondition: aDetector outlives the object. aHost is the name of this
  /// host.
  CrashSuspects(CrashSuspectsOptions aOptions,
                boost::asio::any_io_executor aExecutor,
                CrashDetector& aDetector,
                std::string aHost,
                Clock aClock,
                ClaimTrialCall aClaimTrial);

  /// @brief How the request may run now. Logs the first refusal.
  policy::CrashJudgement Judge(CallerRequest& aRequest);

  /// @brief Whether it is not known yet if a replica crashed under the request.
  bool IsUnsettled(CallerRequest& aRequest) const;

  /// @brief Claims the trial that Judge() allowed. Returns whether the request
  /// may run.
  Awaitable<bool> ClaimTrial(CallerRequest& aRequest);

  /// @brief Records that an attempt at a replica broke off, and finds out
  /// whether the replica has crashed.
  void RecordBrokenAttempt(CallerRequest& aRequest,
                           const fleet::Replica& aReplica);

  /// @brief Records that a replica has answered the request.
  void RecordCompletion(CallerRequest& aRequest);

  /// @brief While it lives, IsRunning() holds for the request.
  using RunningMark = std::shared_ptr<const void>;
  RunningMark MarkRunning(CallerRequest& aRequest);

  /// @brief Whether a suspect that is the same request runs at this host.
  bool IsRunning(CallerRequest& aRequest) const;

  CrashTable& Table() { return mTable; }

private:
  policy::CrashHistory History(CallerRequest& aRequest) const;
  std::set<std::string, std::less<>> ServingSoftware(
    const fleet::Route& aRoute) const;
  CrashRecord MakeRecord(CallerRequest& aRequest) const;
  Awaitable<void> Settle(CrashRecord aCrash, fleet::Replica aReplica);
  void Confirm(const CrashRecord& aCrash, std::string_view aEvidence);

  CrashSuspectsOptions mOptions;
  boost::asio::any_io_executor mExecutor;
  CrashDetector& mDetector;
  std::string mHost;
  ClaimTrialCall mClaimTrial;
  CrashTable mTable;
  RecentCompletions mCompletions;
  /// Digests of the suspects that run at this host.
  std::shared_ptr<std::multiset<std::string>> mRunning =
    std::make_shared<std::multiset<std::string>>();
};

} // namespace agatetide::request
