#pragma once

#include "agatetide/base/clock.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace agatetide::request {

/// @brief What a response of a replica says of the requests that it accepts.
struct LimitReport
{
  /// Requests per second that the replica accepts from all hosts together;
  /// std::nullopt if it does not limit them.
  std::optional<double> mRequestsPerSecond;
  /// When the request of the response was sent.
  TimePoint mSentAt{};
};

/// @brief The request limits that replicas under load name in their responses.
/// Not thread-safe.
class RequestLimits
{
public:
  explicit RequestLimits(Clock aClock);

  /// @brief Records what a response says. A response without a limit ends the
  /// limit only if its request was sent after the limit was last named, since
  /// responses may overtake each other.
  void Record(std::string_view aReplicaId, const LimitReport& aReport);

  /// @brief Counts a request to a replica, for the log.
  void CountSent(std::string_view aReplicaId);

private:
  struct Limit
  {
    double mRequestsPerSecond = 0.0;
    TimePoint mNamedAt{};
    /// Start of the period of mSentCount.
    TimePoint mCountStart{};
    /// Requests that this host sent in the period.
    unsigned mSentCount = 0;
  };

  Clock mClock;
  std::map<std::string, Limit, std::less<>> mLimits;
};

} // namespace agatetide::request
