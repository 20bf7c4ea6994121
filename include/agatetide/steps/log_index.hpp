#pragma once

#include "agatetide/steps/step.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::steps {

/// @brief A place in the log of a step from which it can be read.
struct LogPosition
{
  uint32_t mEntry = 0;
  /// Position of the entry's first result.
  size_t mResult = 0;
};

struct IndexedLog;

/// @brief Which results each entry of a step's log holds, so that a page of
/// results can be read without the entries before it. Not thread-safe.
class LogIndex
{
public:
  /// @brief Adds the next entry.
  void Add(size_t aResultCount);

  /// @brief Adds the next entries.
  void Add(std::span<const uint32_t> aResultCounts);

  /// @brief The last entry that begins at or before a position; the first one
  /// if the index is empty. The result at the position may be in a later entry
  /// that the index lacks.
  LogPosition Find(size_t aResult) const;

  uint32_t EntryCount() const { return static_cast<uint32_t>(mEnds.size()); }

  size_t ResultCount() const { return mEnds.empty() ? 0 : mEnds.back(); }

private:
  friend std::string EncodeIndexedLog(const StepRecord& aRecord,
                                      const LogIndex& aIndex);
  friend Result<IndexedLog> DecodeIndexedLog(std::string_view aBytes);

  /// By entry, the position that follows its last result.
  std::vector<uint32_t> mEnds;
};

/// @brief A step as its index tells it, so that results can be read without its
/// record.
struct IndexedLog
{
  /// The record as of the last entry. Its owner and end may have changed since.
  StepRecord mRecord;
  LogIndex mIndex;
};

std::string EncodeIndexedLog(const StepRecord& aRecord, const LogIndex& aIndex);

/// @brief The inverse of EncodeIndexedLog(). Errors: DataLoss when the bytes
/// cannot be decoded.
Result<IndexedLog> DecodeIndexedLog(std::string_view aBytes);

} // namespace agatetide::steps
