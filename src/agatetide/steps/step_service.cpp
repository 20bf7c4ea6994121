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

constexpr std::chrono::milliseconds kResolvePause{ 400 };
/// A write without an answer may take effect this much later.
constexpr std::chrono::seconds kResolveTime{ 10 };
constexpr std::chrono::milliseconds kCreateRetryPause{ 100 };
/// Longest wait between two looks at the log of another daemon's step.
constexpr std::chrono::milliseconds kMaxLogWait{ 1000 };
constexpr unsigned kEndTries = 8;

Error UnknownStep(const std::string& aId)
{
  return { ErrorKind::NotFound,
           "step " + aId + " is not known",
           "check the step's id and the key, or hand the step in again" };
}

size_t BytesOf(const std::vector<StepItem>& aItems)
{
  size_t bytes = 0;
  for (const StepItem& item : aItems) {
    bytes += item.mBody.size();
    bytes += item.mScoring ? item.mScoring->mBody.size() : 0;
  }
  return bytes;
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
  if (const OwnedStepPtr own = mRunner.Find(aSubmission.mId);
      own && own->mRecord.mAccount == aSubmission.mAccount) {
    co_return SubmitOutcome::Accepted;
  }
  StepRecord record;
  record.mId = aSubmission.mId;
  record.mAccount = aSubmission.mAccount;
  record.mHost = aSubmission.mHost;
  record.mPath = aSubmission.mPath;
  record.mModel = aSubmission.mModel;
  record.mMinVersion = aSubmission.mMinVersion;
  record.mDesiredGroups = aSubmission.mDesiredGroups;
  for (const StepItem& item : aSubmission.mItems) {
    record.mExpectedTokens += item.mExpectedTokens;
  }
  record.mSubmitted = mContext.mWallClock();
  record.mOwner = mContext.mOwner;
  record.mRegion = mContext.mView.Region();
  asio::steady_timer timer(mContext.mExecutor);
  bool mayBeKept = false;
  CreateReply reply;
  for (;;) {
    reply = co_await mContext.mStore.Create(record, aSubmission.mItems);
    mayBeKept = mayBeKept || reply.mOutcome == CreateOutcome::Unknown;
    const bool decided = reply.mOutcome == CreateOutcome::Kept ||
                         reply.mOutcome == CreateOutcome::Exists;
    if (decided || mContext.mClock() + kCreateRetryPause >= aDeadline) {
      break;
    }
    timer.expires_after(kCreateRetryPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
  const bool own = (reply.mOutcome == CreateOutcome::Kept ||
                    reply.mOutcome == CreateOutcome::Exists) &&
                   reply.mRecord.mOwner == mContext.mOwner;
  Event("step_submitted")
    .Field("step", aSubmission.mId)
    .Field("account", aSubmission.mAccount)
    .Field("model", aSubmission.mModel)
    .Field("items", static_cast<uint64_t>(aSubmission.mItems.size()))
    .Field("min_version", aSubmission.mMinVersion)
    .Field("outcome",
           own                                       ? "accepted"
           : reply.mOutcome == CreateOutcome::Exists ? "known"
           : mayBeKept                               ? "unknown"
                                                     : "refused")
    .Field("reason", reply.mReason)
    .Write();
  if (reply.mOutcome == CreateOutcome::Exists &&
      reply.mRecord.mAccount != aSubmission.mAccount) {
    co_return SubmitOutcome::Refused;
  }
  if (own) {
    if (!mRunner.Find(record.mId)) {
      mRunner.Adopt(reply.mRecord, std::move(aSubmission.mItems), {}, {});
    }
    co_return SubmitOutcome::Accepted;
  }
  if (reply.mOutcome == CreateOutcome::Exists) {
    co_return SubmitOutcome::Accepted;
  }
  if (!mayBeKept) {
    co_return SubmitOutcome::Refused;
  }
  if (mUnresolved.insert(record.mId).second) {
    asio::co_spawn(
      mContext.mExecutor, ResolveUnknown(record.mId), asio::detached);
  }
  co_return SubmitOutcome::Unknown;
}

/// Runs a step whose create was not answered, once it turns out to be kept.
Awaitable<void> StepService::ResolveUnknown(std::string aId)
{
  const TimePoint limit = mContext.mClock() + kResolveTime;
  asio::steady_timer timer(mContext.mExecutor);
  bool resolved = false;
  while (!resolved && mContext.mClock() < limit) {
    timer.expires_after(kResolvePause);
    co_await timer.async_wait(asio::use_awaitable);
    const auto record = co_await mContext.mStore.Load(aId);
    if (record.has_value() && record->has_value()) {
      resolved = true;
      if ((*record)->mOwner == mContext.mOwner && !mRunner.Find(aId)) {
        co_await AdoptStored(**record);
      }
    }
  }
  mUnresolved.erase(aId);
}

ResultPage StepService::Answer(const std::vector<ItemResult>& aResults,
                               size_t aTotal,
                               size_t aFrom) const
{
  ResultPage answer;
  answer.mTotalItems = aTotal;
  size_t bytes = 0;
  size_t at = aFrom;
  while (at < aResults.size() && bytes < mOptions.mMaxAnswerBytes) {
    bytes += aResults[at].mText.size();
    answer.mResults.push_back(aResults[at]);
    ++at;
  }
  answer.mNextPosition = at;
  return answer;
}

Awaitable<Result<ResultPage>> StepService::Read(std::string aId,
                                                std::string aAccount,
                                                size_t aFrom,
                                                Milliseconds aWait)
{
  const OwnedStepPtr own = mRunner.Find(aId);
  if (!own || own->mSuperseded) {
    co_return co_await ReadStored(
      std::move(aId), std::move(aAccount), aFrom, aWait);
  }
  if (own->mRecord.mAccount != aAccount) {
    co_return UnknownStep(aId);
  }
  co_await mRunner.AwaitResults(own, aFrom, aWait);
  co_return Answer(own->mListed, own->mItems.size(), aFrom);
}

Awaitable<Result<StepService::CachedStepPtr>> StepService::Lookup(
  std::string aId,
  std::string aAccount)
{
  auto found = mCache.find(aId);
  if (found == mCache.end()) {
    const auto record = co_await mContext.mStore.Load(aId);
    if (record.has_error()) {
      co_return record.error();
    }
    if (!record->has_value()) {
      co_return UnknownStep(aId);
    }
    auto step = std::make_shared<CachedStep>();
    step->mRecord = **record;
    found = mCache.try_emplace(aId, std::move(step)).first;
  }
  const CachedStepPtr step = found->second;
  if (step->mRecord.mAccount != aAccount) {
    co_return UnknownStep(aId);
  }
  step->mUsed = mContext.mClock();
  TrimCache();
  co_return step;
}

void StepService::TrimCache()
{
  size_t bytes = 0;
  for (const auto& [id, step] : mCache) {
    bytes += step->mBytes;
  }
  while (bytes > mOptions.mMaxCachedBytes && mCache.size() > 1) {
    const auto oldest = std::min_element(
      mCache.begin(), mCache.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second->mUsed < aRight.second->mUsed;
      });
    bytes -= oldest->second->mBytes;
    mCache.erase(oldest);
  }
}

/// Reads what the log has beyond the cached results.
Awaitable<Result<bool>> StepService::Extend(CachedStepPtr aStep,
                                            int64_t& aRevision)
{
  const uint32_t from = aStep->mEntries;
  auto part = co_await mContext.mStore.ReadLog(aStep->mRecord.mId, from);
  if (part.has_error()) {
    co_return part.error();
  }
  aRevision = part->mRevision;
  if (aStep->mEntries != from) {
    co_return true; // Another read has extended it meanwhile.
  }
  aStep->mEntries += part->mEntries;
  for (ItemResult& result : part->mResults) {
    aStep->mBytes += result.mText.size();
    aStep->mResults.push_back(std::move(result));
  }
  co_return true;
}

Awaitable<Result<ResultPage>> StepService::ReadStored(std::string aId,
                                                      std::string aAccount,
                                                      size_t aFrom,
                                                      Milliseconds aWait)
{
  const TimePoint limit = mContext.mClock() + aWait;
  const auto found = co_await Lookup(std::move(aId), std::move(aAccount));
  if (found.has_error()) {
    co_return found.error();
  }
  const CachedStepPtr& step = *found;
  const size_t total = step->mRecord.mItems;
  while (step->mResults.size() <= aFrom && step->mResults.size() < total) {
    int64_t revision = 0;
    const auto extended = co_await Extend(step, revision);
    if (extended.has_error()) {
      co_return extended.error();
    }
    const auto left =
      std::chrono::duration_cast<Milliseconds>(limit - mContext.mClock());
    if (step->mResults.size() > aFrom || left < Milliseconds(20)) {
      break;
    }
    const auto news = co_await mContext.mStore.AwaitLog(
      step->mRecord.mId, revision, std::min(left, Milliseconds(kMaxLogWait)));
    if (news.has_error() || !*news) {
      break;
    }
  }
  co_return Answer(step->mResults, total, aFrom);
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
    return Error{ ErrorKind::NotFound,
                  "the step has no item " + aItem,
                  "check the item's id" };
  };
  if (const OwnedStepPtr own = mRunner.Find(aId)) {
    if (own->mRecord.mAccount != aAccount) {
      co_return UnknownStep(aId);
    }
    co_return find(own->mItems);
  }
  const auto found = co_await Lookup(std::move(aId), std::move(aAccount));
  if (found.has_error()) {
    co_return found.error();
  }
  const CachedStepPtr& step = *found;
  if (step->mItems.empty()) {
    auto items = co_await mContext.mStore.LoadItems(step->mRecord);
    if (items.has_error()) {
      co_return items.error();
    }
    if (step->mItems.empty()) {
      step->mItems = std::move(*items);
      step->mBytes += BytesOf(step->mItems);
    }
  }
  co_return find(step->mItems);
}

Awaitable<Result<bool>> StepService::End(std::string aId, std::string aAccount)
{
  for (unsigned tries = 0; tries < kEndTries; ++tries) {
    const auto record = co_await mContext.mStore.Load(aId);
    if (record.has_error()) {
      co_return record.error();
    }
    if (!record->has_value() || (*record)->mAccount != aAccount) {
      co_return UnknownStep(aId);
    }
    bool ended = (*record)->mEnded;
    if (!ended) {
      StepRecord change = **record;
      change.mEnded = true;
      const auto replaced = co_await mContext.mStore.Replace(std::move(change));
      if (replaced.has_error()) {
        co_return replaced.error();
      }
      ended = replaced->has_value();
    }
    if (ended) {
      if (const OwnedStepPtr own = mRunner.Find(aId)) {
        mRunner.Stop(own, false);
      }
      co_return true;
    }
  }
  co_return Error{ ErrorKind::Unavailable,
                   "the step's record keeps changing",
                   "retry" };
}

/// Runs a step whose record names this process. Returns whether it runs.
Awaitable<bool> StepService::AdoptStored(StepRecord aRecord)
{
  auto items = co_await mContext.mStore.LoadItems(aRecord);
  auto log = co_await mContext.mStore.ReadLog(aRecord.mId, 0);
  if (items.has_error() || log.has_error()) {
    Event("step_not_adopted", LogLevel::Warning)
      .Field("step", aRecord.mId)
      .Field("error",
             FormatError(items.has_error() ? items.error() : log.error()))
      .Write();
    mUnfinished = true;
    co_return false;
  }
  // Without the partial samples the step only repeats work.
  auto partials = co_await mContext.mStore.LoadPartials(aRecord.mId);
  if (!mRunner.Find(aRecord.mId)) {
    mRunner.Adopt(std::move(aRecord),
                  std::move(*items),
                  std::move(*log),
                  partials.has_value() ? std::move(*partials)
                                       : std::vector<PartialSample>());
  }
  co_return true;
}

/// Returns whether the step runs here or at the process that was faster.
Awaitable<bool> StepService::TakeOver(StepRecord aRecord)
{
  const std::string before = aRecord.mOwner;
  if (before != mContext.mOwner) {
    aRecord.mOwner = mContext.mOwner;
    const auto claimed = co_await mContext.mStore.Replace(aRecord);
    if (claimed.has_error()) {
      co_return false;
    }
    if (!claimed->has_value()) {
      co_return true;
    }
    aRecord = **claimed;
  }
  Event("step_taken_over")
    .Field("step", aRecord.mId)
    .Field("account", aRecord.mAccount)
    .Field("owner", before)
    .Write();
  mCache.erase(aRecord.mId);
  co_return co_await AdoptStored(std::move(aRecord));
}

namespace {

/// A step as it asks for places at replicas.
struct OpenStep
{
  int64_t mSubmitted = 0;
  Milliseconds mDue{ 0 };
  unsigned mItems = 0;
};

/// The most items that one model's steps had open at once. A step counts for
/// the time in which its results are due.
unsigned MostItemsAtOnce(std::span<const OpenStep> aSteps)
{
  unsigned most = 0;
  for (const OpenStep& last : aSteps) {
    unsigned items = 0;
    for (const OpenStep& step : aSteps) {
      const int64_t before = last.mSubmitted - step.mSubmitted;
      items += before >= 0 && before < step.mDue.count() ? step.mItems : 0;
    }
    most = std::max(most, items);
  }
  return most;
}

} // namespace

void StepService::CountItems(const std::vector<StepRecord>& aRecords)
{
  std::map<std::pair<std::string, std::string>, std::vector<OpenStep>> steps;
  const auto& config = mContext.mView.Config();
  for (const StepRecord& record : aRecords) {
    const int64_t age = mContext.mWallClock() - record.mSubmitted;
    const fleet::Route* route =
      config ? config->FindRoute(record.mHost, record.mPath) : nullptr;
    if (route == nullptr || age >= mOptions.mDemandTime.count()) {
      continue;
    }
    for (const fleet::WeightedService& service : route->mServices) {
      steps[{ service.mService, record.mModel }].push_back(
        { record.mSubmitted, route->mResultTimeout, record.mItems });
    }
  }
  mItemsAtOnce.clear();
  for (const auto& [key, ofModel] : steps) {
    mItemsAtOnce[key.first] += MostItemsAtOnce(ofModel);
  }
}

Awaitable<bool> StepService::Recover(
  std::set<std::string> aLive,
  std::function<bool(const StepRecord&)> aMine,
  bool aCollect)
{
  const auto records = co_await mContext.mStore.List();
  if (records.has_error()) {
    co_return false;
  }
  bool seen = true;
  mUnfinished = false;
  mDemand.clear();
  CountItems(*records);
  for (const StepRecord& record : *records) {
    const int64_t age = mContext.mWallClock() - record.mSubmitted;
    if (age < mOptions.mDemandTime.count()) {
      mDemand[record.mModel] += static_cast<double>(record.mExpectedTokens);
    }
    if (aCollect && record.mEnded && age > mOptions.mRetention.count()) {
      const auto log = co_await mContext.mStore.ReadLog(record.mId, 0);
      if (log.has_value()) {
        co_await mContext.mStore.Delete(record, log->mEntries);
      }
      continue;
    }
    const bool own = record.mOwner == mContext.mOwner;
    const bool orphan =
      own ? !mRunner.Find(record.mId) && !mUnresolved.contains(record.mId)
          : !aLive.contains(record.mOwner) && aMine(record);
    if (record.mEnded || !orphan) {
      continue;
    }
    int64_t revision = 0;
    if (own) {
      // Dropped after it was whole, unless the log says otherwise.
      auto cached = std::make_shared<CachedStep>();
      cached->mRecord = record;
      const auto extended = co_await Extend(cached, revision);
      if (extended.has_error() || cached->mResults.size() >= record.mItems) {
        seen = seen && extended.has_value();
        continue;
      }
    }
    const bool taken = co_await TakeOver(record);
    seen = seen && taken;
  }
  co_return seen;
}

} // namespace agatetide::steps
