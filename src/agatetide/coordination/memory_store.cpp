#include "agatetide/coordination/memory_store.hpp"

#include <algorithm>

namespace agatetide::coordination {

StoreReply MemoryStore::Apply(const StoreRequest& aRequest)
{
  ExpireLeases();
  StoreReply reply;
  if (const auto* range = std::get_if<RangeRequest>(&aRequest)) {
    reply = Range(*range);
  } else if (const auto* commit = std::get_if<TransactionRequest>(&aRequest)) {
    reply = Commit(*commit);
  } else if (const auto* grant = std::get_if<LeaseGrantRequest>(&aRequest)) {
    reply = Grant(*grant);
  } else if (const auto* keep = std::get_if<LeaseKeepAliveRequest>(&aRequest)) {
    reply = KeepAlive(*keep);
  } else {
    RemoveLease(std::get<LeaseRevokeRequest>(aRequest).mLeaseId);
    reply.mSucceeded = true;
  }
  reply.mRevision = mRevision;
  return reply;
}

StoreCall MemoryStore::AsCall()
{
  return [this](StoreRequest aRequest) -> Awaitable<Result<StoreReply>> {
    co_return Apply(aRequest);
  };
}

void MemoryStore::ExpireLeases()
{
  std::vector<int64_t> expired;
  for (const auto& [id, lease] : mLeases) {
    if (lease.mExpiry <= mClock()) {
      expired.push_back(id);
    }
  }
  for (const int64_t id : expired) {
    RemoveLease(id);
  }
}

void MemoryStore::RemoveLease(int64_t aLeaseId)
{
  if (mLeases.erase(aLeaseId) == 0) {
    return;
  }
  const size_t removed = std::erase_if(mEntries, [&](const auto& aItem) {
    return aItem.second.mLeaseId == aLeaseId;
  });
  if (removed > 0) {
    ++mRevision;
  }
}

StoreReply MemoryStore::Range(const RangeRequest& aRequest) const
{
  StoreReply reply;
  reply.mSucceeded = true;
  if (aRequest.mRangeEnd.empty()) {
    const auto found = mEntries.find(aRequest.mKey);
    if (found != mEntries.end()) {
      reply.mEntries.push_back(found->second);
    }
    return reply;
  }
  reply.mEndReached = true;
  const bool unbounded = aRequest.mRangeEnd == std::string(1, '\0');
  for (auto entry = mEntries.lower_bound(aRequest.mKey);
       entry != mEntries.end();
       ++entry) {
    if (!unbounded && entry->first >= aRequest.mRangeEnd) {
      break;
    }
    if (aRequest.mLimit > 0 &&
        static_cast<int64_t>(reply.mEntries.size()) >= aRequest.mLimit) {
      reply.mEndReached = false;
      break;
    }
    reply.mEntries.push_back(entry->second);
  }
  return reply;
}

StoreReply MemoryStore::Commit(const TransactionRequest& aRequest)
{
  StoreReply reply;
  reply.mSucceeded =
    std::all_of(aRequest.mCompares.begin(),
                aRequest.mCompares.end(),
                [&](const StoreCompare& aCompare) {
                  const auto found = mEntries.find(aCompare.mKey);
                  const int64_t revision =
                    found == mEntries.end() ? 0 : found->second.mModRevision;
                  return revision == aCompare.mModRevision;
                });
  // A put attached to an expired lease does not take effect.
  const bool leasesExist = std::all_of(
    aRequest.mPuts.begin(), aRequest.mPuts.end(), [&](const StorePut& aPut) {
      return aPut.mLeaseId == 0 || mLeases.contains(aPut.mLeaseId);
    });
  reply.mSucceeded = reply.mSucceeded && leasesExist;
  if (!reply.mSucceeded) {
    for (const std::string& key : aRequest.mReadOnFailure) {
      StoreReply found = Range(RangeRequest{ .mKey = key });
      std::move(found.mEntries.begin(),
                found.mEntries.end(),
                std::back_inserter(reply.mEntries));
    }
    return reply;
  }
  if (aRequest.mPuts.empty() && aRequest.mDeletes.empty()) {
    return reply;
  }
  ++mRevision;
  for (const StoreDelete& erase : aRequest.mDeletes) {
    mEntries.erase(erase.mKey);
  }
  for (const StorePut& put : aRequest.mPuts) {
    StoreEntry& entry = mEntries[put.mKey];
    if (entry.mCreateRevision == 0) {
      entry.mKey = put.mKey;
      entry.mCreateRevision = mRevision;
    }
    entry.mValue = put.mValue;
    entry.mModRevision = mRevision;
    entry.mLeaseId = put.mLeaseId;
  }
  return reply;
}

StoreReply MemoryStore::Grant(const LeaseGrantRequest& aRequest)
{
  StoreReply reply;
  reply.mSucceeded = true;
  reply.mLeaseId = mNextLease++;
  reply.mTtlSeconds = aRequest.mTtlSeconds;
  mLeases[reply.mLeaseId] = {
    mClock() + std::chrono::seconds(aRequest.mTtlSeconds), aRequest.mTtlSeconds
  };
  return reply;
}

StoreReply MemoryStore::KeepAlive(const LeaseKeepAliveRequest& aRequest)
{
  StoreReply reply;
  reply.mLeaseId = aRequest.mLeaseId;
  const auto found = mLeases.find(aRequest.mLeaseId);
  if (found == mLeases.end()) {
    return reply; // A TTL of 0 means that the lease does not exist.
  }
  found->second.mExpiry =
    mClock() + std::chrono::seconds(found->second.mTtlSeconds);
  reply.mSucceeded = true;
  reply.mTtlSeconds = found->second.mTtlSeconds;
  return reply;
}

} // namespace agatetide::coordination
