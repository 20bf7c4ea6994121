#pragma once

#include "agatetide/coordination/portable_bytes.hpp"
#include "agatetide/coordination/store.hpp"

namespace agatetide::coordination {

template<class Archive>
void serialize(Archive& aArchive, StoreEntry& aEntry)
{
  aArchive(aEntry.mKey,
           aEntry.mValue,
           aEntry.mCreateRevision,
           aEntry.mModRevision,
           aEntry.mLeaseId);
}

template<class Archive>
void serialize(Archive& aArchive, StoreChange& aChange)
{
  aArchive(aChange.mEntry, aChange.mRemoved);
}

template<class Archive>
void serialize(Archive& aArchive, RangeRequest& aRequest)
{
  aArchive(aRequest.mKey, aRequest.mRangeEnd, aRequest.mLimit);
}

template<class Archive>
void serialize(Archive& aArchive, StoreCompare& aCompare)
{
  aArchive(aCompare.mKey, aCompare.mModRevision);
}

template<class Archive>
void serialize(Archive& aArchive, StorePut& aPut)
{
  aArchive(aPut.mKey, aPut.mValue, aPut.mLeaseId);
}

template<class Archive>
void serialize(Archive& aArchive, StoreDelete& aDelete)
{
  aArchive(aDelete.mKey);
}

template<class Archive>
void serialize(Archive& aArchive, TransactionRequest& aRequest)
{
  aArchive(aRequest.mCompares,
           aRequest.mPuts,
           aRequest.mDeletes,
           aRequest.mReadOnFailure);
}

template<class Archive>
void serialize(Archive& aArchive, LeaseGrantRequest& aRequest)
{
  aArchive(aRequest.mTtlSeconds);
}

template<class Archive>
void serialize(Archive& aArchive, LeaseKeepAliveRequest& aRequest)
{
  aArchive(aRequest.mLeaseId);
}

template<class Archive>
void serialize(Archive& aArchive, LeaseRevokeRequest& aRequest)
{
  aArchive(aRequest.mLeaseId);
}

template<class Archive>
void serialize(Archive& aArchive, StoreReply& aReply)
{
  aArchive(aReply.mRevision,
           aReply.mSucceeded,
           aReply.mEntries,
           aReply.mLeaseId,
           aReply.mTtlSeconds);
}

} // namespace agatetide::coordination
