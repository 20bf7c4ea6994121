#pragma once

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace agatetide::coordination {

/// @brief Cumulative usage of one client account in one window, as counted by
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
  /// Number of the usage window: Unix time divided by the window length.
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

/// @brief Counts this daemon's usage and keeps copies of its peers' counts.
/// Counts only grow, so copies are merged by maximum, in any order and any
/// number of times. Not thread-safe.
class UsageCounters
{
public:
  /// @brief aDaemonId: see UsageKey::mDaemonId.
  explicit UsageCounters(std::string aDaemonId)
    : mDaemonId(std::move(aDaemonId))
  {
  }

  /// @brief Adds to this daemon's count.
  void Add(int64_t aWindow,
           const std::string& aAccount,
           const UsageCount& aCount);

  /// @brief Merges a peer's table.
  void Merge(const UsageTable& aTable);

  /// @brief Counts of one window by account, summed over all daemons.
  std::map<std::string, UsageCount> Totals(int64_t aWindow) const;

  /// @brief This daemon's counts, to be sent to peers.
  UsageTable OwnCounts() const;

  /// @brief The counts of all daemons.
  const UsageTable& Counts() const { return mTable; }

  /// @brief Removes the windows before aWindow, which must be sealed.
  void DropBefore(int64_t aWindow);

private:
  std::string mDaemonId;
  UsageTable mTable;
};

/// @brief Serialises a table. DecodeUsage() returns an empty table if the bytes
/// do not decode.
std::string EncodeUsage(const UsageTable& aTable);
UsageTable DecodeUsage(const std::string& aBytes);

} // namespace agatetide::coordination
