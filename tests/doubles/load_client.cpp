// Load client: reads a plan as JSON from standard input, runs its flows and
// prints latencies and outcomes as JSON. A flow with "rate" is an open loop
// with seeded exponential arrivals; latency counts from the planned arrival, so
// that a delayed client does not hide server latency. A flow with "closed" is a
// closed loop that keeps that many requests in flight.

#include "agatetide/base/random.hpp"
#include "agatetide/http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <map>

using namespace agatetide;
using nlohmann::json;
namespace asio = boost::asio;
using SteadyClockType = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

namespace {

struct Flow
{
  std::string mLabel;
  std::string mAccount;
  std::string mMethod;
  std::string mBody;
  std::string mKey;
  std::vector<http::Endpoint> mHosts;
  /// Mean arrival rate of an open loop.
  double mRequestsPerSecond = 0.0;
  /// Requests in flight of a closed loop; 0 for an open loop.
  unsigned mClosedLoopRequests = 0;
  std::chrono::milliseconds mTimeout{ 1000 };
  Random mRandom;
  uint64_t mSent = 0;
  uint64_t mAnswered = 0;
  /// Error counts by "kind/execution".
  std::map<std::string, uint64_t> mErrors;
};

class LoadClient
{
public:
  LoadClient(asio::io_context& aContext, const json& aPlan)
    : mContext(aContext)
    , mMeasureStart(SteadyClockType::now() + ParseDuration(aPlan, "warmup_s"))
    , mEnd(mMeasureStart + ParseDuration(aPlan, "seconds"))
  {
    http::ClientOptions options;
    options.mMaxIdleConnections = 4096;
    mClient = http::Client::Create(aContext.get_executor(), options);
    uint64_t seed = aPlan.value("seed", uint64_t{ 1 }) * 1000;
    for (const json& item : aPlan["flows"]) {
      mFlows.push_back(MakeFlow(item, ++seed));
    }
  }

  void Start()
  {
    for (Flow& flow : mFlows) {
      if (flow.mClosedLoopRequests == 0) {
        asio::co_spawn(mContext, RunOpenLoop(flow), asio::detached);
      }
      for (unsigned i = 0; i < flow.mClosedLoopRequests; ++i) {
        asio::co_spawn(mContext, RunClosedLoop(flow), asio::detached);
      }
    }
  }

  json Report()
  {
    json report = { { "flows", json::array() }, { "labels", json::object() } };
    for (const Flow& flow : mFlows) {
      report["flows"].push_back({ { "label", flow.mLabel },
                                  { "account", flow.mAccount },
                                  { "rate", flow.mRequestsPerSecond },
                                  { "sent", flow.mSent },
                                  { "answered", flow.mAnswered },
                                  { "refused", flow.mErrors } });
    }
    for (auto& [label, times] : mLatencies) {
      std::sort(times.begin(), times.end());
      report["labels"][label] = { { "answered", times.size() },
                                  { "p50_ms", Percentile(times, 0.5) },
                                  { "p99_ms", Percentile(times, 0.99) },
                                  { "p999_ms", Percentile(times, 0.999) } };
    }
    return report;
  }

private:
  static SteadyClockType::duration ParseDuration(const json& aPlan,
                                                 const char* aKey)
  {
    return std::chrono::duration_cast<SteadyClockType::duration>(
      Seconds(aPlan.value(aKey, 1.0)));
  }

  static Flow MakeFlow(const json& aFlowPlan, uint64_t aSeed)
  {
    Flow flow;
    flow.mLabel = aFlowPlan["label"];
    flow.mAccount = aFlowPlan.value("account", "");
    flow.mMethod = aFlowPlan["method"];
    flow.mBody = aFlowPlan["body"].dump();
    flow.mKey = aFlowPlan.value("key", "");
    for (const std::string host : aFlowPlan["hosts"]) {
      flow.mHosts.push_back(*http::ParseEndpoint(host));
    }
    flow.mRequestsPerSecond = aFlowPlan.value("rate", 0.0);
    flow.mClosedLoopRequests = aFlowPlan.value("closed", 0U);
    flow.mTimeout =
      std::chrono::milliseconds(aFlowPlan.value("timeout_ms", int64_t{ 1000 }));
    flow.mRandom = SeededRandom(aSeed);
    return flow;
  }

  /// Nearest-rank percentile of a sorted list.
  static double Percentile(const std::vector<double>& aSorted, double aQuantile)
  {
    const double rank =
      std::ceil(static_cast<double>(aSorted.size()) * aQuantile);
    return aSorted[static_cast<size_t>(std::max(rank, 1.0)) - 1];
  }

  Awaitable<void> RunOpenLoop(Flow& aFlow)
  {
    auto arrival = SteadyClockType::now();
    asio::steady_timer timer(mContext);
    while (true) {
      const double gapSeconds =
        -std::log(1.0 - UniformUnit(aFlow.mRandom)) / aFlow.mRequestsPerSecond;
      arrival += std::chrono::duration_cast<SteadyClockType::duration>(
        Seconds(gapSeconds));
      if (arrival >= mEnd) {
        co_return;
      }
      timer.expires_at(arrival);
      co_await timer.async_wait(asio::use_awaitable);
      asio::co_spawn(mContext, Send(aFlow, arrival), asio::detached);
    }
  }

  Awaitable<void> RunClosedLoop(Flow& aFlow)
  {
    while (SteadyClockType::now() < mEnd) {
      co_await Send(aFlow, SteadyClockType::now());
    }
  }

  Awaitable<void> Send(Flow& aFlow, SteadyClockType::time_point aArrival)
  {
    const http::Endpoint& host =
      aFlow.mHosts[UniformBelow(aFlow.mRandom, aFlow.mHosts.size())];
    http::Request request;
    request.mTarget = "/" + aFlow.mMethod;
    request.mHeaders.push_back({ "content-type", "application/json" });
    request.mHeaders.push_back(
      { "connect-timeout-ms", std::to_string(aFlow.mTimeout.count()) });
    if (!aFlow.mKey.empty()) {
      request.mHeaders.push_back({ "authorization", "Bearer " + aFlow.mKey });
    }
    request.mBody = aFlow.mBody;
    // The server answers at the deadline at the latest. The client waits
    // longer, so that the server's error is not counted as a missing answer.
    constexpr std::chrono::milliseconds kGracePeriod{ 500 };
    const http::CallOptions options{ aArrival + aFlow.mTimeout + kGracePeriod };
    const auto answer =
      co_await mClient->Call(host, std::move(request), options);
    if (aArrival < mMeasureStart || aArrival >= mEnd) {
      co_return;
    }
    ++aFlow.mSent;
    if (answer.has_error() || answer->mStatus != 200) {
      const Error error =
        answer.has_error() ? answer.error() : http::ParseErrorResponse(*answer);
      ++aFlow.mErrors[std::string(ErrorKindName(error.mKind)) + "/" +
                      std::string(ExecutionName(error.mExecution))];
      co_return;
    }
    ++aFlow.mAnswered;
    mLatencies[aFlow.mLabel].push_back(
      std::chrono::duration<double, std::milli>(SteadyClockType::now() -
                                                aArrival)
        .count());
  }

  asio::io_context& mContext;
  SteadyClockType::time_point mMeasureStart;
  SteadyClockType::time_point mEnd;
  std::unique_ptr<http::Client> mClient;
  std::vector<Flow> mFlows;
  std::map<std::string, std::vector<double>> mLatencies;
};

} // namespace

int main()
{
  const json plan = json::parse(std::cin);
  asio::io_context context(1);
  LoadClient load(context, plan);
  load.Start();
  context.run();
  std::cout << load.Report().dump() << "\n";
  return 0;
}
