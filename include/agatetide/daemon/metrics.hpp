#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/http/server.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace agatetide::daemon {

struct TrafficContext;

/// @brief Counters of the control thread; each TrafficView has a copy.
struct ControlCounters
{
  uint64_t mStoreReads = 0;
  uint64_t mStoreWrites = 0;
  uint64_t mStoreErrors = 0;
  uint64_t mDatagramsSent = 0;
  uint64_t mDatagramsReceived = 0;
  uint64_t mDatagramsInvalid = 0;
  uint64_t mPeerBytesSent = 0;
  uint64_t mPeerRequests = 0;
  uint64_t mPeerRequestsInvalid = 0;
};

/// @brief State of the caller-facing server.
struct ServerState
{
  size_t mRunningRequests = 0;
  size_t mConnections = 0;
  http::ServerCounters mCounters;
};

/// @brief Counts requests and their latency. Owned by the traffic thread.
///
/// Label values come from fixed sets and from the upstream groups of the
/// configuration, so that callers cannot increase their number.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// @brief Counts one finished request. aError is nullptr on success. The
  /// characters of aClass must outlive this object.
  void CountRequest(std::string_view aClass,
                    const Error* aError,
                    std::chrono::duration<double, std::milli> aTook);

  /// @brief Returns all metrics in the Prometheus text format.
  std::string Text(const TrafficContext& aContext,
                   const ServerState& aServer) const;

private:
  struct Latency;
  std::map<std::string_view, std::unique_ptr<Latency>> mLatency;
  std::map<std::pair<std::string_view, std::string_view>, uint64_t> mRequests;
  std::map<std::string_view, uint64_t> mRefusals;
};

/// @brief Returns the class label of a method: the built-in service, or the
/// request class of its route; "unknown" without a route.
std::string_view MethodClass(const TrafficContext& aContext,
                             std::string_view aMethod);

} // namespace agatetide::daemon
