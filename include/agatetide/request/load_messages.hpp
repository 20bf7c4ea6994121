#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/fleet/replica.hpp"
#include "agatetide/request/upstream.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::request {

/// Bytes of each report in a message.
constexpr size_t kLoadBytes = 15;

/// @brief A load report of a replica as hosts tell each other.
struct SharedLoad
{
  /// ReplicaKey() of the replica.
  uint64_t mKey = 0;
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  /// As ReportedLoad::mPace, in percent; 0 if it is not reported.
  uint32_t mPacePercent = 0;
  /// Age of the report when the message was sent.
  uint32_t mAgeMs = 0;

  bool operator==(const SharedLoad&) const = default;
};

/// @brief Identifies one start of a replica in messages: 42 bits of a hash of
/// its id and start time, so that reports from before a restart match no
/// replica. Thread-safe.
uint64_t ReplicaKey(const fleet::Replica& aReplica);

/// @brief Encodes as many of the first reports as fit into aMaxBytes; empty if
/// none fits. Numbers above 4095 are sent as 4095. The text is a valid header
/// value. Thread-safe.
std::string EncodeLoads(std::span<const SharedLoad> aLoads, size_t aMaxBytes);

/// @brief Errors: InvalidArgument if any part of the text is malformed,
/// or if it is longer than any that a host sends. Thread-safe.
Result<std::vector<SharedLoad>> DecodeLoads(std::string_view aText);

} // namespace agatetide::request
