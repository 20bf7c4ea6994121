// Test double of the platform: accepts orders and usage reports and serves the
// host list. GET /state reports what arrived, and counts stale orders and
// windows that were reported again.
// POST /control {"down":bool,"hosts":[...]} sets faults and the host list.

#include "doubles/double_runner.hpp"

#include <nlohmann/json.hpp>

#include <map>

using namespace agatetide;
using nlohmann::json;

namespace {

class PlatformDouble
{
public:
  Awaitable<http::Response> Handle(http::Request aRequest)
  {
    if (aRequest.mTarget == "/state") {
      const json state = { { "orders", mOrders },
                           { "usage", mUsageByWindow },
                           { "stale_orders", mStaleOrders },
                           { "conflicting_windows", mConflictingWindows },
                           { "repeated_windows", mRepeatedWindows } };
      co_return http::MakeResponse(200, "application/json", state.dump());
    }
    if (aRequest.mTarget == "/control") {
      mControl = json::parse(aRequest.mBody);
      co_return http::MakeResponse(200, "application/json", "{}");
    }
    if (mControl.value("down", false)) {
      co_return http::MakeResponse(503, "application/json", "{}");
    }
    if (aRequest.mTarget == "/hosts") {
      const json hosts = { { "hosts",
                             mControl.value("hosts", json::array()) } };
      co_return http::MakeResponse(200, "application/json", hosts.dump());
    }
    if (aRequest.mTarget == "/orders") {
      co_return AcceptOrder(json::parse(aRequest.mBody));
    }
    if (aRequest.mTarget == "/usage") {
      co_return AcceptUsage(aRequest.mBody.Release());
    }
    co_return http::MakeResponse(404, "application/json", "{}");
  }

private:
  http::Response AcceptOrder(const json& aOrder)
  {
    const int64_t fencingToken = aOrder.value("fencing_number", int64_t{ 0 });
    if (fencingToken < mFencingToken) {
      ++mStaleOrders;
      return http::MakeResponse(409, "application/json", "{}");
    }
    mFencingToken = fencingToken;
    mOrders.push_back(aOrder);
    return http::MakeResponse(200, "application/json", "{}");
  }

  http::Response AcceptUsage(const std::string& aBody)
  {
    const std::string window =
      std::to_string(json::parse(aBody).value("window", int64_t{ 0 }));
    const auto [entry, added] = mUsageByWindow.emplace(window, aBody);
    if (!added) {
      ++(entry->second == aBody ? mRepeatedWindows : mConflictingWindows);
    }
    return http::MakeResponse(200, "application/json", "{}");
  }

  json mControl = json::object();
  json mOrders = json::array();
  std::map<std::string, std::string> mUsageByWindow;
  int64_t mFencingToken = 0;
  uint64_t mStaleOrders = 0;
  uint64_t mConflictingWindows = 0;
  uint64_t mRepeatedWindows = 0;
};

} // namespace

int main(int aCount, char** aArguments)
{
  PlatformDouble platform;
  return doubles::RunDouble(cxxopts::Options("double_platform"),
                            aCount,
                            aArguments,
                            [&](auto&, const auto&) {
                              return [&](http::Request aRequest) {
                                return platform.Handle(std::move(aRequest));
                              };
                            });
}
