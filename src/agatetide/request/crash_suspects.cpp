#include "agatetide/request/crash_suspects.hpp"

#include "agatetide/base/event_log.hpp"
#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace agatetide::request {

namespace asio = boost::asio;
using policy::CrashVerdict;

namespace {

/// Limit of texts of callers in records and in the log.
constexpr size_t kMaxTextBytes = 80;

/// A caller is refused if the store has not granted a trial by then.
constexpr std::chrono::milliseconds kMaxClaimTime{ 500 };

/// A claim in progress. Canceling its timer wakes the one that waits for it.
struct Claim
{
  explicit Claim(const asio::any_io_executor& aExecutor)
    : mTimer(aExecutor, kMaxClaimTime)
  {
  }

  asio::steady_timer mTimer;
  bool mGranted = false;
};

CrashRecordKey KeyOf(const CrashRecord& aRecord)
{
  return { aRecord.mDigest, aRecord.Name() };
}

} // namespace

CrashSuspects::CrashSuspects(CrashSuspectsOptions aOptions,
                             asio::any_io_executor aExecutor,
                             CrashDetector& aDetector,
                             std::string aHost,
                             Clock aClock,
                             ClaimTrialCall aClaimTrial)
  : mOptions(aOptions)
  , mExecutor(std::move(aExecutor))
  , mDetector(aDetector)
  , mHost(std::move(aHost))
  , mClaimTrial(std::move(aClaimTrial))
  , mTable(aOptions.mTable, aClock)
  , mCompletions(aOptions.mCompletions, aClock)
{
}

std::set<std::string, std::less<>> CrashSuspects::ServingSoftware(
  const fleet::Route& aRoute) const
{
  std::set<std::string, std::less<>> software;
  for (const auto& [id, replica] : mDetector.View().Replicas()) {
    if (!replica.mDraining && aRoute.Allows(replica.mService)) {
      software.insert(SoftwareName(replica.mService, replica.mSoftwareVersion));
    }
  }
  return software;
}

policy::CrashHistory CrashSuspects::History(CallerRequest& aRequest) const
{
  if (mTable.IsEmpty() ||
      !mTable.MayContain(aRequest.mFingerprint.ShortHash())) {
    return {};
  }
  return mTable.History(aRequest.mFingerprint.Digest(),
                        ServingSoftware(aRequest.mRoute));
}

bool CrashSuspects::IsUnsettled(CallerRequest& aRequest) const
{
  return History(aRequest).mUnsettled > 0;
}

policy::CrashJudgement CrashSuspects::Judge(CallerRequest& aRequest)
{
  const policy::CrashHistory history = History(aRequest);
  const auto judgement = policy::JudgeRequest(history, mOptions.mPolicy);
  if (judgement.mVerdict != CrashVerdict::Refuse) {
    return judgement;
  }
  const std::string& digest = aRequest.mFingerprint.Digest();
  mTable.Refresh(digest);
  if (mTable.MarkRefused(digest)) {
    LogEvent("request_refused_after_crashes", LogLevel::Warning)
      .Field("request_id", aRequest.mRequest.mId)
      .Field("digest", digest)
      .Field("account", aRequest.mRequest.mAccount)
      .Field("target", aRequest.mRequest.mTarget.substr(0, kMaxTextBytes))
      .Field("crashes", static_cast<uint64_t>(history.mCrashes))
      .Field("unsettled", static_cast<uint64_t>(history.mUnsettled))
      .Field("trials", static_cast<uint64_t>(history.mTrials))
      .Field("retry_after_ms",
             static_cast<int64_t>(judgement.mRetryAfter.count()))
      .Write();
  }
  return judgement;
}

CrashRecord CrashSuspects::MakeRecord(CallerRequest& aRequest) const
{
  CrashRecord record;
  record.mDigest = aRequest.mFingerprint.Digest();
  record.mShortHash = aRequest.mFingerprint.ShortHash();
  record.mAccount = aRequest.mRequest.mAccount;
  record.mHost = mHost;
  record.mRequestId = aRequest.mRequest.mId.substr(0, kMaxTextBytes);
  record.mTarget = aRequest.mRequest.mTarget.substr(0, kMaxTextBytes);
  return record;
}

Awaitable<bool> CrashSuspects::ClaimTrial(CallerRequest& aRequest)
{
  CrashRecord trial = MakeRecord(aRequest);
  trial.mKind = CrashRecord::Kind::Trial;
  trial.mSoftware = ServingSoftware(aRequest.mRoute);
  trial.mTrialNumber = static_cast<uint32_t>(History(aRequest).mTrials);
  const auto claim = std::make_shared<Claim>(mExecutor);
  asio::co_spawn(mExecutor,
                 mClaimTrial(trial),
                 [claim](const std::exception_ptr&, bool aGranted) {
                   claim->mGranted = aGranted;
                   claim->mTimer.cancel();
                 });
  boost::system::error_code ignored;
  co_await claim->mTimer.async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
  const bool claimed = claim->mGranted;
  LogEvent("crash_trial")
    .Field("request_id", trial.mRequestId)
    .Field("digest", trial.mDigest)
    .Field("number", trial.mTrialNumber)
    .Field("claimed", claimed)
    .Write();
  if (claimed) {
    mTable.PutShared(trial);
  }
  co_return claimed;
}

void CrashSuspects::RecordBrokenAttempt(CallerRequest& aRequest,
                                        const fleet::Replica& aReplica)
{
  const fleet::Replica* current = mDetector.View().FindReplica(aReplica.mId);
  const bool leaves =
    aReplica.mDraining || (current != nullptr && current->mDraining);
  if (leaves || mCompletions.Contains(aRequest.mFingerprint.Digest())) {
    return;
  }
  CrashRecord crash = MakeRecord(aRequest);
  crash.mSoftware.insert(
    SoftwareName(aReplica.mService, aReplica.mSoftwareVersion));
  crash.mReplicaId = aReplica.mId;
  crash.mReplicaStartMs = aReplica.mStartTimeMs;
  mTable.AddUnsettled(crash);
  if (mDetector.IsCutOff()) {
    mTable.DiscountUnsettled(KeyOf(crash));
  }
  asio::co_spawn(
    mExecutor, Settle(std::move(crash), aReplica), LogFailure("settle_crash"));
}

Awaitable<void> CrashSuspects::Settle(CrashRecord aCrash,
                                      fleet::Replica aReplica)
{
  const ProbeResult probe = co_await mDetector.Probe(aReplica);
  if (probe == ProbeResult::Crashed) {
    Confirm(aCrash, "probe");
    co_return;
  }
  if (probe == ProbeResult::Reached || mDetector.IsCutOff()) {
    mTable.DiscountUnsettled(KeyOf(aCrash));
  }
  if (co_await mDetector.AwaitEnd(std::move(aReplica))) {
    Confirm(aCrash, "registration");
  } else {
    mTable.DropUnsettled(KeyOf(aCrash));
  }
}

void CrashSuspects::Confirm(const CrashRecord& aCrash,
                            std::string_view aEvidence)
{
  if (!mTable.Confirm(aCrash)) {
    return;
  }
  LogEvent("replica_crashed_under_request", LogLevel::Warning)
    .Field("request_id", aCrash.mRequestId)
    .Field("digest", aCrash.mDigest)
    .Field("replica", aCrash.mReplicaId)
    .Field("evidence", aEvidence)
    .Field("crashes",
           static_cast<uint64_t>(mTable.History(aCrash.mDigest, {}).mCrashes))
    .Write();
}

void CrashSuspects::RecordCompletion(CallerRequest& aRequest)
{
  if (aRequest.mRequest.mBody.size() <= mOptions.mMaxRememberedBytes) {
    mCompletions.Record(aRequest.mFingerprint.Digest());
  }
  if (mTable.IsEmpty() ||
      !mTable.MayContain(aRequest.mFingerprint.ShortHash())) {
    return;
  }
  if (mTable.Clear(aRequest.mFingerprint.Digest())) {
    LogEvent("crash_suspicion_cleared")
      .Field("request_id", aRequest.mRequest.mId)
      .Field("digest", aRequest.mFingerprint.Digest())
      .Write();
  }
}

CrashSuspects::RunningMark CrashSuspects::MarkRunning(CallerRequest& aRequest)
{
  const std::string digest = aRequest.mFingerprint.Digest();
  mRunning->insert(digest);
  return { this, [running = mRunning, digest](const void*) {
            running->erase(running->find(digest));
          } };
}

bool CrashSuspects::IsRunning(CallerRequest& aRequest) const
{
  return !mRunning->empty() &&
         mRunning->contains(aRequest.mFingerprint.Digest());
}

} // namespace agatetide::request
