#include "agatetide/entry/ignored_entries.hpp"

#include "agatetide/base/event_log.hpp"

#include <utility>

namespace agatetide::entry {

using coordination::StoreEntry;

IgnoredEntries::IgnoredEntries(Clock aClock, IgnoredEntriesOptions aOptions)
  : mClock(std::move(aClock))
  , mOptions(aOptions)
{
}

bool IgnoredEntries::Log(std::string_view aEvent,
                         const StoreEntry& aEntry,
                         const Error& aError)
{
  if (!MayLog(aEntry)) {
    return false;
  }
  LogEvent(aEvent, LogLevel::Warning)
    .Field("key", aEntry.mKey)
    .Field("revision", aEntry.mModRevision)
    .Field("error", FormatError(aError))
    .Field("suppressed", std::exchange(mSuppressed, 0))
    .Write();
  return true;
}

bool IgnoredEntries::MayLog(const StoreEntry& aEntry)
{
  const TimePoint now = mClock();
  const auto found = mKeys.find(aEntry.mKey);
  if (found != mKeys.end() && found->second.mRevision == aEntry.mModRevision) {
    return false;
  }
  const auto isOld = [&](const auto& aItem) {
    return now - aItem.second.mLoggedAt >= mOptions.mInterval;
  };
  if (found == mKeys.end() && mKeys.size() >= mOptions.mMaxKeys) {
    std::erase_if(mKeys, isOld);
  }
  const bool mayLog =
    found == mKeys.end() ? mKeys.size() < mOptions.mMaxKeys : isOld(*found);
  if (!mayLog) {
    ++mSuppressed;
    return false;
  }
  mKeys.insert_or_assign(aEntry.mKey, Ignored{ aEntry.mModRevision, now });
  return true;
}

} // namespace agatetide::entry
