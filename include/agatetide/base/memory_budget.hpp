#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace agatetide {

/// @brief Limits the memory that several buffers use together. Not thread-safe.
class MemoryBudget
{
public:
  /// @brief aLimit is in bytes. What is taken from this budget is also taken
  /// from aTotal, which several budgets share; null if there is no total.
  explicit MemoryBudget(size_t aLimit,
                        std::shared_ptr<MemoryBudget> aTotal = nullptr)
    : mLimit(aLimit)
    , mTotal(std::move(aTotal))
  {
  }

  /// @brief Takes a number of bytes; returns false, and takes nothing, if they
  /// do not fit.
  bool TryTake(size_t aBytes);

  /// @brief Returns bytes. Precondition: they were taken.
  void Return(size_t aBytes);

  /// @brief Bytes that are taken.
  size_t Used() const { return mUsed; }

  /// @brief Whether a number of bytes would fit if nothing else were taken.
  bool CanEverFit(size_t aBytes) const
  {
    return aBytes <= mLimit && (!mTotal || mTotal->CanEverFit(aBytes));
  }

private:
  size_t mLimit;
  std::shared_ptr<MemoryBudget> mTotal;
  size_t mUsed = 0;
};

/// @brief A part of a budget, which grows and is returned as a whole. Without a
/// budget it has no limit. Not thread-safe.
class MemoryReservation
{
public:
  MemoryReservation() = default;
  explicit MemoryReservation(std::shared_ptr<MemoryBudget> aBudget);
  ~MemoryReservation() { Reset(); }
  MemoryReservation(MemoryReservation&& aOther) noexcept;
  MemoryReservation& operator=(MemoryReservation&& aOther) noexcept;

  /// @brief Takes more bytes; returns false, and takes none, if they do not
  /// fit.
  bool Grow(size_t aBytes);

  /// @brief Takes more bytes until aBytes are taken; returns false, and takes
  /// none, if they do not fit.
  bool GrowTo(size_t aBytes)
  {
    return aBytes <= mTaken || Grow(aBytes - mTaken);
  }

  /// @brief Returns what is taken beyond aBytes.
  void ShrinkTo(size_t aBytes);

  /// @brief Hands over a part of what is taken: aBytes, or all if it is less.
  MemoryReservation Split(size_t aBytes);

  /// @brief Returns all bytes.
  void Reset() { ShrinkTo(0); }

  /// @brief Bytes that are taken.
  size_t Taken() const { return mTaken; }

private:
  std::shared_ptr<MemoryBudget> mBudget;
  size_t mTaken = 0;
};

/// @brief A byte buffer that takes its memory from a budget, and returns it
/// when it is destroyed. Not thread-safe.
class BudgetedBuffer
{
public:
  /// @brief Precondition: aBudget is not null.
  explicit BudgetedBuffer(std::shared_ptr<MemoryBudget> aBudget);
  ~BudgetedBuffer();
  BudgetedBuffer(const BudgetedBuffer&) = delete;
  BudgetedBuffer& operator=(const BudgetedBuffer&) = delete;

  /// @brief Appends bytes; returns false, and appends nothing, if their memory
  /// does not fit into the budget.
  bool Append(std::string_view aBytes);

  /// @brief Removes bytes from the front.
  void Consume(size_t aCount) { mBytes.erase(0, aCount); }

  std::string_view View() const { return mBytes; }
  bool IsEmpty() const { return mBytes.empty(); }

  /// @brief Whether an Append() has failed.
  bool LimitExceeded() const { return mLimitExceeded; }

  /// @brief Hands the bytes over, and returns their memory to the budget.
  std::string Release();

private:
  bool Grow(size_t aCapacity);

  std::shared_ptr<MemoryBudget> mBudget;
  std::string mBytes;
  /// What the buffer has taken from the budget.
  size_t mTaken = 0;
  bool mLimitExceeded = false;
};

} // namespace agatetide
