#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/base/error.hpp"
#include "agatetide/coordination/store.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace agatetide::entry {

struct IgnoredEntriesOptions
{
  /// Keys that are remembered, and so the lines in one interval.
  size_t mMaxKeys = 256;
  /// A key is logged once in this time.
  Milliseconds mInterval{ 10000 };
};

/// @brief Logs entries of the store that are malformed: each revision of a key
/// once at most, and a bounded number of lines, whatever others write. Not
/// thread-safe.
class IgnoredEntries
{
public:
  explicit IgnoredEntries(Clock aClock, IgnoredEntriesOptions aOptions = {});

  /// @brief Logs an entry as aEvent, or counts it for a later line. Returns
  /// whether it was logged.
  bool Log(std::string_view aEvent,
           const coordination::StoreEntry& aEntry,
           const Error& aError);

private:
  struct Ignored
  {
    int64_t mRevision = 0;
    TimePoint mLoggedAt{};
  };

  bool MayLog(const coordination::StoreEntry& aEntry);

  Clock mClock;
  IgnoredEntriesOptions mOptions;
  std::map<std::string, Ignored, std::less<>> mKeys;
  /// Entries that were not logged since the last line.
  uint64_t mSuppressed = 0;
};

} // namespace agatetide::entry
