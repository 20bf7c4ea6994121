#pragma once

#include "agatetide/coordination/store.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace agatetide::coordination {

/// @brief A key that the store returned at a place where it can't be: not past
/// the key before it, or outside of the range.
struct PageFault
{
  /// The last key that was in order; empty if there is none.
  std::string mAfter;
  std::string mKey;
};

/// @brief The error of a read that ends at a fault. Thread-safe.
Error PageFaultError(const PageFault& aFault);

/// @brief Checks that the pages of a range go forward: a store that repeats a
/// page would otherwise be read without end. Keys are ordered by their bytes.
/// Not thread-safe.
class PageOrder
{
public:
  /// @brief Keys must begin with aPrefix and sort after aAfter; an empty
  /// aAfter is none.
  explicit PageOrder(std::string aPrefix, std::string aAfter = {})
    : mPrefix(std::move(aPrefix))
    , mLast(std::move(aAfter))
  {
  }

  /// @brief Takes the next key of the range; returns the fault if it isn't past
  /// the last one or lacks the prefix.
  std::optional<PageFault> Take(std::string_view aKey);

  /// @brief The last key that was in order; empty at the start.
  const std::string& Last() const { return mLast; }

  const std::string& Prefix() const { return mPrefix; }

private:
  std::string mPrefix;
  std::string mLast;
};

/// @brief How far a read of a range has come.
struct RangeProgress
{
  uint64_t mPages = 0;
  uint64_t mEntries = 0;
  /// Bytes of the keys and values that were received.
  uint64_t mBytes = 0;
  /// The last key that was read; empty at the start.
  std::string mLastKey;
  /// The revision of the first page: pages aren't a consistent snapshot, and a
  /// watch from there reports later changes.
  int64_t mRevision = 0;
  /// The first key of a page that can't be right. No page was asked for after
  /// that one.
  std::optional<PageFault> mFault;
  /// Whether all keys were read.
  bool mIsComplete = false;
};

/// @brief Receives the entries of one page, in key order.
using PageSink = std::function<void(std::span<const StoreEntry>)>;
/// @brief Told after each page.
using ProgressSink = std::function<void(const RangeProgress&)>;

/// @brief Reads all keys with a prefix one page at a time, so that no more than
/// a page is in memory. All entries of a page that have the prefix are passed
/// on; the first page that is not in order is the last. If it is the only one,
/// the list is complete all the same. aOnProgress may be empty.
/// Errors: as StoreCall, for pages that got no reply.
Awaitable<Result<RangeProgress>> ReadPages(StoreCall aStore,
                                           std::string aPrefix,
                                           PageSink aSink,
                                           ProgressSink aOnProgress = {});

} // namespace agatetide::coordination
