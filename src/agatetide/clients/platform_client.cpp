#include "agatetide/clients/platform_client.hpp"

#include <nlohmann/json.hpp>

namespace agatetide::clients {

using nlohmann::json;

namespace {

http::Request JsonRequest(std::string aMethod,
                          std::string aTarget,
                          std::string aBody)
{
  http::Request request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  request.mHeaders.push_back({ "content-type", "application/json" });
  request.mBody = std::move(aBody);
  return request;
}

Awaitable<Result<http::Response>> Send(
  http::Client& aClient,
  http::Endpoint aPlatform,
  http::Request aRequest,
  std::chrono::steady_clock::time_point aDeadline)
{
  auto answer = co_await aClient.Call(
    std::move(aPlatform), std::move(aRequest), { aDeadline });
  if (answer.has_error()) {
    co_return answer.error();
  }
  if (answer->mStatus != 200) {
    const bool fenced = answer->mStatus == 403 || answer->mStatus == 409;
    co_return Error{
      fenced ? ErrorKind::PermissionDenied : ErrorKind::OutcomeUnknown,
      "the platform answered HTTP status " + std::to_string(answer->mStatus),
      fenced ? "another daemon holds the duty"
             : "repeat the same order or report",
      Execution::Unknown
    };
  }
  co_return std::move(*answer);
}

} // namespace

Awaitable<Result<bool>> SendCapacityOrder(
  http::Client& aClient,
  http::Endpoint aPlatform,
  CapacityOrder aOrder,
  std::chrono::steady_clock::time_point aDeadline)
{
  const json body = { { "upstream", aOrder.mUpstream },
                      { "availability_zone", aOrder.mAvailabilityZone },
                      { "regular", aOrder.mRegular },
                      { "preemptible", aOrder.mPreemptible },
                      { "sequence", aOrder.mSequence },
                      { "fencing_number", aOrder.mFencingToken } };
  auto answer = co_await Send(aClient,
                              std::move(aPlatform),
                              JsonRequest("POST", "/orders", body.dump()),
                              aDeadline);
  if (answer.has_error()) {
    co_return answer.error();
  }
  co_return true;
}

Awaitable<Result<bool>> SendUsage(
  http::Client& aClient,
  http::Endpoint aPlatform,
  std::string aSealedWindow,
  std::chrono::steady_clock::time_point aDeadline)
{
  auto answer =
    co_await Send(aClient,
                  std::move(aPlatform),
                  JsonRequest("POST", "/usage", std::move(aSealedWindow)),
                  aDeadline);
  if (answer.has_error()) {
    co_return answer.error();
  }
  co_return true;
}

Awaitable<Result<std::vector<ListedUpstream>>> ReadUpstreamList(
  http::Client& aClient,
  http::Endpoint aPlatform,
  std::chrono::steady_clock::time_point aDeadline)
{
  auto answer = co_await Send(
    aClient, std::move(aPlatform), JsonRequest("GET", "/hosts", ""), aDeadline);
  if (answer.has_error()) {
    co_return answer.error();
  }
  std::vector<ListedUpstream> upstreams;
  const json body = json::parse(answer->mBody, nullptr, false);
  if (!body.is_object()) {
    co_return Error{ ErrorKind::DataLoss,
                     "the host list is not a JSON object",
                     "check the platform" };
  }
  for (const json& entry : body.value("hosts", json::array())) {
    upstreams.push_back(
      { entry.value("address", ""), entry.value("leaving", false) });
  }
  co_return upstreams;
}

} // namespace agatetide::clients
