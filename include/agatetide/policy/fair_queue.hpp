#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace agatetide::policy {

enum class RequestClass
{
  Urgent,
  Trainer,
  Background,
};

inline constexpr size_t kRequestClassCount = 3;

enum class QueuePolicy
{
  FirstInFirstOut,
  FairByAccount,
};

struct FairQueueOptions
{
  QueuePolicy mPolicy = QueuePolicy::FairByAccount;
  /// Waiting requests of one client account in one class.
  size_t mMaxPerAccount = 512;
  /// Tokens a client account of weight 1 may take in one turn.
  double mQuantum = 256.0;
};

/// @brief One waiting request.
struct QueuedRequest
{
  uint64_t mId = 0;
  RequestClass mClass = RequestClass::Urgent;
  std::string mAccount;
  double mWeight = 1.0;
  /// Estimated tokens, or another measure of work.
  double mCost = 1.0;
};

/// @brief Orders waiting requests by class, and within a class by deficit
/// round robin over client accounts. Not thread-safe.
class FairQueue
{
public:
  explicit FairQueue(FairQueueOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief False when the client account's queue is full.
  bool Push(QueuedRequest aRequest);

  using Filter = std::function<bool(const QueuedRequest&)>;

  /// @brief The request to run next. A client account whose first request
  /// aMayRun refuses is passed over; empty allows all.
  std::optional<QueuedRequest> Pop(const Filter& aMayRun = {});

  /// @brief Requests that run before a new one, at most: its account's own
  /// and those that others get in as many turns, and all of higher classes.
  double RequestsAhead(const QueuedRequest& aRequest) const;

  /// @brief Takes out a request that was given up.
  void Remove(uint64_t aId);

  size_t size() const { return mSize; }

private:
  struct AccountQueue
  {
    std::deque<QueuedRequest> mRequests;
    double mWeight = 1.0;
    double mDeficit = 0.0;
  };

  struct ClassQueue
  {
    std::map<std::string, AccountQueue> mAccounts;
    std::deque<std::string> mTurns;
    size_t mSize = 0;
  };

  std::optional<QueuedRequest> PopFair(ClassQueue& aQueue,
                                       const Filter& aMayRun);
  void Forget(ClassQueue& aQueue, const std::string& aAccount);

  FairQueueOptions mOptions;
  std::array<ClassQueue, kRequestClassCount> mClasses;
  size_t mSize = 0;
};

} // namespace agatetide::policy
