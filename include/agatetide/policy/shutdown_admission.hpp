#pragma once

#include "agatetide/base/clock.hpp"

#include <optional>

namespace agatetide::policy {

/// @brief What is known of a request before it is sent to a replica.
struct PendingRequest
{
  /// Whether it may be repeated once a replica has run it.
  bool mIdempotent = false;
  /// Time until its deadline.
  Duration mTimeLeft{};
  /// Latency that few requests to its service exceed; std::nullopt if too few
  /// were measured.
  std::optional<Duration> mUsualLatency;
  /// Latency within which the caller wants the response.
  Duration mTargetLatency{};
};

/// @brief Whether a host that stops in aTimeUntilStop should still send a
/// request to a replica. Other hosts can run a refused one, so a request that
/// may not be repeated is sent only if it cannot outlast this host, and one
/// that may be is sent if it usually does not. Load pattern: a planned stop,
/// with callers that go on using the addresses and connections that they have.
bool FitsBeforeStop(const PendingRequest& aRequest, Duration aTimeUntilStop);

} // namespace agatetide::policy
