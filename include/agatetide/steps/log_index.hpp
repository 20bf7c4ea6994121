#pragma once

#include "agatetide/base/error.hpp"

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

  std::string Encode() const;

  /// @brief The inverse of Encode(). Errors: DataLoss when the bytes cannot be
  /// decoded.
  static Result<LogIndex> Decode(std::string_view aBytes);

private:
  /// By entry, the position that follows its last result.
  std::vector<uint32_t> mEnds;
};

} // namespace agatetide::steps
