#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/http/message.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace agatetide::fleet {

/// @brief An upstream replica as its registration describes it.
struct Replica
{
  /// Unique for each start of the process at this address.
  std::string mId;
  std::string mService;
  std::string mAddress;
  http::Endpoint mEndpoint;
  std::string mAvailabilityZone;
  /// Version of the replica's software. Replicas of several versions may serve
  /// side by side; their texts do not fit together.
  std::string mSoftwareVersion;
  /// Requests that the replica processes at the same time.
  unsigned mSlots = 1;
  bool mDraining = false;
  /// The platform may reclaim it at short notice.
  bool mPreemptible = false;
  /// Start of the process in Unix milliseconds; 0 if unknown.
  int64_t mStartTimeMs = 0;
  /// How much longer the replica is cold, by its registration; std::nullopt if
  /// that says nothing.
  std::optional<Milliseconds> mColdTimeLeft;
  /// The replica is cold until then, on the clock of the FleetView that holds
  /// it.
  TimePoint mColdUntil{};
  /// Loaded version of the weights by model.
  std::map<std::string, int64_t, std::less<>> mVersions;
};

} // namespace agatetide::fleet
