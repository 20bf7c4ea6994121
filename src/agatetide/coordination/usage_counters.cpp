#include "agatetide/coordination/usage_counters.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <sstream>

namespace agatetide::coordination {

void UsageCounters::Add(int64_t aWindow,
                        const std::string& aAccount,
                        const UsageCount& aCount)
{
  UsageCount& count = mTable[{ mDaemonId, aWindow, aAccount }];
  count.mRequests += aCount.mRequests;
  count.mTokens += aCount.mTokens;
  count.mUpstreamMilliseconds += aCount.mUpstreamMilliseconds;
}

void UsageCounters::Merge(const UsageTable& aTable)
{
  for (const auto& [key, count] : aTable) {
    if (key.mDaemonId == mDaemonId) {
      continue; // A peer's copy of this daemon's count is never newer.
    }
    UsageCount& stored = mTable[key];
    stored.mRequests = std::max(stored.mRequests, count.mRequests);
    stored.mTokens = std::max(stored.mTokens, count.mTokens);
    stored.mUpstreamMilliseconds =
      std::max(stored.mUpstreamMilliseconds, count.mUpstreamMilliseconds);
  }
}

std::map<std::string, UsageCount> UsageCounters::Totals(int64_t aWindow) const
{
  std::map<std::string, UsageCount> totals;
  for (const auto& [key, count] : mTable) {
    if (key.mWindow != aWindow) {
      continue;
    }
    UsageCount& total = totals[key.mAccount];
    total.mRequests += count.mRequests;
    total.mTokens += count.mTokens;
    total.mUpstreamMilliseconds += count.mUpstreamMilliseconds;
  }
  return totals;
}

UsageTable UsageCounters::OwnCounts() const
{
  UsageTable own;
  for (const auto& [key, count] : mTable) {
    if (key.mDaemonId == mDaemonId) {
      own.emplace(key, count);
    }
  }
  return own;
}

void UsageCounters::DropBefore(int64_t aWindow)
{
  std::erase_if(
    mTable, [&](const auto& aItem) { return aItem.first.mWindow < aWindow; });
}

std::string EncodeUsage(const UsageTable& aTable)
{
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(aTable);
  return stream.str();
}

UsageTable DecodeUsage(const std::string& aBytes)
{
  try {
    std::istringstream stream(aBytes);
    cereal::PortableBinaryInputArchive archive(stream);
    UsageTable table;
    archive(table);
    return table;
  } catch (const std::exception&) {
    return {};
  }
}

} // namespace agatetide::coordination
