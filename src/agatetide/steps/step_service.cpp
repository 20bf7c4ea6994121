#include "agatetide/steps/step_service.hpp"

#include "agatetide/base/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <span>

namespace agatetide::steps {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kResolveInterval{ 400 };
/// A write whose outcome is unknown may still take effect for this long.
constexpr std::chrono::seconds kResolveTimeout{ 10 };
constexpr std::chrono::milliseconds kCreateRetryDelay{ 100 };
/// Maximum duration of one watch of the log of another daemon's step.
constexpr std::chrono::milliseconds kMaxLogWait{ 1000 };
/// A watch is not worth its call for less.
constexpr std::chrono::milliseconds kMinLogWait{ 20 };
constexpr unsigned kMaxEndAttempts = 8;
/// Items of other hosts' steps with more stored values are not cached.
constexpr uint32_t kMaxCachedChunks = 2;
/// A page of results is made of what was read from the log within this time.
constexpr std::chrono::milliseconds kMaxCacheAge{ 500 };

Error StepNotFound(const std::string& aId)
{
  return { ErrorKind::NotFound,
           "step " + aId + " does not exist",
           "check the step id and the key, or submit the step again" };
}

/// The results behind the first aCount.
std::span<const ItemResult> ResultsFrom(const std::vector<ItemResult>& aResults,
                                        size_t aCount)
{
  return std::span(aResults).subspan(std::min(aCount, aResults.size()));
}

Error ItemNotFound(const std::string& aItem)
{
  return { ErrorKind::NotFound,
           "the step has no item " + aItem,
           "check the item id" };
}

} // namespace

StepService::StepService(StepContext& aContext,
                         StepRunner& aRunner,
                         StepServiceOptions aOptions)
  : mContext(aContext)
  , mRunner(aRunner)
  , mOptions(aOptions)
{
}

Awaitable<SubmitOutcome> StepService::Submit(StepSubmission aSubmission,
                                             TimePoint aDeadline)
{
  if (const OwnedStepPtr owned = mRunner.Find(aSubmission.mId);
      owned && owned->mRecord.mAccount == aSubmission.mAccount) {
    co_return SubmitOutcome::Accepted;
  }
  MemoryReservation memory(mContext.mItemBudget);
  if (!memory.Grow(SizeInBytes(aSubmission.mItems))) {
    LogMemoryShortage("step_refused", aSubmission.mId);
    co_return SubmitOutcome::Refused;
  }
  StepRecord record;
  record.mId = aSubmission.mId;
  record.mAccount = aSubmission.mAccount;
  record.mHttpHost = aSubmission.mHttpHost;
  record.mPath = aSubmission.mPath;
  record.mModel = aSubmission.mModel;
  record.mMinVersion = aSubmission.mMinVersion;
  record.mDesiredGroups = aSubmission.mDesiredGroups;
  for (const StepItem& item : aSubmission.mItems) {
    record.mExpectedTokens += item.mExpectedTokens;
  }
  record.mSubmittedMs = mContext.mWallClock();
  record.mOwner = mContext.mOwner;
  record.mRegion = mContext.mView.Region();
  asio::steady_timer timer(mContext.mExecutor);
  bool mayBeStored = false;
  CreateResult reply;
  for (;;) {
    reply = co_await mContext.mStepStore.Create(record, aSubmission.mItems);
    mayBeStored = mayBeStored || reply.mOutcome == CreateOutcome::Unknown;
    const bool isStored = reply.mOutcome == CreateOutcome::Created ||
                          reply.mOutcome == CreateOutcome::Exists;
    if (isStored || mContext.mClock() + kCreateRetryDelay >= aDeadline) {
      break;
    }
    timer.expires_after(kCreateRetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  const bool own = (reply.mOutcome == CreateOutcome::Created ||
                    reply.mOutcome == CreateOutcome::Exists) &&
                   reply.mRecord.mOwner == mContext.mOwner;
  LogEvent("step_submitted")
    .Field("step", aSubmission.mId)
    .Field("account", aSubmission.mAccount)
    .Field("model", aSubmission.mModel)
    .Field("items", static_cast<uint64_t>(aSubmission.mItems.size()))
    .Field("min_version", aSubmission.mMinVersion)
    .Field("outcome",
           own                                       ? "accepted"
           : reply.mOutcome == CreateOutcome::Exists ? "known"
           : mayBeStored                             ? "unknown"
                                                     : "refused")
    .Field("reason", reply.mReason)
    .Write();
  if (reply.mOutcome == CreateOutcome::Exists &&
      reply.mRecord.mAccount != aSubmission.mAccount) {
    co_return SubmitOutcome::Refused;
  }
  if (own) {
    const bool isNew = reply.mOutcome == CreateOutcome::Created || mayBeStored;
    if (!isNew && !mRunner.IsRunning(reply.mRecord)) {
      // Its results are in the log, since it was complete or ended long ago.
      co_await AdoptStored(reply.mRecord);
    } else if (!mRunner.Find(record.mId)) {
      mRunner.Adopt(reply.mRecord,
                    std::move(aSubmission.mItems),
                    std::move(memory),
                    {},
                    {});
    }
    co_return SubmitOutcome::Accepted;
  }
  if (reply.mOutcome == CreateOutcome::Exists) {
    co_return SubmitOutcome::Accepted;
  }
  if (!mayBeStored) {
    co_return SubmitOutcome::Refused;
  }
  if (mUnknownCreates.insert(record.mId).second) {
    asio::co_spawn(
      mContext.mExecutor, ResolveUnknownCreate(record.mId), asio::detached);
  }
  co_return SubmitOutcome::Unknown;
}

/// Runs a step whose creation had an unknown outcome, once its record is found
/// in the store.
Awaitable<void> StepService::ResolveUnknownCreate(std::string aId)
{
  const TimePoint deadline = mContext.mClock() + kResolveTimeout;
  asio::steady_timer timer(mContext.mExecutor);
  bool resolved = false;
  while (!resolved && mContext.mClock() < deadline) {
    timer.expires_after(kResolveInterval);
    co_await timer.async_wait(asio::use_awaitable);
    const auto record = co_await mContext.mStepStore.Load(aId);
    if (record.has_value() && record->has_value()) {
      resolved = true;
      if ((*record)->mOwner == mContext.mOwner &&
          !mRunner.IsRunning(**record)) {
        co_await AdoptStored(**record);
      }
    }
  }
  mUnknownCreates.erase(aId);
}

/// Runs a step if a claim to it whose outcome is unknown has made this process
/// its owner. The claim was made on the condition that the record has
/// aRevision, so it cannot take effect after a change.
Awaitable<void> StepService::ResolveUnknownClaim(std::string aId,
                                                 int64_t aRevision)
{
  const TimePoint deadline = mContext.mClock() + kResolveTimeout;
  asio::steady_timer timer(mContext.mExecutor);
  bool resolved = false;
  while (!resolved && mContext.mClock() < deadline) {
    timer.expires_after(kResolveInterval);
    co_await timer.async_wait(asio::use_awaitable);
    const auto record = co_await mContext.mStepStore.Load(aId);
    resolved = record.has_value() &&
               (!record->has_value() || (*record)->mRevision != aRevision);
    if (resolved && record->has_value() && !(*record)->mEnded &&
        (*record)->mOwner == mContext.mOwner && !mRunner.IsRunning(**record)) {
      LogEvent("claim_found").Field("step", aId).Write();
      co_await AdoptStored(**record);
    }
  }
  mUnknownClaims.erase(aId);
}

/// The number of results that a page holds which begins with the first one.
size_t StepService::PageLength(std::span<const ItemResult> aResults) const
{
  size_t bytes = 0;
  size_t length = 0;
  for (const ItemResult& result : aResults) {
    bytes += result.mText.size();
    if (length > 0 && bytes > mOptions.mMaxPageBytes) {
      break;
    }
    ++length;
  }
  return length;
}

/// Makes a page of results; the first of aResults has the position aFrom.
ResultPage StepService::MakePage(std::span<const ItemResult> aResults,
                                 size_t aTotal,
                                 size_t aFrom) const
{
  const auto listed = aResults.first(PageLength(aResults));
  ResultPage page;
  page.mTotalItems = aTotal;
  page.mResults.assign(listed.begin(), listed.end());
  page.mNextPosition = aFrom + listed.size();
  return page;
}

Awaitable<Result<ResultPage>> StepService::Read(std::string aId,
                                                std::string aAccount,
                                                size_t aFrom,
                                                Milliseconds aMaxWait)
{
  const TimePoint start = mContext.mClock();
  const std::string id = aId;
  ReadTrace trace;
  auto page = co_await ReadPage(
    std::move(aId), std::move(aAccount), aFrom, aMaxWait, trace);
  const auto duration =
    std::chrono::duration_cast<Milliseconds>(mContext.mClock() - start);
  LogEvent event("step_read",
                 page.has_error() ? LogLevel::Warning : LogLevel::Info);
  event.Field("step", id)
    .Field("from", static_cast<uint64_t>(aFrom))
    .Field("wait_ms", static_cast<int64_t>(aMaxWait.count()))
    .Field("ms", static_cast<int64_t>(duration.count()))
    .Field("source", trace.mSource)
    .Field("log_reads", trace.mLogReads)
    .Field("log_entries", trace.mLogEntries)
    .Field("log_bytes", static_cast<uint64_t>(trace.mLogBytes));
  if (page.has_error()) {
    event.Field("result", FormatError(page.error()));
  } else {
    event.Field("listed", static_cast<uint64_t>(page->mResults.size()))
      .Field("total", static_cast<uint64_t>(page->mTotalItems));
  }
  event.Write();
  co_return page;
}

Awaitable<Result<ResultPage>> StepService::ReadPage(std::string aId,
                                                    std::string aAccount,
                                                    size_t aFrom,
                                                    Milliseconds aMaxWait,
                                                    ReadTrace& aTrace)
{
  const TimePoint deadline = mContext.mClock() + aMaxWait;
  const OwnedStepPtr owned = mRunner.Find(aId);
  if (owned && !owned->MayLackResults(mContext.mClock())) {
    if (owned->mRecord.mAccount != aAccount) {
      co_return StepNotFound(aId);
    }
    co_await mRunner.AwaitResults(owned, aFrom, aMaxWait);
    if (!owned->MayLackResults(mContext.mClock())) {
      co_return MakePage(ResultsFrom(owned->mCommittedResults, aFrom),
                         owned->mItems.size(),
                         aFrom);
    }
  }
  const auto remaining =
    std::chrono::duration_cast<Milliseconds>(deadline - mContext.mClock());
  co_return co_await ReadFromStore(
    std::move(aId), std::move(aAccount), aFrom, remaining, aTrace);
}

/// Loads the index of a step's log, and with it the record; std::nullopt if
/// there is no index.
Awaitable<Result<std::optional<StepRecord>>> StepService::LoadIndex(
  CachedStepPtr aStep,
  std::string aId)
{
  auto log = co_await mContext.mStepStore.LoadIndexedLog(std::move(aId));
  if (log.has_error()) {
    co_return log.error();
  }
  aStep->mIndexReadAt = mContext.mClock();
  if (!log->has_value()) {
    co_return std::optional<StepRecord>();
  }
  aStep->mIndex = std::move((*log)->mIndex);
  co_return std::optional(std::move((*log)->mRecord));
}

/// Loads the record of a step, or what the index of its log tells of it, which
/// saves a call; std::nullopt if there is none.
Awaitable<Result<std::optional<StepRecord>>>
StepService::LoadRecord(CachedStepPtr aStep, std::string aId, bool aWithIndex)
{
  if (aWithIndex) {
    auto record = co_await LoadIndex(aStep, aId);
    if (record.has_error() || record->has_value()) {
      co_return record;
    }
  }
  co_return co_await mContext.mStepStore.Load(std::move(aId));
}

/// Finds a step of the account in the cache or the store, with the index of its
/// log if it is not in the cache and aWithIndex is set.
Awaitable<Result<StepService::CachedStepPtr>>
StepService::Lookup(std::string aId, std::string aAccount, bool aWithIndex)
{
  auto found = mCache.find(aId);
  if (found == mCache.end()) {
    auto step = std::make_shared<CachedStep>();
    auto record = co_await LoadRecord(step, aId, aWithIndex);
    if (record.has_error()) {
      co_return record.error();
    }
    if (!record->has_value()) {
      co_return StepNotFound(aId);
    }
    step->mRecord = std::move(**record);
    found = mCache.try_emplace(aId, std::move(step)).first;
  }
  const CachedStepPtr step = found->second;
  if (step->mRecord.mAccount != aAccount) {
    co_return StepNotFound(aId);
  }
  step->mLastUsed = mContext.mClock();
  TrimCache();
  co_return step;
}

void StepService::TrimCache()
{
  size_t bytes = 0;
  for (const auto& [id, step] : mCache) {
    bytes += step->Bytes();
  }
  while (bytes > mOptions.mMaxCachedBytes && mCache.size() > 1) {
    const auto oldest = std::min_element(
      mCache.begin(), mCache.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second->mLastUsed < aRight.second->mLastUsed;
      });
    bytes -= oldest->second->Bytes();
    mCache.erase(oldest);
  }
}

/// Returns the results that are known if they reach a position, otherwise new
/// ones that begin at the entry with that position.
Awaitable<Result<StepService::LogWindowPtr>> StepService::OpenLog(
  CachedStepPtr aStep,
  size_t aFrom)
{
  const LogWindowPtr known = aStep->mLog;
  if (known->mFirst <= aFrom && aFrom <= known->End()) {
    co_return known;
  }
  const bool isCurrent =
    mContext.mClock() - aStep->mIndexReadAt <= kMaxCacheAge;
  if (aFrom > 0 && aStep->mIndex.ResultCount() <= aFrom && !isCurrent) {
    const auto loaded = co_await LoadIndex(aStep, aStep->mRecord.mId);
    if (loaded.has_error()) {
      co_return loaded.error();
    }
  }
  const LogPosition start = aStep->mIndex.Find(aFrom);
  if (known->mFirst <= aFrom && known->mNextEntry >= start.mEntry) {
    co_return known;
  }
  auto opened = std::make_shared<LogWindow>();
  opened->mFirst = start.mResult;
  opened->mNextEntry = start.mEntry;
  aStep->mLog = opened;
  co_return opened;
}

/// Reads some of the log entries that follow the known results.
Awaitable<Result<StepService::LogRead>> StepService::ReadNewResults(
  std::string aId,
  LogWindowPtr aLog,
  ReadTrace& aTrace)
{
  const uint32_t from = aLog->mNextEntry;
  ++aTrace.mLogReads;
  auto part = co_await mContext.mStepStore.ReadLog(std::move(aId), from);
  if (part.has_error()) {
    co_return part.error();
  }
  aLog->mReadAt = mContext.mClock();
  const LogRead read{ part->EntryCount() > 0, part->mRevision };
  if (aLog->mNextEntry != from) {
    co_return read; // A concurrent call has added these entries already.
  }
  aLog->mNextEntry += part->EntryCount();
  aTrace.mLogEntries += part->EntryCount();
  for (ItemResult& result : part->mResults) {
    aTrace.mLogBytes += result.mText.size();
    aLog->mBytes += result.mText.size();
    aLog->mResults.push_back(std::move(result));
  }
  co_return read;
}

Awaitable<Result<ResultPage>> StepService::ReadFromStore(std::string aId,
                                                         std::string aAccount,
                                                         size_t aFrom,
                                                         Milliseconds aMaxWait,
                                                         ReadTrace& aTrace)
{
  const TimePoint deadline = mContext.mClock() + aMaxWait;
  aTrace.mSource = mCache.contains(aId) ? "cache" : "store";
  const auto found = co_await Lookup(aId, std::move(aAccount), aFrom > 0);
  if (found.has_error()) {
    co_return found.error();
  }
  const size_t total = (*found)->mRecord.mItemCount;
  if (aFrom >= total) {
    co_return MakePage({}, total, aFrom);
  }
  const auto opened = co_await OpenLog(*found, aFrom);
  if (opened.has_error()) {
    co_return opened.error();
  }
  const LogWindowPtr& log = *opened;
  const bool isOld =
    mContext.mClock() - log->mReadAt > kMaxCacheAge && log->End() < total;
  if (isOld && log->End() > aFrom) {
    // After an error, the results that are known are a page, too.
    co_await ReadNewResults(aId, log, aTrace);
  }
  while (log->End() <= aFrom) {
    const auto read = co_await ReadNewResults(aId, log, aTrace);
    if (read.has_error()) {
      co_return read.error();
    }
    if (log->End() > aFrom || read->mHadEntries) {
      continue;
    }
    const auto remaining =
      std::chrono::duration_cast<Milliseconds>(deadline - mContext.mClock());
    if (remaining < kMinLogWait) {
      break;
    }
    const auto changed = co_await mContext.mStepStore.AwaitLog(
      aId, read->mRevision, std::min(remaining, Milliseconds(kMaxLogWait)));
    if (changed.has_error() || !*changed) {
      break;
    }
  }
  co_return MakePage(
    ResultsFrom(log->mResults, aFrom - log->mFirst), total, aFrom);
}

Awaitable<Result<std::string>> StepService::ItemBody(std::string aId,
                                                     std::string aAccount,
                                                     std::string aItem)
{
  const auto find =
    [&](const std::vector<StepItem>& aItems) -> Result<std::string> {
    for (const StepItem& item : aItems) {
      if (item.mId == aItem) {
        return item.mBody;
      }
    }
    return ItemNotFound(aItem);
  };
  if (const OwnedStepPtr owned = mRunner.Find(aId)) {
    if (owned->mRecord.mAccount != aAccount) {
      co_return StepNotFound(aId);
    }
    if (!owned->mBodiesDropped) {
      co_return find(owned->mItems);
    }
  }
  const auto found =
    co_await Lookup(std::move(aId), std::move(aAccount), false);
  if (found.has_error()) {
    co_return found.error();
  }
  const CachedStepPtr& step = *found;
  if (step->mRecord.mChunkCount > kMaxCachedChunks) {
    auto item = co_await mContext.mStepStore.LoadItem(step->mRecord, aItem);
    if (item.has_error()) {
      co_return item.error();
    }
    if (!item->has_value()) {
      co_return ItemNotFound(aItem);
    }
    co_return std::move((*item)->mBody);
  }
  if (step->mItems.empty()) {
    auto items = co_await mContext.mStepStore.LoadItems(step->mRecord);
    if (items.has_error()) {
      co_return items.error();
    }
    step->mItems = std::move(*items);
    step->mItemBytes = SizeInBytes(step->mItems);
  }
  co_return find(step->mItems);
}

Awaitable<Result<bool>> StepService::End(std::string aId, std::string aAccount)
{
  for (unsigned attempt = 0; attempt < kMaxEndAttempts; ++attempt) {
    const auto record = co_await mContext.mStepStore.Load(aId);
    if (record.has_error()) {
      co_return record.error();
    }
    if (!record->has_value() || (*record)->mAccount != aAccount) {
      co_return StepNotFound(aId);
    }
    bool ended = (*record)->mEnded;
    if (!ended) {
      StepRecord change = **record;
      change.mEnded = true;
      const auto replaced =
        co_await mContext.mStepStore.Replace(std::move(change));
      if (replaced.has_error()) {
        co_return replaced.error();
      }
      ended = replaced->has_value();
    }
    if (ended) {
      if (const OwnedStepPtr owned = mRunner.Find(aId)) {
        owned->mLogIsAhead = owned->mLogIsAhead ||
                             (!owned->IsComplete() &&
                              (*record)->mRevision != owned->mRecord.mRevision);
        mRunner.Stop(owned, false);
      }
      co_return true;
    }
  }
  co_return Error{ ErrorKind::Unavailable,
                   "the step's record keeps changing",
                   "retry" };
}

void StepService::LogMemoryShortage(std::string_view aEvent,
                                    const std::string& aId) const
{
  LogEvent(aEvent, LogLevel::Warning)
    .Field("step", aId)
    .Field("error", "the items of other steps take the memory of this host")
    .Field("used", static_cast<uint64_t>(mContext.mItemBudget->Used()))
    .Write();
}

/// Runs a step from its stored state. The record must name this process as the
/// owner. Returns whether the state could be loaded.
Awaitable<bool> StepService::AdoptStored(StepRecord aRecord)
{
  auto items = co_await mContext.mStepStore.LoadItems(aRecord);
  auto log = co_await mContext.mStepStore.ReadWholeLog(aRecord);
  if (items.has_error() || log.has_error()) {
    LogEvent("step_not_adopted", LogLevel::Warning)
      .Field("step", aRecord.mId)
      .Field("error",
             FormatError(items.has_error() ? items.error() : log.error()))
      .Write();
    mNeedsRecovery = true;
    co_return false;
  }
  MemoryReservation memory(mContext.mItemBudget);
  if (!memory.Grow(SizeInBytes(*items))) {
    LogMemoryShortage("step_not_adopted", aRecord.mId);
    mNeedsRecovery = true;
    co_return false;
  }
  // An error is ignored, since without partial samples the items are only
  // generated from the beginning.
  auto partials = co_await mContext.mStepStore.LoadPartials(aRecord.mId);
  mRunner.StopOldCopy(aRecord);
  if (!mRunner.IsRunning(aRecord)) {
    mCache.erase(aRecord.mId);
    mRunner.Adopt(std::move(aRecord),
                  std::move(*items),
                  std::move(memory),
                  std::move(*log),
                  partials.has_value() ? std::move(*partials)
                                       : std::vector<PartialSample>());
  }
  co_return true;
}

/// Makes this process the owner of a step and runs it. Returns false if that
/// must be retried; true also if another process took the step over first.
Awaitable<bool> StepService::TakeOver(StepRecord aRecord)
{
  const std::string previousOwner = aRecord.mOwner;
  if (previousOwner != mContext.mOwner) {
    aRecord.mOwner = mContext.mOwner;
    const auto claimed = co_await mContext.mStepStore.Replace(aRecord);
    if (claimed.has_error()) {
      const bool mayBeOwner = claimed.error().mExecution != Execution::NotRun;
      if (mayBeOwner && mUnknownClaims.insert(aRecord.mId).second) {
        asio::co_spawn(mContext.mExecutor,
                       ResolveUnknownClaim(aRecord.mId, aRecord.mRevision),
                       asio::detached);
      }
      co_return false;
    }
    if (!claimed->has_value()) {
      co_return true;
    }
    aRecord = **claimed;
  } else {
    // The record may be older than the end of the step.
    const auto current = co_await mContext.mStepStore.Load(aRecord.mId);
    if (current.has_error()) {
      co_return false;
    }
    if (!current->has_value() || (*current)->mEnded ||
        (*current)->mOwner != mContext.mOwner) {
      co_return true;
    }
    aRecord = **current;
  }
  mRunner.StopOldCopy(aRecord);
  LogEvent("step_taken_over")
    .Field("step", aRecord.mId)
    .Field("account", aRecord.mAccount)
    .Field("owner", previousOwner)
    .Write();
  co_return co_await AdoptStored(std::move(aRecord));
}

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

void StepService::UpdatePeakItems(const std::vector<StepRecord>& aRecords)
{
  std::map<std::pair<std::string, std::string>, std::vector<ActiveStep>> steps;
  const auto& config = mContext.mView.Config();
  for (const StepRecord& record : aRecords) {
    const int64_t age = mContext.mWallClock() - record.mSubmittedMs;
    const fleet::Route* route =
      config ? config->FindRoute(record.mHttpHost, record.mPath) : nullptr;
    if (route == nullptr || age >= mOptions.mDemandWindow.count()) {
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
void StepService::UpdateDemand(const std::vector<StepRecord>& aRecords)
{
  const auto& config = mContext.mView.Config();
  std::vector<policy::RecentStep> recent;
  std::set<std::string_view> ids;
  mTokenDemand.clear();
  mDemandRule = policy::RebalanceRule::Share;
  for (const StepRecord& record : aRecords) {
    const int64_t age = mContext.mWallClock() - record.mSubmittedMs;
    if (age >= mOptions.mDemandWindow.count()) {
      continue;
    }
    mTokenDemand[record.mModel] += static_cast<double>(record.mExpectedTokens);
    const fleet::Route* route =
      config ? config->FindRoute(record.mHttpHost, record.mPath) : nullptr;
    if (route == nullptr) {
      continue;
    }
    ids.insert(record.mId);
    recent.push_back(ObserveStep(record, *route));
    for (const fleet::WeightedService& service : route->mServices) {
      if (mContext.mPool.ReportsPace(service.mService)) {
        mDemandRule = policy::RebalanceRule::Gain;
      }
    }
  }
  std::erase_if(mOpenTimes,
                [&](const auto& aItem) { return !ids.contains(aItem.first); });
  if (mDemandRule == policy::RebalanceRule::Gain) {
    mTokenDemand = policy::DemandByLateness(recent);
  }
}

/// The time for which a step was open. The record does not tell when it was
/// ended: it was between the last look that found it open and the first one
/// that found it ended, and usually before its results were due.
policy::RecentStep StepService::ObserveStep(const StepRecord& aRecord,
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

/// Whether nobody runs a step although its record names this process as the
/// owner. A copy in memory may be of the time before another process owned it.
bool StepService::IsOrphan(const StepRecord& aRecord) const
{
  const OwnedStepPtr step = mRunner.Find(aRecord.mId);
  const bool isComplete = step && step->mStopped && step->IsComplete();
  return !isComplete && !mRunner.IsRunning(aRecord) &&
         !mUnknownCreates.contains(aRecord.mId);
}

Awaitable<bool> StepService::Recover(
  std::set<std::string> aLiveOwners,
  std::function<bool(const StepRecord&)> aIsResponsible,
  bool aDeleteExpired)
{
  const auto records = co_await mContext.mStepStore.List();
  if (records.has_error()) {
    co_return false;
  }
  if (aDeleteExpired) {
    // What cannot be deleted now is deleted by a later call.
    co_await mContext.mStepStore.DeleteAbandonedItems(
      mContext.mWallClock() - mOptions.mAbandonedItemsRetention.count());
  }
  bool complete = true;
  mNeedsRecovery = false;
  UpdateDemand(*records);
  UpdatePeakItems(*records);
  for (const StepRecord& record : *records) {
    const int64_t age = mContext.mWallClock() - record.mSubmittedMs;
    if (aDeleteExpired && record.mEnded && age > mOptions.mRetention.count()) {
      const auto index = co_await mContext.mStepStore.LoadWholeIndex(record);
      if (index.has_value()) {
        co_await mContext.mStepStore.Delete(record, index->EntryCount());
      }
      continue;
    }
    const bool own = record.mOwner == mContext.mOwner;
    const bool orphan =
      own ? IsOrphan(record)
          : !aLiveOwners.contains(record.mOwner) && aIsResponsible(record);
    if (record.mEnded || !orphan) {
      continue;
    }
    if (own) {
      // The step may only be gone from memory because it was complete and its
      // retention has passed; its results tell whether it is.
      const auto index = co_await mContext.mStepStore.LoadWholeIndex(record);
      if (index.has_error() || index->ResultCount() >= record.mItemCount) {
        complete = complete && index.has_value();
        continue;
      }
    }
    const bool taken = co_await TakeOver(record);
    complete = complete && taken;
  }
  co_return complete;
}

} // namespace agatetide::steps
