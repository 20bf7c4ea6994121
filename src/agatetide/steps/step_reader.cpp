#include "agatetide/steps/step_reader.hpp"

#include "agatetide/base/event_log.hpp"

#include <algorithm>

namespace agatetide::steps {

namespace {

/// Maximum duration of one watch of the log of another daemon's step.
constexpr std::chrono::milliseconds kMaxLogWait{ 1000 };
/// A watch is not worth its call for less.
constexpr std::chrono::milliseconds kMinLogWait{ 20 };
/// Items of other hosts' steps with more stored values are not cached.
constexpr uint32_t kMaxCachedChunks = 2;
/// When a large response may have been read.
constexpr Milliseconds kReadRetryDelay{ 1000 };
/// A page of results is made of what was read from the log within this time.
constexpr std::chrono::milliseconds kMaxCacheAge{ 500 };

Error ItemNotFound(const std::string& aItem)
{
  return { ErrorKind::NotFound,
           "the step has no item " + aItem,
           "check the item id" };
}

Error NoMemoryForItem()
{
  return { ErrorKind::Unavailable,
           "other responses take the memory of this host",
           "retry later, or at another host",
           Execution::NotRun,
           kReadRetryDelay };
}

size_t SizeInBytes(std::span<const ItemResult> aResults)
{
  size_t bytes = 0;
  for (const ItemResult& result : aResults) {
    bytes += result.mText.size();
  }
  return bytes;
}

} // namespace

Error StepNotFound(std::string_view aId)
{
  return { ErrorKind::NotFound,
           "step " + std::string(aId) + " does not exist",
           "check the step id and the key, or submit the step again" };
}

StepReader::StepReader(StepContext& aContext,
                       StepRunner& aRunner,
                       StepReaderOptions aOptions)
  : mContext(aContext)
  , mRunner(aRunner)
  , mOptions(aOptions)
  , mCache(aOptions.mMaxCachedBytes)
  , mLoads(aContext.mExecutor)
{
}

void StepReader::Forget(std::string_view aId)
{
  mCache.Remove(aId);
}

/// The number of results that a page holds which begins with the first one.
size_t StepReader::PageLength(std::span<const ItemResult> aResults) const
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
ResultPage StepReader::MakePage(std::span<const ItemResult> aResults,
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

Awaitable<Result<ResultPage>> StepReader::Read(std::string aId,
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

Awaitable<Result<ResultPage>> StepReader::ReadPage(std::string aId,
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
Awaitable<Result<std::optional<StepRecord>>> StepReader::LoadIndex(
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
StepReader::LoadRecord(CachedStepPtr aStep, std::string aId, bool aWithIndex)
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
Awaitable<Result<CachedStepPtr>> StepReader::Lookup(std::string aId,
                                                    std::string aAccount,
                                                    bool aWithIndex)
{
  CachedStepPtr step = mCache.Find(aId);
  if (step == nullptr) {
    step = std::make_shared<CachedStep>();
    auto record = co_await LoadRecord(step, aId, aWithIndex);
    if (record.has_error()) {
      co_return record.error();
    }
    if (!record->has_value()) {
      co_return StepNotFound(aId);
    }
    step->mRecord = std::move(**record);
    step = mCache.Add(std::move(step));
  }
  if (step->mRecord.mAccount != aAccount) {
    co_return StepNotFound(aId);
  }
  step->mLastUsed = mContext.mClock();
  mCache.Trim();
  co_return step;
}

/// Whether the index does not tell which entry has the result at a position,
/// and may have grown since it was read.
bool StepReader::MustLoadIndex(const CachedStep& aStep, size_t aFrom) const
{
  const bool isOld = mContext.mClock() - aStep.mIndexReadAt > kMaxCacheAge;
  return aFrom > 0 && aStep.mIndex.ResultCount() <= aFrom && isOld;
}

/// Returns the results that are known if they reach a position, otherwise new
/// ones that begin at the entry with that position.
Awaitable<Result<LogWindowPtr>> StepReader::OpenLog(CachedStepPtr aStep,
                                                    size_t aFrom)
{
  const LogWindowPtr known = aStep->mLog;
  const bool beginsBefore = known->mFirst <= aFrom;
  if (beginsBefore && aFrom <= known->End()) {
    co_return known;
  }
  if (MustLoadIndex(*aStep, aFrom)) {
    const auto loaded = co_await LoadIndex(aStep, aStep->mRecord.mId);
    if (loaded.has_error()) {
      co_return loaded.error();
    }
  }
  const LogPosition start = aStep->mIndex.Find(aFrom);
  const bool isContinued = known->mNextEntry >= start.mEntry;
  if (beginsBefore && isContinued) {
    co_return known;
  }
  auto opened = std::make_shared<LogWindow>();
  opened->mFirst = start.mResult;
  opened->mNextEntry = start.mEntry;
  aStep->mLog = opened;
  co_return opened;
}

/// Reads some of the log entries that follow the known results.
Awaitable<Result<StepReader::LogRead>> StepReader::ReadNewResults(
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

/// Whether known results are few for a page, and the log may have further ones.
bool StepReader::MustRefresh(const LogWindow& aLog,
                             size_t aFrom,
                             size_t aTotal) const
{
  const bool isKnown = aLog.End() > aFrom;
  const bool isOld = mContext.mClock() - aLog.mReadAt > kMaxCacheAge;
  const bool suffices =
    SizeInBytes(aLog.From(aFrom)) >= mOptions.mSufficientPageBytes;
  return isKnown && isOld && !suffices && aLog.End() < aTotal;
}

Awaitable<Result<ResultPage>> StepReader::ReadFromStore(std::string aId,
                                                        std::string aAccount,
                                                        size_t aFrom,
                                                        Milliseconds aMaxWait,
                                                        ReadTrace& aTrace)
{
  const TimePoint deadline = mContext.mClock() + aMaxWait;
  aTrace.mSource = mCache.Find(aId) != nullptr ? "cache" : "store";
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
  if (MustRefresh(*log, aFrom, total)) {
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
  co_return MakePage(log->From(aFrom), total, aFrom);
}

/// Loads the body of an item into memory that is reserved before.
Awaitable<Result<SharedBytes>> StepReader::LoadLargeItem(StepRecord aRecord,
                                                         std::string aItem)
{
  const auto position = co_await mContext.mStepStore.FindItem(aRecord, aItem);
  if (position.has_error()) {
    co_return position.error();
  }
  if (!position->has_value()) {
    co_return ItemNotFound(aItem);
  }
  MemoryReservation memory(mContext.mReadBudget);
  if (!memory.Grow(StepStore::LoadedBytesLimit(aRecord, **position))) {
    co_return NoMemoryForItem();
  }
  auto item = co_await mContext.mStepStore.LoadItem(
    std::move(aRecord), aItem, **position);
  if (item.has_error()) {
    co_return item.error();
  }
  if (!item->has_value()) {
    co_return ItemNotFound(aItem);
  }
  SharedBytes body = std::move((*item)->mBody);
  memory.ShrinkTo(body.size());
  body.SetMemory(std::move(memory));
  co_return body;
}

Awaitable<Result<SharedBytes>> StepReader::ItemBody(std::string aId,
                                                    std::string aAccount,
                                                    std::string aItem)
{
  const auto find =
    [&](const std::vector<StepItem>& aItems) -> Result<SharedBytes> {
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
    std::string key = step->mRecord.mId + "\n" + aItem;
    const SharedLoads::Load load = [this, record = step->mRecord, aItem] {
      return LoadLargeItem(record, aItem);
    };
    co_return co_await mLoads.Get(std::move(key), load);
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

} // namespace agatetide::steps
