#pragma once

#include "agatetide/base/event_log.hpp"
#include "agatetide/coordination/store.hpp"

#include <cstdio>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// What the parts of StepStore share: the keys of the store, and how they are
/// read.
namespace agatetide::steps {

constexpr std::string_view kRecordPrefix = "agatetide/step/";
constexpr std::string_view kItemsPrefix = "agatetide/step-items/";
constexpr std::string_view kLogPrefix = "agatetide/step-log/";
constexpr std::string_view kIndexPrefix = "agatetide/step-index/";
constexpr std::string_view kItemIndexPrefix = "agatetide/step-item-index/";
/// Names the steps of which some items, but not the record, are stored.
constexpr std::string_view kPendingPrefix = "agatetide/step-pending/";
constexpr std::string_view kPartialsPrefix = "agatetide/step-partials/";

inline std::string RecordKey(std::string_view aId)
{
  return std::string(kRecordPrefix) + std::string(aId);
}

inline std::string IndexKey(std::string_view aId)
{
  return std::string(kIndexPrefix) + std::string(aId);
}

inline std::string ItemIndexKey(std::string_view aId)
{
  return std::string(kItemIndexPrefix) + std::string(aId);
}

inline std::string NumberedKey(std::string_view aPrefix,
                               std::string_view aId,
                               uint32_t aNumber)
{
  char digits[16];
  std::snprintf(digits, sizeof digits, "/%06u", aNumber);
  return std::string(aPrefix) + std::string(aId) + digits;
}

/// Reads and decodes an index; std::nullopt if there is none. One that cannot
/// be decoded is logged and ignored, since what it tells can be read elsewhere.
template<class Index>
Awaitable<Result<std::optional<Index>>> ReadIndex(
  const coordination::StoreCall& aStore,
  std::string aKey,
  Result<Index> (*aDecode)(std::string_view))
{
  const auto entry = co_await coordination::ReadKey(aStore, aKey);
  if (entry.has_error()) {
    co_return entry.error();
  }
  if (!entry->has_value()) {
    co_return std::optional<Index>();
  }
  auto index = aDecode((*entry)->mValue);
  if (index.has_error()) {
    LogEvent("index_ignored", LogLevel::Error)
      .Field("key", aKey)
      .Field("error", FormatError(index.error()))
      .Write();
    co_return std::optional<Index>();
  }
  co_return std::optional(std::move(*index));
}

inline const coordination::StoreEntry* FindEntry(
  const std::vector<coordination::StoreEntry>& aEntries,
  std::string_view aKey)
{
  for (const coordination::StoreEntry& entry : aEntries) {
    if (entry.mKey == aKey && entry.mModRevision != 0) {
      return &entry;
    }
  }
  return nullptr;
}

} // namespace agatetide::steps
