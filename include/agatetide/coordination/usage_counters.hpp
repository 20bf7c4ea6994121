#pragma once

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace agatetide::coordination {

/// @brief Cumulative usage of one client account in one window, counted by
/// one daemon incarnation.
struct UsageCount
{
  uint64_t mRequests = 0;
  uint64_t mTokens = 0;
  uint64_t mUpstreamMilliseconds = 0;

  bool operator==(const UsageCount&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequests, mTokens, mUpstreamMilliseconds);
  }
};

struct UsageKey
{
  /// Daemon address and incarnation, as "address#incarnation".
  std::string mDaemonId;
  int64_t mWindow = 0;
  std::string mAccount;

  auto operator<=>(const UsageKey&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mDaemonId, mWindow, mAccount);
  }
};

using UsageTable = std::map<UsageKey, UsageCount>;

/// @brief Counts own usage and holds copies of peers' counts. Counts only
/// grow, so copies merge by maximum in any order and any number of times.
/// Not thread-safe; owned by one duty.
class UsageCounters
{
public:
  explicit UsageCounters(std::string aCounter)
    : mDaemonId(std::move(aCounter))
  {
  }

  /// @brief Adds to this daemon's count.
  void Add(int64_t aWindow,
           const std::string& aAccount,
           const UsageCount& aCount);

  /// @brief Merges a peer's table.
  void Merge(const UsageTable& aTable);

  /// @brief Counts of one window, summed over all counters, by account.
  std::map<std::string, UsageCount> Totals(int64_t aWindow) const;

  /// @brief This daemon's own counts, to copy to peers.
  UsageTable OwnCounts() const;

  const UsageTable& All() const { return mTable; }

  /// @brief Forgets windows below aWindow, once they are sealed.
  void DropBefore(int64_t aWindow);

private:
  std::string mDaemonId;
  UsageTable mTable;
};

/// @brief Serialises a table for copying. DecodeUsage returns an empty table
/// when the bytes do not decode.
std::string EncodeUsage(const UsageTable& aTable);
UsageTable DecodeUsage(const std::string& aBytes);

} // namespace agatetide::coordination
