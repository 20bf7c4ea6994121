#include "agatetide/duty/usage_ledger.hpp"

#include "agatetide/base/event_log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace agatetide::duty {

using namespace coordination;
using nlohmann::json;

namespace {

constexpr std::string_view kCountsPrefix = "agatetide/usage/";
constexpr std::string_view kSealPrefix = "agatetide/usage-sealed/";

std::string CountsPrefix(int64_t aWindow)
{
  return std::string(kCountsPrefix) + std::to_string(aWindow) + "/";
}

std::string SealKey(int64_t aWindow)
{
  return std::string(kSealPrefix) + std::to_string(aWindow);
}

std::string Encode(const AccountCounts& aCounts)
{
  return json(aCounts).dump();
}

/// std::nullopt if the text is malformed.
std::optional<AccountCounts> Decode(const std::string& aText)
{
  const json value = json::parse(aText, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  AccountCounts counts;
  for (const auto& [account, count] : value.items()) {
    if (!count.is_number_unsigned()) {
      return std::nullopt;
    }
    counts[account] = count.get<uint64_t>();
  }
  return counts;
}

} // namespace

UsageLedger::UsageLedger(UsageOptions aOptions,
                         StoreCall aStore,
                         WallClock aWallClock,
                         std::string aOwner)
  : mOptions(aOptions)
  , mStore(std::move(aStore))
  , mWallClock(std::move(aWallClock))
  , mOwner(std::move(aOwner))
  , mNextWindowToStore(WindowAt(mWallClock()))
{
}

int64_t UsageLedger::WindowAt(int64_t aTimeMs) const
{
  return aTimeMs / mOptions.mWindow.count();
}

int64_t UsageLedger::WindowEnd(int64_t aWindow) const
{
  return (aWindow + 1) * mOptions.mWindow.count();
}

void UsageLedger::Count(const std::string& aAccount, int64_t aTimeMs)
{
  // The counts of a stored window are final, so late requests count towards the
  // first window that isn't stored.
  const int64_t window = std::max(WindowAt(aTimeMs), mNextWindowToStore);
  ++mCounts[window][aAccount];
}

Awaitable<void> UsageLedger::Store(bool aIncludeCurrent)
{
  const int64_t now = mWallClock();
  while (aIncludeCurrent
           ? mNextWindowToStore <= WindowAt(now)
           : WindowEnd(mNextWindowToStore) + mOptions.mStoreDelay.count() <=
               now) {
    const int64_t window = mNextWindowToStore;
    if (!mCounts.contains(window)) {
      ++mNextWindowToStore;
      continue;
    }
    TransactionRequest write;
    write.mPuts.push_back(
      { CountsPrefix(window) + mOwner, Encode(mCounts[window]) });
    StoreRequest request = std::move(write);
    const auto written = co_await mStore(std::move(request));
    const bool expired =
      WindowEnd(window) + mOptions.mMaxWindowAge.count() < now;
    if (written.has_error() && !expired) {
      co_return;
    }
    if (written.has_error()) {
      LogEvent("usage_lost", LogLevel::Error)
        .Field("window", window)
        .Field("error", FormatError(written.error()))
        .Write();
    }
    mCounts.erase(window);
    ++mNextWindowToStore;
  }
}

/// Returns the sealed sum of a window; std::nullopt if the stored one is
/// malformed.
Awaitable<Result<std::optional<AccountCounts>>> UsageLedger::Seal(
  int64_t aWindow)
{
  std::string prefix = CountsPrefix(aWindow);
  const auto stored = co_await ReadPrefix(mStore, std::move(prefix));
  if (stored.has_error()) {
    co_return stored.error();
  }
  AccountCounts sum;
  for (const StoreEntry& entry : stored->mEntries) {
    if (const auto counts = Decode(entry.mValue)) {
      for (const auto& [account, count] : *counts) {
        sum[account] += count;
      }
    } else {
      LogEvent("usage_counts_ignored", LogLevel::Error)
        .Field("key", entry.mKey)
        .Write();
    }
  }
  const std::string key = SealKey(aWindow);
  TransactionRequest create;
  create.mCompares.push_back({ key, 0 });
  create.mPuts.push_back({ key, Encode(sum) });
  create.mReadOnFailure.push_back(key);
  StoreRequest request = std::move(create);
  const auto created = co_await mStore(std::move(request));
  if (created.has_error()) {
    co_return created.error();
  }
  if (created->mSucceeded) {
    co_return std::optional<AccountCounts>(std::move(sum));
  }
  for (const StoreEntry& entry : created->mEntries) {
    if (entry.mKey == key) {
      co_return Decode(entry.mValue);
    }
  }
  co_return std::optional<AccountCounts>();
}

Awaitable<void> UsageLedger::Report(const Leadership& aLeadership,
                                    UsageReportCall aReport)
{
  const int64_t now = mWallClock();
  const int64_t oldest = WindowAt(now - mOptions.mMaxWindowAge.count());
  if (!mLastReportedWindow || *mLastReportedWindow < oldest) {
    mLastReportedWindow = oldest;
  }
  while (WindowEnd(*mLastReportedWindow + 1) + mOptions.mReportDelay.count() <=
         now) {
    const int64_t window = *mLastReportedWindow + 1;
    const auto counts = co_await Seal(window);
    if (counts.has_error() || !counts->has_value() || !aLeadership.MayAct()) {
      co_return;
    }
    const auto sent =
      co_await aReport(window, **counts, aLeadership.FencingToken());
    LogEvent("usage_report")
      .Field("window", window)
      .Field("accounts", static_cast<uint64_t>((*counts)->size()))
      .Field("result", sent.has_error() ? FormatError(sent.error()) : "sent")
      .Write();
    if (sent.has_error()) {
      co_return;
    }
    mLastReportedWindow = window;
  }
}

} // namespace agatetide::duty
