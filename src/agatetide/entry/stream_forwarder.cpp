#include "agatetide/entry/stream_forwarder.hpp"

#include "agatetide/base/event_log.hpp"

#include <algorithm>

namespace agatetide::entry {

using request::StreamOrigin;
using request::UpstreamResponse;

namespace {

Error CannotContinue(std::string aReason)
{
  return { ErrorKind::Unavailable,
           std::move(aReason),
           "start the stream again, or retry after a short pause",
           Execution::NotRun };
}

} // namespace

StreamForwarder::StreamForwarder(const fleet::FleetView& aView,
                                 request::Forwarder& aForwarder,
                                 StreamOrigins& aOrigins)
  : mView(aView)
  , mForwarder(aForwarder)
  , mOrigins(aOrigins)
{
}

Awaitable<Result<StreamOrigin>> StreamForwarder::FindOrigin(
  const fleet::Route& aRoute,
  const std::optional<fleet::RegionSet>& aAllowedRegions,
  std::string aFirstRequestId)
{
  const bool named = !aFirstRequestId.empty();
  auto origin =
    co_await mOrigins.Find(aRoute.mHttpHost, std::move(aFirstRequestId));
  if (origin.has_error()) {
    co_return CannotContinue("it is not known where the stream began: " +
                             origin.error().mMessage);
  }
  bool served = false;
  for (const auto& [replicaId, replica] : mView.Replicas()) {
    const bool fits = origin->IsOf(replica);
    served = served || (fits && !replica.mDraining &&
                        mView.MayUse(replica, aAllowedRegions));
    if (!named && !fits && replica.mService == origin->mService) {
      co_return CannotContinue("the request does not name the one that started "
                               "the stream");
    }
  }
  if (!served || !aRoute.Allows(origin->mService)) {
    co_return CannotContinue("no replica of " + origin->mService +
                             " has the software version of the stream, " +
                             origin->mSoftwareVersion);
  }
  co_return origin;
}

Awaitable<Result<UpstreamResponse>> StreamForwarder::Run(
  request::ForwardRequest aRequest,
  std::optional<std::string> aFirstRequestId)
{
  const std::string id = aRequest.mPrototype.mId;
  const std::string httpHost = aRequest.mRoute.mHttpHost;
  if (aFirstRequestId) {
    auto origin = co_await FindOrigin(aRequest.mRoute,
                                      aRequest.mPrototype.mAllowedRegions,
                                      std::string(*aFirstRequestId));
    LogEvent("stream_continued")
      .Field("request_id", id)
      .Field("first_request_id", *aFirstRequestId)
      .Field("result",
             origin.has_error() ? FormatError(origin.error())
                                : origin->mSoftwareVersion)
      .Write();
    if (origin.has_error()) {
      co_return origin.error();
    }
    aRequest.mOrigin = std::move(*origin);
    co_return co_await mForwarder.Run(std::move(aRequest));
  }
  auto response = co_await mForwarder.Run(std::move(aRequest));
  if (response.has_error() || !response->IsSuccess()) {
    co_return response;
  }
  StreamOrigin origin = response->mOrigin;
  const auto recorded = co_await mOrigins.Record(httpHost, id, origin);
  if (recorded.has_error()) {
    LogEvent("stream_not_recorded", LogLevel::Warning)
      .Field("request_id", id)
      .Field("error", FormatError(recorded.error()))
      .Write();
    co_return Error{ ErrorKind::DeadlineExceeded,
                     "it could not be stored where the stream began",
                     "start the stream again",
                     Execution::Unknown };
  }
  co_return response;
}

} // namespace agatetide::entry
