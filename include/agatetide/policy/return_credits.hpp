#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/base/random.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace agatetide::policy {

struct ReturnCreditOptions
{
  /// No retry time is longer.
  Duration mMaxRetryTime = std::chrono::seconds(60);
  /// A caller may be this early; clocks and timers of callers are not exact.
  Duration mEarly = std::chrono::milliseconds(50);
  /// From this long after the retry time on, any request of the account may use
  /// the credit: its content may differ from that of the refused request.
  Duration mOpenAfter = std::chrono::milliseconds(250);
  /// Credits end this long after the retry time.
  Duration mLifetime = std::chrono::milliseconds(1500);
  /// Part of an account's rate that is given to returns. The rest covers
  /// changes of the rate; new requests use it otherwise.
  double mPart = 0.85;
  /// Bounds of the memory. Refusals beyond them get a retry time, but no
  /// credit.
  size_t mMaxCredits = size_t{ 1 } << 16U;
  size_t mMaxAccounts = 1024;
};

/// @brief The retry times that refused requests were given. A request that
/// comes back in time uses the credit of its refusal and then goes before new
/// requests of its client account. Callers are not identified: a return has the
/// content of the refused request, or is any request of the account when no
/// request with this content came in time. Not thread-safe.
class ReturnCredits
{
public:
  ReturnCredits(ReturnCreditOptions aOptions, Random aRandom)
    : mOptions(aOptions)
    , mRandom(std::move(aRandom))
  {
  }

  /// @brief Returns when a refused request should come back: not before
  /// aEarliest, and spread so that the returns of the account match
  /// aRequestsPerSecond. Precondition: aRequestsPerSecond is positive.
  TimePoint Grant(std::string_view aAccount,
                  uint64_t aContent,
                  double aRequestsPerSecond,
                  TimePoint aEarliest,
                  TimePoint aNow);

  /// @brief Uses a credit for a request. Returns whether there was one.
  bool Use(std::string_view aAccount, uint64_t aContent, TimePoint aNow);

  /// @brief Gives the next refusals the earliest retry times again; called when
  /// capacity is no longer short.
  void RestartSchedules();

  /// @brief Credits that are stored.
  size_t size() const { return mSize; }

private:
  struct Account
  {
    /// Retry time of the next refusal.
    TimePoint mNext{};
    std::set<std::pair<TimePoint, uint64_t>> mByTime;
    std::set<std::pair<uint64_t, TimePoint>> mByContent;
  };

  void Erase(Account& aAccount, TimePoint aTime, uint64_t aContent);
  void RemoveExpired(Account& aAccount, TimePoint aNow);
  void RemoveIdleAccounts(TimePoint aNow);

  ReturnCreditOptions mOptions;
  Random mRandom;
  std::map<std::string, Account, std::less<>> mAccounts;
  size_t mSize = 0;
};

} // namespace agatetide::policy
