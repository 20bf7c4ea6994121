#pragma once

#include "agatetide/http/message.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace agatetide::fleet {

/// @brief One upstream replica as its registration describes it.
struct Replica
{
  /// Names one start of the process at this address.
  std::string mId;
  std::string mService;
  std::string mAddress;
  http::Endpoint mEndpoint;
  std::string mAvailabilityZone;
  unsigned mSlots = 1;
  bool mDraining = false;
  /// May be reclaimed at short notice.
  bool mPreemptible = false;
  /// Unix milliseconds of its start; 0 when it is not known.
  int64_t mStartTimeMs = 0;
  /// Weight version by model.
  std::map<std::string, int64_t, std::less<>> mVersions;
};

} // namespace agatetide::fleet
