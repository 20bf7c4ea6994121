#include "agatetide/coordination/watch_history.hpp"

#include <algorithm>

namespace agatetide::coordination {

namespace {

size_t BytesOf(const StoreChange& aChange)
{
  return aChange.mEntry.mKey.size() + aChange.mEntry.mValue.size();
}

} // namespace

std::optional<TimePoint> WatchFreshAsOf(const WatchReply& aReply,
                                        TimePoint aSent,
                                        TimePoint aNow,
                                        std::chrono::milliseconds aWait)
{
  constexpr std::chrono::milliseconds kCutMargin{ 100 };
  if (aReply.mFreshAsOf) {
    return aReply.mFreshAsOf;
  }
  const bool whole =
    !aReply.mChanges.empty() || aNow - aSent + kCutMargin >= aWait;
  return whole && !aReply.mCompacted ? std::optional(aSent) : std::nullopt;
}

WatchHistory::WatchHistory(WatchHistoryOptions aOptions)
  : mOptions(aOptions)
{
}

void WatchHistory::Record(int64_t aAfter, const WatchReply& aReply)
{
  if (aReply.mCompacted) {
    mKnown = false;
    return;
  }
  if (!mKnown || aAfter != mRevision) {
    mChanges.clear();
    mBytes = 0;
    mStart = aAfter;
    mRevision = aAfter;
    mKnown = true;
  }
  for (const StoreChange& change : aReply.mChanges) {
    mBytes += BytesOf(change);
    mChanges.push_back(change);
  }
  mRevision = std::max(mRevision, aReply.mRevision);
  if (aReply.mFreshAsOf) {
    mFreshAsOf = std::max(mFreshAsOf, *aReply.mFreshAsOf);
  }
  Trim();
}

void WatchHistory::Trim()
{
  while (mChanges.size() > mOptions.mMaxChanges ||
         (mBytes > mOptions.mMaxBytes && !mChanges.empty())) {
    const StoreChange& oldest = mChanges.front();
    mStart = std::max(mStart, oldest.mEntry.mModRevision);
    mBytes -= BytesOf(oldest);
    mChanges.pop_front();
  }
  // One revision may hold several changes: it is kept whole or not at all.
  while (!mChanges.empty() && mChanges.front().mEntry.mModRevision <= mStart) {
    mBytes -= BytesOf(mChanges.front());
    mChanges.pop_front();
  }
}

std::vector<StoreChange> WatchHistory::ChangesAfter(int64_t aAfter) const
{
  std::vector<StoreChange> changes;
  for (const StoreChange& change : mChanges) {
    if (change.mEntry.mModRevision > aAfter) {
      changes.push_back(change);
    }
  }
  return changes;
}

} // namespace agatetide::coordination
