#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/http/client.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace agatetide::clients {

/// @brief Desired replicas of one upstream in one availability zone.
/// Declarative, so that a repeat changes nothing.
struct CapacityOrder
{
  std::string mUpstream;
  std::string mAvailabilityZone;
  uint32_t mRegular = 0;
  uint32_t mPreemptible = 0;
  int64_t mSequence = 0;
  int64_t mFencingToken = 0;
};

/// @brief One entry of the platform's lagging host list.
struct ListedUpstream
{
  std::string mAddress;
  bool mLeaving = false;
};

/// @brief Sends an order to the platform. Errors: those of http::Client;
/// PermissionDenied when the fencing number is old.
Awaitable<Result<bool>> SendCapacityOrder(
  http::Client& aClient,
  http::Endpoint aPlatform,
  CapacityOrder aOrder,
  std::chrono::steady_clock::time_point aDeadline);

/// @brief Sends the sealed bytes of a usage window.
Awaitable<Result<bool>> SendUsage(
  http::Client& aClient,
  http::Endpoint aPlatform,
  std::string aSealedWindow,
  std::chrono::steady_clock::time_point aDeadline);

/// @brief Reads the list of live and leaving upstreams.
Awaitable<Result<std::vector<ListedUpstream>>> ReadUpstreamList(
  http::Client& aClient,
  http::Endpoint aPlatform,
  std::chrono::steady_clock::time_point aDeadline);

} // namespace agatetide::clients
