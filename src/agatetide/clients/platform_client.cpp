#include "agatetide/clients/platform_client.hpp"

#include <nlohmann/json.hpp>

namespace agatetide::clients {

using nlohmann::json;

namespace {

http::Request MakeJsonRequest(std::string aMethod,
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
  auto response = co_await aClient.Call(
    std::move(aPlatform), std::move(aRequest), { aDeadline });
  if (response.has_error()) {
    co_return response.error();
  }
  if (response->mStatus != 200) {
    const bool tokenOutdated =
      response->mStatus == 403 || response->mStatus == 409;
    co_return Error{ tokenOutdated ? ErrorKind::PermissionDenied
                                   : ErrorKind::OutcomeUnknown,
                     "the platform responded with HTTP status " +
                       std::to_string(response->mStatus),
                     tokenOutdated ? "another daemon holds the lease"
                                   : "repeat the same order or report",
                     Execution::Unknown };
  }
  co_return std::move(*response);
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
  auto response = co_await Send(aClient,
                                std::move(aPlatform),
                                MakeJsonRequest("POST", "/orders", body.dump()),
                                aDeadline);
  if (response.has_error()) {
    co_return response.error();
  }
  co_return true;
}

Awaitable<Result<bool>> SendUsage(
  http::Client& aClient,
  http::Endpoint aPlatform,
  std::string aSealedWindow,
  std::chrono::steady_clock::time_point aDeadline)
{
  auto response =
    co_await Send(aClient,
                  std::move(aPlatform),
                  MakeJsonRequest("POST", "/usage", std::move(aSealedWindow)),
                  aDeadline);
  if (response.has_error()) {
    co_return response.error();
  }
  co_return true;
}

Awaitable<Result<std::vector<ListedReplica>>> ReadReplicaList(
  http::Client& aClient,
  http::Endpoint aPlatform,
  std::chrono::steady_clock::time_point aDeadline)
{
  auto response = co_await Send(aClient,
                                std::move(aPlatform),
                                MakeJsonRequest("GET", "/hosts", ""),
                                aDeadline);
  if (response.has_error()) {
    co_return response.error();
  }
  std::vector<ListedReplica> upstreams;
  const json body = json::parse(response->mBody, nullptr, false);
  if (!body.is_object()) {
    co_return Error{ ErrorKind::DataLoss,
                     "the host list is not a JSON object",
                     "check the state of the platform" };
  }
  for (const json& entry : body.value("hosts", json::array())) {
    upstreams.push_back(
      { entry.value("address", ""), entry.value("leaving", false) });
  }
  co_return upstreams;
}

} // namespace agatetide::clients
