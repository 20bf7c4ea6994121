// Test double of a plain service: answers each call after a service time, with
// bounded concurrency, and records the ids of the requests it ran. A body that
// contains CRASH ends the process.
// GET /seen reports runs by request id and the number of requests with a key;
// POST /control {"leaving":bool,"service_ms":n,"crossed":bool} injects faults
// (crossed: the response names another request).

#include "doubles/double_runner.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

using namespace agatetide;
using nlohmann::json;

namespace {

class ServiceDouble
{
public:
  ServiceDouble(boost::asio::io_context& aContext,
                int aServiceMs,
                unsigned aMaxRunning,
                doubles::RegionDelay aRegionDelay)
    : mContext(aContext)
    , mServiceMs(aServiceMs)
    , mMaxRunning(aMaxRunning)
    , mRegionDelay(aRegionDelay)
  {
  }

  Awaitable<http::Response> Handle(http::Request aRequest)
  {
    if (aRequest.mTarget == "/load") {
      const json load = {
        { "running", std::min(mInFlight, mMaxRunning) },
        { "queued", mInFlight > mMaxRunning ? mInFlight - mMaxRunning : 0 },
        { "leaving", mControl.value("leaving", false) }
      };
      co_return http::MakeResponse(200, "application/json", load.dump());
    }
    if (aRequest.mTarget == "/seen") {
      const json seen = { { "runs", mRunsByRequestId },
                          { "total", mTotal },
                          { "keys_seen", mKeysSeen } };
      co_return http::MakeResponse(200, "application/json", seen.dump());
    }
    if (aRequest.mTarget == "/control") {
      mControl = json::parse(aRequest.mBody);
      co_return http::MakeResponse(200, "application/json", "{}");
    }
    const auto regionDelay = mRegionDelay.DelayFor(aRequest.mRemoteAddress);
    if (regionDelay.count() > 0) {
      boost::asio::steady_timer timer(mContext, regionDelay);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    co_return co_await Run(std::move(aRequest));
  }

private:
  Awaitable<http::Response> Run(http::Request aRequest)
  {
    if (aRequest.mBody.View().find("CRASH") != std::string::npos) {
      std::_Exit(1);
    }
    const std::string id(http::FindHeader(aRequest.mHeaders, "x-request-id"));
    if (!http::FindHeader(aRequest.mHeaders, "authorization").empty() ||
        aRequest.mBody.View().find("ak_") != std::string::npos) {
      ++mKeysSeen;
    }
    ++mInFlight;
    const unsigned runCount = ++mRunsByRequestId[id];
    ++mTotal;
    const auto serviceTime =
      std::chrono::milliseconds(mControl.value("service_ms", mServiceMs)) *
      ((mInFlight + mMaxRunning - 1) / mMaxRunning);
    boost::asio::steady_timer timer(mContext, serviceTime);
    co_await timer.async_wait(boost::asio::use_awaitable);
    --mInFlight;
    const json body = { { "result", "done " + aRequest.mTarget },
                        { "run", runCount } };
    auto response = http::MakeResponse(200, "application/json", body.dump());
    response.mHeaders.push_back(
      { "x-request-id", mControl.value("crossed", false) ? "other" : id });
    co_return response;
  }

  boost::asio::io_context& mContext;
  int mServiceMs;
  unsigned mMaxRunning;
  doubles::RegionDelay mRegionDelay;
  unsigned mInFlight = 0;
  std::map<std::string, unsigned> mRunsByRequestId;
  uint64_t mTotal = 0;
  uint64_t mKeysSeen = 0;
  json mControl = json::object();
};

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("double_service");
  options.add_options()(
    "service-ms", "", cxxopts::value<int>()->default_value("3"))(
    "slots", "", cxxopts::value<unsigned>()->default_value("8"));
  doubles::AddRegionDelayOptions(options);
  std::unique_ptr<ServiceDouble> service;
  return doubles::RunDouble(
    options, aCount, aArguments, [&](auto& aContext, const auto& aParsed) {
      service = std::make_unique<ServiceDouble>(
        aContext,
        aParsed["service-ms"].template as<int>(),
        aParsed["slots"].template as<unsigned>(),
        doubles::ParseRegionDelay(aParsed));
      return [&](http::Request aRequest) {
        return service->Handle(std::move(aRequest));
      };
    });
}
