#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/base/memory_budget.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace agatetide::http {

class ConnectionHold;

/// @brief What a connection does with the memory that it holds.
enum class ConnectionPhase
{
  /// It waits for a request, or the request is being handled.
  Ordinary,
  /// A request has begun and is not complete.
  Receiving,
  /// A response is not completely written.
  Writing,
};

/// @brief Limits the memory that the connections of a process hold together,
/// and closes connections when it is short. Not thread-safe.
class ConnectionMemory
{
public:
  /// @brief The budgets, of which none may be null. Heads and small bodies also
  /// use mLargeBodies when mSmall is used up; large bodies and responses never
  /// use mSmall, which is thereby kept for ordinary requests.
  struct Budgets
  {
    std::shared_ptr<MemoryBudget> mSmall;
    std::shared_ptr<MemoryBudget> mLargeBodies;
    std::shared_ptr<MemoryBudget> mResponses;
  };

  /// @brief aNow may be empty; the time is then that of the steady clock.
  explicit ConnectionMemory(Budgets aBudgets, Clock aNow = {});

  const Budgets& Parts() const { return mBudgets; }

  /// @brief Closes the connection that holds the most bytes for the longest
  /// time, without a complete request or while its caller does not read the
  /// response. Connections younger than kMinSuspectAge in that phase and those
  /// of other hosts are never closed. Returns whether one was closed; its
  /// memory is returned when the coroutine that serves it has run.
  bool CloseMostSuspicious();

  /// @brief Bytes that all connections hold.
  size_t Used() const;

  /// @brief The largest value of Used() since the last call.
  size_t TakePeak();

  /// @brief Connections that were closed while they sent a request.
  uint64_t ClosedReceiving() const { return mClosedReceiving; }

  /// @brief Connections that were closed because a response was not read.
  uint64_t ClosedWriting() const { return mClosedWriting; }

  TimePoint Now() const;

  /// On a fast network the largest legal body arrives well within this time.
  static constexpr Milliseconds kMinSuspectAge{ 2000 };

private:
  friend class ConnectionHold;

  void RecordPeak() { mPeak = std::max(mPeak, Used()); }

  Budgets mBudgets;
  Clock mNow;
  std::set<ConnectionHold*> mHolds;
  size_t mPeak = 0;
  uint64_t mClosedReceiving = 0;
  uint64_t mClosedWriting = 0;
};

/// @brief The memory of one connection. Without a ConnectionMemory it has no
/// limit. Not thread-safe.
class ConnectionHold
{
public:
  /// @brief aClose closes the connection; an empty function marks that of
  /// another host, which is never closed by CloseMostSuspicious().
  ConnectionHold(std::shared_ptr<ConnectionMemory> aMemory,
                 std::function<void()> aClose);
  ~ConnectionHold();
  ConnectionHold(const ConnectionHold&) = delete;
  ConnectionHold& operator=(const ConnectionHold&) = delete;

  /// @brief Starts a phase. A phase that is already running keeps its start.
  void SetPhase(ConnectionPhase aPhase);

  /// @brief Counts the head and small body of a request, and the receive
  /// buffer; returns false if they do not fit. The first kFreeBytes are not
  /// counted, so that ordinary requests are served in a flood. Nothing is
  /// counted of connections of other hosts.
  bool GrowSmall(size_t aBytes);

  /// @brief Counts a response that is to be written; returns false if it does
  /// not fit. One response is always accepted.
  bool TakeResponse(size_t aBytes);

  /// @brief Returns all bytes of the request and the response.
  void Reset();

  /// @brief Whether CloseMostSuspicious() closed the connection.
  bool IsClosed() const { return mClosed; }

  /// @brief Bytes counted here, and aBytes of a large body that the caller of
  /// this method counts itself.
  size_t HeldBytes() const { return mSmallBytes + mResponseBytes + mBodyBytes; }
  void SetBodyBytes(size_t aBytes);

  const std::shared_ptr<ConnectionMemory>& Memory() const { return mMemory; }

  static constexpr size_t kFreeBytes = size_t{ 8 } << 10U;

private:
  friend class ConnectionMemory;

  std::shared_ptr<ConnectionMemory> mMemory;
  std::function<void()> mClose;
  ConnectionPhase mPhase = ConnectionPhase::Ordinary;
  TimePoint mPhaseStart{};
  /// Parts of the budgets for small requests and, beyond it, for large bodies.
  MemoryReservation mSmall;
  MemoryReservation mOverflow;
  MemoryReservation mResponse;
  size_t mSmallBytes = 0;
  size_t mResponseBytes = 0;
  size_t mBodyBytes = 0;
  bool mClosed = false;
};

} // namespace agatetide::http
