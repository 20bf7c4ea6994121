#pragma once

#include "agatetide/coordination/store.hpp"

#include <string>
#include <string_view>

namespace agatetide::coordination {

/// @brief One daemon asks another for changes under a prefix.
struct PeerWatchRequest
{
  std::string mPrefix;
  int64_t mAfterRevision = 0;
  int64_t mWaitMs = 0;
};

/// @brief The other daemon's answer. Ages are used in place of times, since
/// clocks of daemons differ.
struct PeerWatchReply
{
  std::vector<StoreChange> mChanges;
  int64_t mRevision = 0;
  /// Time between the arrival of the request and the reply.
  int64_t mWaitedMs = 0;
  /// Age of the proof at the time of the reply.
  int64_t mStalenessMs = 0;
};

/// @brief Messages as bytes. Decoding errors: InvalidArgument.
std::string Encode(const PeerWatchRequest& aRequest);
std::string Encode(const PeerWatchReply& aReply);
Result<PeerWatchRequest> DecodePeerWatchRequest(std::string_view aBytes);
Result<PeerWatchReply> DecodePeerWatchReply(std::string_view aBytes);

} // namespace agatetide::coordination
