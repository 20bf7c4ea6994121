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
      continue; // A copy of the own count is never newer than the count itself.
    }
    UsageCount& own = mTable[key];
    own.mRequests = std::max(own.mRequests, count.mRequests);
    own.mTokens = std::max(own.mTokens, count.mTokens);
    own.mUpstreamMilliseconds =
      std::max(own.mUpstreamMilliseconds, count.mUpstreamMilliseconds);
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
