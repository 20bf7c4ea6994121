#include "agatetide/http/connection_memory.hpp"

#include "agatetide/base/event_log.hpp"

#include <utility>

namespace agatetide::http {

ConnectionMemory::ConnectionMemory(Budgets aBudgets, Clock aNow)
  : mBudgets(std::move(aBudgets))
  , mNow(std::move(aNow))
{
}

TimePoint ConnectionMemory::Now() const
{
  return mNow ? mNow() : std::chrono::steady_clock::now();
}

size_t ConnectionMemory::Used() const
{
  return mBudgets.mSmall->Used() + mBudgets.mLargeBodies->Used() +
         mBudgets.mResponses->Used();
}

size_t ConnectionMemory::TakePeak()
{
  return std::exchange(mPeak, Used());
}

bool ConnectionMemory::CloseMostSuspicious()
{
  const TimePoint now = Now();
  ConnectionHold* worst = nullptr;
  double worstScore = 0.0;
  for (ConnectionHold* hold : mHolds) {
    const auto age = now - hold->mPhaseStart;
    const bool suspect = hold->mPhase != ConnectionPhase::Ordinary &&
                         !hold->mClosed && hold->mClose &&
                         age >= kMinSuspectAge;
    const double score = static_cast<double>(hold->HeldBytes()) *
                         std::chrono::duration<double>(age).count();
    if (suspect && score > worstScore) {
      worst = hold;
      worstScore = score;
    }
  }
  if (worst == nullptr) {
    return false;
  }
  ++(worst->mPhase == ConnectionPhase::Writing ? mClosedWriting
                                               : mClosedReceiving);
  const auto age =
    std::chrono::duration_cast<Milliseconds>(now - worst->mPhaseStart);
  LogEvent("connection_closed_for_memory", LogLevel::Warning)
    .Field("phase",
           worst->mPhase == ConnectionPhase::Writing ? "writing" : "receiving")
    .Field("held", static_cast<uint64_t>(worst->HeldBytes()))
    .Field("phase_ms", static_cast<int64_t>(age.count()))
    .Field("used", static_cast<uint64_t>(Used()))
    .Write();
  worst->mClosed = true;
  worst->mClose();
  return true;
}

ConnectionHold::ConnectionHold(std::shared_ptr<ConnectionMemory> aMemory,
                               std::function<void()> aClose)
  : mMemory(std::move(aMemory))
  , mClose(std::move(aClose))
{
  if (mMemory) {
    const ConnectionMemory::Budgets& parts = mMemory->Parts();
    mSmall = MemoryReservation(parts.mSmall);
    mOverflow = MemoryReservation(parts.mLargeBodies);
    mResponse = MemoryReservation(parts.mResponses);
    mMemory->mHolds.insert(this);
  }
}

ConnectionHold::~ConnectionHold()
{
  if (mMemory) {
    mMemory->mHolds.erase(this);
  }
}

void ConnectionHold::SetPhase(ConnectionPhase aPhase)
{
  if (mMemory && aPhase != mPhase) {
    mPhaseStart = mMemory->Now();
  }
  mPhase = aPhase;
}

bool ConnectionHold::GrowSmall(size_t aBytes)
{
  const size_t counted = aBytes > kFreeBytes ? aBytes - kFreeBytes : 0;
  if (!mClose || counted <= mSmallBytes) {
    return true;
  }
  const size_t more = counted - mSmallBytes;
  if (!mSmall.Grow(more) && !mOverflow.Grow(more)) {
    return false;
  }
  mSmallBytes = counted;
  if (mMemory) {
    mMemory->RecordPeak();
  }
  return true;
}

bool ConnectionHold::TakeResponse(size_t aBytes)
{
  if (!mMemory || !mClose || aBytes <= kFreeBytes) {
    return true;
  }
  if (!mResponse.GrowTo(aBytes)) {
    return mMemory->Parts().mResponses->Used() == 0;
  }
  mResponseBytes = aBytes;
  mMemory->RecordPeak();
  return true;
}

void ConnectionHold::SetBodyBytes(size_t aBytes)
{
  mBodyBytes = aBytes;
  if (mMemory) {
    mMemory->RecordPeak();
  }
}

void ConnectionHold::Reset()
{
  mSmall.Reset();
  mOverflow.Reset();
  mResponse.Reset();
  mSmallBytes = 0;
  mResponseBytes = 0;
  mBodyBytes = 0;
}

} // namespace agatetide::http
