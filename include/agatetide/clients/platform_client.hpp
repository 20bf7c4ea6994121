#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/http/client.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace agatetide::clients {

/// @brief Desired numbers of replicas of one upstream in one availability zone.
/// Declarative, so that a repeated order changes nothing.
struct CapacityOrder
{
  std::string mUpstream;
  std::string mAvailabilityZone;
  uint32_t mRegular = 0;
  uint32_t mPreemptible = 0;
  int64_t mSequence = 0;
  int64_t mFencingToken = 0;
};

/// @brief One entry of the platform's list of replicas, which may be slightly
/// outdated.
struct ListedReplica
{
  std::string mAddress;
  /// The replica is about to shut down.
  bool mDraining = false;
};

/// @brief Sends an order to the platform. Errors: those of http::Client;
/// PermissionDenied if the fencing token is outdated; OutcomeUnknown for other
/// failure statuses. The value is always true.
Awaitable<Result<bool>> SendCapacityOrder(
  http::Client& aClient,
  http::Endpoint aPlatform,
  CapacityOrder aOrder,
  std::chrono::steady_clock::time_point aDeadline);

/// @brief Sends the sealed record of a usage window. Errors: as for
/// SendCapacityOrder(). The value is always true.
Awaitable<Result<bool>> SendUsage(
  http::Client& aClient,
  http::Endpoint aPlatform,
  std::string aSealedWindow,
  std::chrono::steady_clock::time_point aDeadline);

/// @brief Reads the list of replicas that run, including those that are about
/// to shut down. Errors: as for SendCapacityOrder(); DataLoss if the list is
/// malformed.
Awaitable<Result<std::vector<ListedReplica>>> ReadReplicaList(
  http::Client& aClient,
  http::Endpoint aPlatform,
  std::chrono::steady_clock::time_point aDeadline);

} // namespace agatetide::clients
