#include "agatetide/coordination/watch_messages.hpp"

#include "agatetide/coordination/store_archive.hpp"

namespace agatetide::coordination {

template<class Archive>
void serialize(Archive& aArchive, PeerWatchRequest& aRequest)
{
  aArchive(aRequest.mPrefix, aRequest.mAfterRevision, aRequest.mWaitMs);
}

template<class Archive>
void serialize(Archive& aArchive, PeerWatchReply& aReply)
{
  aArchive(
    aReply.mChanges, aReply.mRevision, aReply.mWaitedMs, aReply.mStalenessMs);
}

std::string Encode(const PeerWatchRequest& aRequest)
{
  return EncodePortable(aRequest);
}

std::string Encode(const PeerWatchReply& aReply)
{
  return EncodePortable(aReply);
}

Result<PeerWatchRequest> DecodePeerWatchRequest(std::string_view aBytes)
{
  return DecodePortable<PeerWatchRequest>(
    aBytes, "a watch request of another daemon", ErrorKind::InvalidArgument);
}

Result<PeerWatchReply> DecodePeerWatchReply(std::string_view aBytes)
{
  return DecodePortable<PeerWatchReply>(
    aBytes, "a watch reply of another daemon", ErrorKind::InvalidArgument);
}

} // namespace agatetide::coordination
