#include "agatetide/base/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace agatetide {

bool MemoryBudget::TryTake(size_t aBytes)
{
  if (aBytes > mLimit - mUsed || (mTotal && !mTotal->TryTake(aBytes))) {
    return false;
  }
  mUsed += aBytes;
  return true;
}

void MemoryBudget::Return(size_t aBytes)
{
  mUsed -= aBytes;
  if (mTotal) {
    mTotal->Return(aBytes);
  }
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget> aBudget)
  : mBudget(std::move(aBudget))
{
}

MemoryReservation::MemoryReservation(MemoryReservation&& aOther) noexcept
  : mBudget(std::move(aOther.mBudget))
  , mTaken(std::exchange(aOther.mTaken, 0))
{
}

MemoryReservation& MemoryReservation::operator=(
  MemoryReservation&& aOther) noexcept
{
  Reset();
  mBudget = std::move(aOther.mBudget);
  mTaken = std::exchange(aOther.mTaken, 0);
  return *this;
}

bool MemoryReservation::Grow(size_t aBytes)
{
  if (mBudget && !mBudget->TryTake(aBytes)) {
    return false;
  }
  mTaken += aBytes;
  return true;
}

void MemoryReservation::ShrinkTo(size_t aBytes)
{
  const size_t kept = std::min(mTaken, aBytes);
  const size_t returned = std::exchange(mTaken, kept) - kept;
  if (mBudget) {
    mBudget->Return(returned);
  }
}

MemoryReservation MemoryReservation::Split(size_t aBytes)
{
  MemoryReservation part(mBudget);
  part.mTaken = std::min(mTaken, aBytes);
  mTaken -= part.mTaken;
  return part;
}

BudgetedBuffer::BudgetedBuffer(std::shared_ptr<MemoryBudget> aBudget)
  : mBudget(std::move(aBudget))
{
}

BudgetedBuffer::~BudgetedBuffer()
{
  mBudget->Return(mTaken);
}

/// Reallocates the bytes. Both allocations count while they are copied.
bool BudgetedBuffer::Grow(size_t aCapacity)
{
  if (!mBudget->TryTake(aCapacity)) {
    return false;
  }
  mBytes.reserve(aCapacity);
  mBudget->Return(std::exchange(mTaken, aCapacity));
  return true;
}

bool BudgetedBuffer::Append(std::string_view aBytes)
{
  const size_t needed = mBytes.size() + aBytes.size();
  const bool fits = needed <= mBytes.capacity() ||
                    Grow(std::max(needed, 2 * mBytes.capacity()));
  if (!fits) {
    mLimitExceeded = true;
    return false;
  }
  mBytes.append(aBytes);
  return true;
}

std::string BudgetedBuffer::Release()
{
  mBudget->Return(std::exchange(mTaken, 0));
  return std::exchange(mBytes, {});
}

} // namespace agatetide
