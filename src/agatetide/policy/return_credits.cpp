#include "agatetide/policy/return_credits.hpp"

#include <algorithm>
#include <iterator>

namespace agatetide::policy {

TimePoint ReturnCredits::Grant(std::string_view aAccount,
                               uint64_t aContent,
                               double aRequestsPerSecond,
                               TimePoint aEarliest,
                               TimePoint aNow)
{
  const std::chrono::duration<double> interval(
    1.0 / (aRequestsPerSecond * mOptions.mPart));
  const auto spread = std::chrono::duration_cast<Duration>(
    std::min<std::chrono::duration<double>>(interval, mOptions.mMaxRetryTime) *
    UniformUnit(mRandom));
  const TimePoint last = aNow + mOptions.mMaxRetryTime;
  auto found = mAccounts.find(aAccount);
  if (found == mAccounts.end()) {
    if (mAccounts.size() >= mOptions.mMaxAccounts) {
      RemoveIdleAccounts(aNow);
    }
    if (mAccounts.size() >= mOptions.mMaxAccounts) {
      return std::min(aEarliest + spread, last);
    }
    found = mAccounts.emplace(std::string(aAccount), Account{}).first;
  }
  Account& account = found->second;
  RemoveExpired(account, aNow);
  const TimePoint base = std::max(aEarliest, account.mNext);
  if (base >= last || mSize >= mOptions.mMaxCredits) {
    // The second half of the longest time spreads these returns.
    return aNow + std::chrono::duration_cast<Duration>(
                    mOptions.mMaxRetryTime * (1.0 - UniformUnit(mRandom) / 2));
  }
  account.mNext = base + std::chrono::duration_cast<Duration>(
                           std::min<std::chrono::duration<double>>(
                             interval, mOptions.mMaxRetryTime));
  const TimePoint at = std::min(base + spread, last);
  if (account.mByTime.emplace(at, aContent).second) {
    account.mByContent.emplace(aContent, at);
    ++mSize;
  }
  return at;
}

bool ReturnCredits::Use(std::string_view aAccount,
                        uint64_t aContent,
                        TimePoint aNow)
{
  const auto found = mAccounts.find(aAccount);
  if (found == mAccounts.end()) {
    return false;
  }
  Account& account = found->second;
  RemoveExpired(account, aNow);
  const auto same = account.mByContent.lower_bound({ aContent, TimePoint{} });
  if (same != account.mByContent.end() && same->first == aContent &&
      same->second <= aNow + mOptions.mEarly) {
    Erase(account, same->second, aContent);
    return true;
  }
  const auto oldest = account.mByTime.begin();
  if (oldest != account.mByTime.end() &&
      oldest->first + mOptions.mOpenAfter <= aNow) {
    Erase(account, oldest->first, oldest->second);
    return true;
  }
  return false;
}

void ReturnCredits::RestartSchedules()
{
  for (auto& [name, account] : mAccounts) {
    account.mNext = {};
  }
}

void ReturnCredits::Erase(Account& aAccount, TimePoint aTime, uint64_t aContent)
{
  aAccount.mByTime.erase({ aTime, aContent });
  aAccount.mByContent.erase({ aContent, aTime });
  --mSize;
}

void ReturnCredits::RemoveExpired(Account& aAccount, TimePoint aNow)
{
  while (!aAccount.mByTime.empty()) {
    const auto [time, content] = *aAccount.mByTime.begin();
    if (time + mOptions.mLifetime > aNow) {
      return;
    }
    Erase(aAccount, time, content);
  }
}

void ReturnCredits::RemoveIdleAccounts(TimePoint aNow)
{
  for (auto it = mAccounts.begin(); it != mAccounts.end();) {
    RemoveExpired(it->second, aNow);
    it = it->second.mByTime.empty() ? mAccounts.erase(it) : std::next(it);
  }
}

} // namespace agatetide::policy
