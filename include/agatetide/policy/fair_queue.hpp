#pragma once

#include "agatetide/base/clock.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace agatetide::policy {

/// @brief Urgency of a request, from the route's request_class; rollout samples
/// are always of class Trainer. Higher classes come first.
enum class RequestClass
{
  /// Also the default of a route.
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
  /// Limit on the waiting requests of a client account in one class.
  size_t mMaxPerAccount = 512;
  /// Cost that a client account of weight 1 may use per round-robin turn.
  double mQuantum = 256.0;
  /// Whether a client account that had no waiting requests has a turn's cost
  /// at once. Otherwise its first request waits for two turns.
  bool mStartsWithTurn = false;
};

/// @brief A waiting request.
struct QueuedRequest
{
  uint64_t mId = 0;
  RequestClass mClass = RequestClass::Urgent;
  std::string mAccount;
  /// Weight of the client account.
  double mWeight = 1.0;
  /// Estimated tokens, or another measure of work.
  double mCost = 1.0;
  /// Whether the caller was told to come back now. Such requests go before the
  /// others of their client account and class.
  bool mReturning = false;
  /// Requests of a client account run in this order; those with equal times in
  /// the order of their arrival.
  TimePoint mDueAt{};
};

/// @brief Queue that orders waiting requests by class, and within a class by
/// deficit round robin over client accounts. Not thread-safe.
class FairQueue
{
public:
  explicit FairQueue(FairQueueOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Adds a request. Returns false if the client account's queue is
  /// full.
  bool Push(QueuedRequest aRequest);

  using Filter = std::function<bool(const QueuedRequest&)>;

  /// @brief Removes and returns the next request; std::nullopt if there is
  /// none. Skips client accounts whose first request aMayRun rejects; an empty
  /// filter accepts all.
  std::optional<QueuedRequest> Pop(const Filter& aMayRun = {});

  /// @brief Returns an upper estimate of the queue position of a new request:
  /// counts the request itself, all requests of higher classes, those of its
  /// own account, and those that other accounts of its class run in as many
  /// turns. With FirstInFirstOut, returns the number of waiting requests
  /// instead.
  double EstimatedPosition(const QueuedRequest& aRequest) const;

  /// @brief Removes a waiting request; does nothing if it is not queued.
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
    /// Accounts with waiting requests; the front one is served next.
    std::deque<std::string> mRoundRobin;
    size_t mSize = 0;
  };

  std::optional<QueuedRequest> PopFair(ClassQueue& aQueue,
                                       const Filter& aMayRun);
  void RemoveAccount(ClassQueue& aQueue, const std::string& aAccount);

  FairQueueOptions mOptions;
  std::array<ClassQueue, kRequestClassCount> mClasses;
  size_t mSize = 0;
};

} // namespace agatetide::policy
