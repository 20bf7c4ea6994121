#pragma once

#include "agatetide/coordination/store.hpp"

#include <string>
#include <string_view>

namespace agatetide::coordination {

/// @brief A daemon's request to another for the changes under a prefix.
struct PeerWatchRequest
{
  std::string mPrefix;
  int64_t mAfterRevision = 0;
  int64_t mWaitMs = 0;
};

/// @brief The other daemon's reply. It holds ages instead of times, since the
/// clocks of daemons differ.
struct PeerWatchReply
{
  std::vector<StoreChange> mChanges;
  int64_t mRevision = 0;
  /// Time from the arrival of the request to the reply.
  int64_t mWaitedMs = 0;
  /// Upper bound of the staleness of the changes at the time of the reply.
  int64_t mStalenessMs = 0;
};

/// @brief Serialisation of the messages. Decoding errors: InvalidArgument.
std::string Encode(const PeerWatchRequest& aRequest);
std::string Encode(const PeerWatchReply& aReply);
Result<PeerWatchRequest> DecodePeerWatchRequest(std::string_view aBytes);
Result<PeerWatchReply> DecodePeerWatchReply(std::string_view aBytes);

} // namespace agatetide::coordination
