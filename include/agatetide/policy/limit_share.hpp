#pragma once

#include "agatetide/base/clock.hpp"

#include <span>
#include <string_view>

namespace agatetide::policy {

struct LimitShareOptions
{
  /// A lower limit is raised to this rate, so that requests still show when the
  /// limit ends.
  double mMinRequestsPerSecond = 0.5;
  /// So many hosts more than the limit has requests per second may use the
  /// replica at the same time. With more of them, single requests that come
  /// together would exceed the limit.
  unsigned mExtraHosts = 2;
  /// Part of the limit that hosts divide which have not announced their use.
  double mUnannouncedPart = 0.25;
};

/// @brief The request limit of a replica and the hosts that divide it.
struct LimitShareInput
{
  double mRequestsPerSecond = 0.0;
  std::string_view mReplicaId;
  /// The host whose share is wanted.
  std::string_view mHost;
  /// Whether all hosts know that mHost uses the replica.
  bool mAnnounced = false;
  /// All running hosts, including mHost.
  std::span<const std::string_view> mHosts;
  /// The other hosts that have announced that they use the replica.
  std::span<const std::string_view> mOtherUsers;
};

/// @brief Returns the requests per second that a host may send to a replica.
///
/// The replica's limit holds for all hosts together, and its requests come from
/// few of them, so hosts announce that they use it and divide the limit by
/// their number. A host that the others do not know of yet gets a part of the
/// limit that is small enough for all such hosts together. If the limit is low,
/// a few hosts chosen by rendezvous hashing divide it, and the others get 0.
double ShareOfLimit(const LimitShareInput& aInput,
                    const LimitShareOptions& aOptions);

struct RequestPacerOptions
{
  /// Time for which unused requests are saved up; at least one request is.
  double mBurstSeconds = 0.25;
};

/// @brief Token bucket that paces requests at a rate that may change. Starts
/// empty. Not thread-safe.
class RequestPacer
{
public:
  explicit RequestPacer(TimePoint aNow, RequestPacerOptions aOptions = {})
    : mOptions(aOptions)
    , mUpdatedAt(aNow)
  {
  }

  /// @brief Requests per second.
  double Rate() const { return mRequestsPerSecond; }

  /// @brief Changes the rate; 0 allows no requests.
  void SetRate(double aRequestsPerSecond, TimePoint aNow);

  /// @brief Time until a request may be sent; zero if it may be sent now, and
  /// Duration::max() if the rate is 0.
  Duration Delay(TimePoint aNow) const;

  /// @brief Counts a request that is sent, also if it exceeds the rate.
  void Take(TimePoint aNow);

private:
  double TokensAt(TimePoint aNow) const;

  RequestPacerOptions mOptions;
  double mRequestsPerSecond = 0.0;
  double mTokens = 0.0;
  TimePoint mUpdatedAt;
};

} // namespace agatetide::policy
