#include "agatetide/daemon/usage_duty.hpp"

#include "agatetide/clients/platform_client.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace agatetide::daemon {

using namespace coordination;
using nlohmann::json;

namespace {

constexpr std::string_view kSealedPrefix = "agatetide/usage/";
constexpr std::chrono::milliseconds kCopyInterval{ 2000 };
constexpr std::chrono::milliseconds kPeerTimeout{ 2000 };
constexpr std::chrono::milliseconds kReportTimeout{ 5000 };
/// Members that receive copies of the counts besides the lease holder.
constexpr size_t kCopyCount = 2;
/// Number of past windows that a new lease holder checks for missing reports.
constexpr int64_t kMaxUnreportedWindows = 60;

std::string SealedKey(int64_t aWindow)
{
  char digits[24];
  std::snprintf(
    digits, sizeof digits, "%016lld", static_cast<long long>(aWindow));
  return std::string(kSealedPrefix) + digits;
}

std::string CounterName(const MemberUpdate& aSelf)
{
  return aSelf.mAddress + "#" + std::to_string(aSelf.mIncarnation);
}

} // namespace

UsageDuty::UsageDuty(DutyContext& aContext, PeerLink& aLink, DutyLease aLease)
  : mContext(aContext)
  , mLink(aLink)
  , mLease(std::move(aLease))
  , mCounters(CounterName(aContext.mMembership.Self()))
{
}

int64_t UsageDuty::CurrentWindow() const
{
  return mContext.mWallClock() / mContext.mSettings.mUsageWindow.count();
}

void UsageDuty::Count(const TrafficReport& aReport)
{
  mCounters.Add(CurrentWindow(),
                aReport.mAccount,
                { 1, aReport.mTokens, aReport.mUpstreamMilliseconds });
}

void UsageDuty::Merge(const std::string& aBytes)
{
  mCounters.Merge(DecodeUsage(aBytes));
}

Awaitable<void> UsageDuty::Run()
{
  mLastReportedWindow = CurrentWindow() - 1;
  for (;;) {
    co_await Sleep(Milliseconds(500));
    co_await mLease.Maintain();
    if (mContext.mClock() - mLastCopy >= kCopyInterval) {
      mLastCopy = mContext.mClock();
      co_await CopyToPeers();
    }
    // A window is reported one window length after its end, so that the last
    // counts have reached the lease holder.
    const int64_t due = CurrentWindow() - 2;
    while (mLease.IsHeld() && mLastReportedWindow < due) {
      if (!co_await ReportWindow(mLastReportedWindow + 1)) {
        break;
      }
      ++mLastReportedWindow;
    }
    if (!mLease.IsHeld()) {
      mLastReportedWindow =
        std::max(mLastReportedWindow, due - kMaxUnreportedWindows);
    }
  }
}

/// Sends this daemon's counts to the lease holder, which adds them up, and to
/// members in other availability zones; to at most kCopyCount + 1 members.
Awaitable<void> UsageDuty::CopyToPeers()
{
  const UsageTable own = mCounters.OwnCounts();
  if (own.empty()) {
    co_return;
  }
  std::vector<std::string> targets;
  if (const auto* reporter =
        mContext.mMembership.FindRecord(kLeaseTopic, "usage")) {
    targets.push_back(reporter->mValue);
  }
  const std::string& zone = mContext.mMembership.Self().mAvailabilityZone;
  for (const Member* member : mContext.mMembership.LiveMembers()) {
    if (targets.size() < kCopyCount + 1 &&
        member->mInfo.mAvailabilityZone != zone) {
      targets.push_back(member->mInfo.mAddress);
    }
  }
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  std::erase(targets, mContext.mMembership.Self().mAddress);
  PeerRequest request;
  request.mKind = "usage";
  request.mBody = EncodeUsage(own);
  for (const std::string& target : targets) {
    co_await mLink.SendRequest(
      target, request, mContext.mClock() + kPeerTimeout);
  }
}

Awaitable<bool> UsageDuty::ReportWindow(int64_t aWindow)
{
  auto sealed = co_await SealWindow(aWindow);
  if (sealed.has_error()) {
    co_return false;
  }
  if (sealed->empty()) {
    co_return true;
  }
  if (!mLease.IsHeld()) {
    co_return false;
  }
  const auto sent =
    co_await clients::SendUsage(mContext.mClient,
                                mContext.mSettings.mPlatformEndpoint,
                                *sealed,
                                mContext.mClock() + kReportTimeout);
  LogEvent("usage_report")
    .Field("window", aWindow)
    .Field("bytes", static_cast<uint64_t>(sealed->size()))
    .Field("result", sent.has_error() ? FormatError(sent.error()) : "sent")
    .Write();
  co_return sent.has_value();
}

/// Returns the sealed text of a window: the stored one if the window is already
/// sealed. Otherwise seals the current counts with a create-if-absent write.
Awaitable<Result<std::string>> UsageDuty::SealWindow(int64_t aWindow)
{
  const std::string key = SealedKey(aWindow);
  auto stored = co_await ReadKey(mContext.mStore, key);
  if (stored.has_error()) {
    co_return stored.error();
  }
  if (stored->has_value()) {
    co_return (*stored)->mValue;
  }
  if (mCounters.Totals(aWindow).empty()) {
    co_return std::string();
  }
  TransactionRequest create;
  create.mCompares.push_back({ key, 0 });
  create.mPuts.push_back({ key, FormatWindow(aWindow) });
  create.mReadOnFailure.push_back(key);
  auto created = co_await mContext.mStore(create);
  if (created.has_value() && created->mSucceeded) {
    co_return create.mPuts.front().mValue;
  }
  if (created.has_value() && !created->mEntries.empty()) {
    co_return created->mEntries.front().mValue;
  }
  // The next attempt reads what was stored.
  co_return Error{ ErrorKind::OutcomeUnknown,
                   "it is not known whether the usage window was sealed",
                   "repeat the call" };
}

std::string UsageDuty::FormatWindow(int64_t aWindow) const
{
  json accounts = json::array();
  for (const auto& [account, count] : mCounters.Totals(aWindow)) {
    accounts.push_back({ { "account", account },
                         { "requests", count.mRequests },
                         { "tokens", count.mTokens },
                         { "upstream_ms", count.mUpstreamMilliseconds } });
  }
  const json report = { { "window", aWindow },
                        { "window_ms",
                          mContext.mSettings.mUsageWindow.count() },
                        { "accounts", accounts } };
  return report.dump();
}

Awaitable<Result<std::vector<std::string>>> UsageDuty::SealedWindows(
  unsigned aCount)
{
  const std::string from =
    SealedKey(std::max<int64_t>(0, CurrentWindow() - 2 - aCount));
  StoreRequest request = RangeRequest{ from, PrefixEnd(kSealedPrefix), 0 };
  auto reply = co_await mContext.mStore(std::move(request));
  if (reply.has_error()) {
    co_return reply.error();
  }
  std::vector<std::string> windows;
  for (auto entry = reply->mEntries.rbegin();
       entry != reply->mEntries.rend() && windows.size() < aCount;
       ++entry) {
    windows.push_back(entry->mValue);
  }
  co_return windows;
}

} // namespace agatetide::daemon
