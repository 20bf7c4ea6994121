#include "agatetide/policy/fair_queue.hpp"

#include <algorithm>

namespace agatetide::policy {

bool FairQueue::Push(QueuedRequest aRequest)
{
  // First in first out is one class with one account.
  const bool fair = mOptions.mPolicy == QueuePolicy::FairByAccount;
  ClassQueue& queue = mClasses[fair ? static_cast<size_t>(aRequest.mClass) : 0];
  const std::string account = fair ? aRequest.mAccount : std::string();
  const auto [entry, added] = queue.mAccounts.try_emplace(account);
  AccountQueue& waiting = entry->second;
  if (waiting.mRequests.size() >= mOptions.mMaxPerAccount) {
    return false;
  }
  if (added) {
    queue.mTurns.push_back(account);
  }
  waiting.mWeight = aRequest.mWeight;
  waiting.mRequests.push_back(std::move(aRequest));
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

double FairQueue::RequestsAhead(const QueuedRequest& aRequest) const
{
  if (mOptions.mPolicy == QueuePolicy::FirstInFirstOut) {
    return static_cast<double>(mSize);
  }
  double higher = 0.0;
  for (size_t i = 0; i < static_cast<size_t>(aRequest.mClass); ++i) {
    higher += static_cast<double>(mClasses[i].mSize);
  }
  const ClassQueue& queue = mClasses[static_cast<size_t>(aRequest.mClass)];
  double own = 1.0;
  double others = 0.0;
  double otherWeights = 0.0;
  for (const auto& [account, waiting] : queue.mAccounts) {
    if (account == aRequest.mAccount) {
      own += static_cast<double>(waiting.mRequests.size());
    } else {
      others += static_cast<double>(waiting.mRequests.size());
      otherWeights += waiting.mWeight;
    }
  }
  const double turns = own * otherWeights / aRequest.mWeight;
  return higher + own + std::min(others, turns);
}

std::optional<QueuedRequest> FairQueue::PopFair(ClassQueue& aQueue,
                                                const Filter& aMayRun)
{
  size_t passedOver = 0;
  while (passedOver < aQueue.mTurns.size()) {
    const std::string account = aQueue.mTurns.front();
    AccountQueue& waiting = aQueue.mAccounts.at(account);
    if (aMayRun && !aMayRun(waiting.mRequests.front())) {
      ++passedOver;
      aQueue.mTurns.pop_front();
      aQueue.mTurns.push_back(account);
      continue;
    }
    passedOver = 0;
    if (waiting.mDeficit < waiting.mRequests.front().mCost) {
      waiting.mDeficit += mOptions.mQuantum * waiting.mWeight;
      aQueue.mTurns.pop_front();
      aQueue.mTurns.push_back(account);
      continue;
    }
    QueuedRequest next = std::move(waiting.mRequests.front());
    waiting.mRequests.pop_front();
    waiting.mDeficit -= next.mCost;
    if (waiting.mRequests.empty()) {
      Forget(aQueue, account);
    }
    return next;
  }
  return std::nullopt;
}

void FairQueue::Remove(uint64_t aId)
{
  for (ClassQueue& queue : mClasses) {
    for (auto& [account, waiting] : queue.mAccounts) {
      const size_t removed =
        std::erase_if(waiting.mRequests, [&](const QueuedRequest& aRequest) {
          return aRequest.mId == aId;
        });
      if (removed == 0) {
        continue;
      }
      queue.mSize -= removed;
      mSize -= removed;
      if (waiting.mRequests.empty()) {
        Forget(queue, std::string(account));
      }
      return;
    }
  }
}

void FairQueue::Forget(ClassQueue& aQueue, const std::string& aAccount)
{
  aQueue.mAccounts.erase(aAccount);
  std::erase(aQueue.mTurns, aAccount);
}

} // namespace agatetide::policy
