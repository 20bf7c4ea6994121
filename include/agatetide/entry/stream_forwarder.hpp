#pragma once

#include "agatetide/entry/stream_origins.hpp"
#include "agatetide/request/forwarder.hpp"

#include <optional>
#include <string>

namespace agatetide::entry {

/// @brief Forwards the streams of callers that may be resumed. A stream goes on
/// only at replicas of the service and software version where it began. Not
/// thread-safe: use it only on the executor of the daemon.
class StreamForwarder
{
public:
  /// Precondition: aView, aForwarder and aOrigins outlive the object.
  StreamForwarder(const fleet::FleetView& aView,
                  request::Forwarder& aForwarder,
                  StreamOrigins& aOrigins);

  /// @brief Forwards a request that starts a stream, or that continues the
  /// stream of the request aFirstRequestId. If that is empty, the caller did
  /// not name the request; the stream then goes on only while there is no doubt
  /// where it began. Errors: as Forwarder::Run();
  /// Unavailable with Execution::NotRun if no replica can continue the stream,
  /// or if it is not known where it began; DeadlineExceeded if the origin of a
  /// new stream could not be stored.
  Awaitable<Result<request::UpstreamResponse>> Run(
    request::ForwardRequest aRequest,
    std::optional<std::string> aFirstRequestId);

private:
  Awaitable<Result<request::StreamOrigin>> FindOrigin(
    const fleet::Route& aRoute,
    const std::optional<fleet::RegionSet>& aAllowedRegions,
    std::string aFirstRequestId);

  const fleet::FleetView& mView;
  request::Forwarder& mForwarder;
  StreamOrigins& mOrigins;
};

} // namespace agatetide::entry
