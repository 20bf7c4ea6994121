#include "agatetide/coordination/watch_history.hpp"

#include <algorithm>

namespace agatetide::coordination {

namespace {

size_t SizeInBytes(const StoreChange& aChange)
{
  return aChange.mEntry.mKey.size() + aChange.mEntry.mValue.size();
}

} // namespace

std::optional<TimePoint> WatchFreshAsOf(const WatchReply& aReply,
                                        TimePoint aSent,
                                        TimePoint aNow,
                                        std::chrono::milliseconds aWait)
{
  // A watch that ends at most this long before its wait time counts as full.
  constexpr std::chrono::milliseconds kEarlyEndMargin{ 100 };
  if (aReply.mFreshAsOf) {
    return aReply.mFreshAsOf;
  }
  const bool complete =
    !aReply.mChanges.empty() || aNow - aSent + kEarlyEndMargin >= aWait;
  return complete && !aReply.mCompacted ? std::optional(aSent) : std::nullopt;
}

WatchHistory::WatchHistory(WatchHistoryOptions aOptions)
  : mOptions(aOptions)
{
}

void WatchHistory::Record(int64_t aAfter, const WatchReply& aReply)
{
  if (aReply.mCompacted) {
    mStarted = false;
    return;
  }
  if (!mStarted || aAfter != mRevision) {
    mChanges.clear();
    mBytes = 0;
    mStart = aAfter;
    mRevision = aAfter;
    mStarted = true;
  }
  for (const StoreChange& change : aReply.mChanges) {
    mBytes += SizeInBytes(change);
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
    mBytes -= SizeInBytes(oldest);
    mChanges.pop_front();
  }
  // A revision may have several changes: keep all of them or none.
  while (!mChanges.empty() && mChanges.front().mEntry.mModRevision <= mStart) {
    mBytes -= SizeInBytes(mChanges.front());
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
