#include "agatetide/policy/fair_queue.hpp"

#include <algorithm>

namespace agatetide::policy {

namespace {

/// Order of the requests of one client account.
bool GoesBefore(const QueuedRequest& aLeft, const QueuedRequest& aRight)
{
  return aLeft.mReturning != aRight.mReturning ? aLeft.mReturning
                                               : aLeft.mDueAt < aRight.mDueAt;
}

} // namespace

bool FairQueue::Push(QueuedRequest aRequest)
{
  // First-in-first-out order uses one class with one account.
  const bool fair = mOptions.mPolicy == QueuePolicy::FairByAccount;
  ClassQueue& queue = mClasses[fair ? static_cast<size_t>(aRequest.mClass) : 0];
  const std::string account = fair ? aRequest.mAccount : std::string();
  const auto [entry, added] = queue.mAccounts.try_emplace(account);
  AccountQueue& accountQueue = entry->second;
  if (accountQueue.mRequests.size() >= mOptions.mMaxPerAccount) {
    return false;
  }
  if (added) {
    queue.mRoundRobin.push_back(account);
    accountQueue.mDeficit =
      mOptions.mStartsWithTurn ? mOptions.mQuantum * aRequest.mWeight : 0.0;
  }
  accountQueue.mWeight = aRequest.mWeight;
  auto& requests = accountQueue.mRequests;
  const auto position =
    std::upper_bound(requests.begin(), requests.end(), aRequest, GoesBefore);
  requests.insert(position, std::move(aRequest));
  ++queue.mSize;
  ++mSize;
  return true;
}

std::optional<QueuedRequest> FairQueue::Pop(const Filter& aMayRun)
{
  for (ClassQueue& queue : mClasses) {
    if (auto next = PopFair(queue, aMayRun)) {
      --queue.mSize;
      --mSize;
      return next;
    }
  }
  return std::nullopt;
}

double FairQueue::EstimatedPosition(const QueuedRequest& aRequest) const
{
  if (mOptions.mPolicy == QueuePolicy::FirstInFirstOut) {
    return static_cast<double>(mSize);
  }
  double higherClasses = 0.0;
  for (size_t i = 0; i < static_cast<size_t>(aRequest.mClass); ++i) {
    higherClasses += static_cast<double>(mClasses[i].mSize);
  }
  const ClassQueue& queue = mClasses[static_cast<size_t>(aRequest.mClass)];
  double own = 1.0;
  double others = 0.0;
  double otherWeightSum = 0.0;
  for (const auto& [account, accountQueue] : queue.mAccounts) {
    if (account == aRequest.mAccount) {
      const auto& requests = accountQueue.mRequests;
      own += static_cast<double>(
        std::upper_bound(
          requests.begin(), requests.end(), aRequest, GoesBefore) -
        requests.begin());
    } else {
      others += static_cast<double>(accountQueue.mRequests.size());
      otherWeightSum += accountQueue.mWeight;
    }
  }
  const double turns = own * otherWeightSum / aRequest.mWeight;
  return higherClasses + own + std::min(others, turns);
}

std::optional<QueuedRequest> FairQueue::PopFair(ClassQueue& aQueue,
                                                const Filter& aMayRun)
{
  size_t skipped = 0;
  while (skipped < aQueue.mRoundRobin.size()) {
    const std::string account = aQueue.mRoundRobin.front();
    AccountQueue& accountQueue = aQueue.mAccounts.at(account);
    if (aMayRun && !aMayRun(accountQueue.mRequests.front())) {
      ++skipped;
      aQueue.mRoundRobin.pop_front();
      aQueue.mRoundRobin.push_back(account);
      continue;
    }
    skipped = 0;
    if (accountQueue.mDeficit < accountQueue.mRequests.front().mCost) {
      accountQueue.mDeficit += mOptions.mQuantum * accountQueue.mWeight;
      aQueue.mRoundRobin.pop_front();
      aQueue.mRoundRobin.push_back(account);
      continue;
    }
    QueuedRequest next = std::move(accountQueue.mRequests.front());
    accountQueue.mRequests.pop_front();
    accountQueue.mDeficit -= next.mCost;
    if (accountQueue.mRequests.empty()) {
      RemoveAccount(aQueue, account);
    }
    return next;
  }
  return std::nullopt;
}

void FairQueue::Remove(uint64_t aId)
{
  for (ClassQueue& queue : mClasses) {
    for (auto& [account, accountQueue] : queue.mAccounts) {
      const size_t removed = std::erase_if(
        accountQueue.mRequests,
        [&](const QueuedRequest& aRequest) { return aRequest.mId == aId; });
      if (removed == 0) {
        continue;
      }
      queue.mSize -= removed;
      mSize -= removed;
      if (accountQueue.mRequests.empty()) {
        RemoveAccount(queue, std::string(account));
      }
      return;
    }
  }
}

void FairQueue::RemoveAccount(ClassQueue& aQueue, const std::string& aAccount)
{
  aQueue.mAccounts.erase(aAccount);
  std::erase(aQueue.mRoundRobin, aAccount);
}

} // namespace agatetide::policy
