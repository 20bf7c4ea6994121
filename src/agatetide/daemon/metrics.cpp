#include "agatetide/daemon/metrics.hpp"

#include "agatetide/daemon/traffic.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace agatetide::daemon {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.9, 0.99 };

using LatencyStatistics =
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::sum,
                                  acc::tag::mean,
                                  acc::tag::extended_p_square>>;

std::string Escaped(std::string_view aText)
{
  std::string text;
  for (const char character : aText) {
    if (character == '"' || character == '\\') {
      text += '\\';
    }
    text += character == '\n' ? ' ' : character;
  }
  return text;
}

std::string Label(std::string_view aName, std::string_view aValue)
{
  return std::string(aName) + "=\"" + Escaped(aValue) + "\"";
}

/// Appends metrics in Prometheus text form.
class Page
{
public:
  void Type(std::string_view aName, std::string_view aType)
  {
    mText += "# TYPE agatetide_" + std::string(aName) + " " +
             std::string(aType) + "\n";
  }

  template<class Number>
  void Value(std::string_view aName, const std::string& aLabels, Number aNumber)
  {
    mText += "agatetide_" + std::string(aName);
    if (!aLabels.empty()) {
      mText += "{" + aLabels + "}";
    }
    mText += " " + std::to_string(aNumber) + "\n";
  }

  template<class Number>
  void Single(std::string_view aName, std::string_view aType, Number aNumber)
  {
    Type(aName, aType);
    Value(aName, "", aNumber);
  }

  std::string Take() { return std::move(mText); }

private:
  std::string mText;
};

void AddGates(Page& aPage, const TrafficContext& aContext)
{
  aPage.Type("queue_length", "gauge");
  aPage.Type("running", "gauge");
  for (const auto& [upstream, gate] : aContext.mLimiters) {
    // Gates of deleted upstream groups stay in memory but not on the page.
    if (aContext.mView->mConfig->mUpstreams.contains(upstream)) {
      const std::string labels = Label("upstream", upstream);
      aPage.Value("queue_length", labels, gate->WaitingCount());
      aPage.Value("running", labels, gate->RunningCount());
    }
  }
}

void AddControl(Page& aPage, const TrafficView& aView, TimePoint aNow)
{
  const ControlCounters& counters = aView.mCounters;
  aPage.Single("store_reads_total", "counter", counters.mStoreReads);
  aPage.Single("store_writes_total", "counter", counters.mStoreWrites);
  aPage.Single("store_errors_total", "counter", counters.mStoreErrors);
  aPage.Single("peer_datagrams_sent_total", "counter", counters.mDatagramsSent);
  aPage.Single(
    "peer_datagrams_received_total", "counter", counters.mDatagramsReceived);
  aPage.Single(
    "peer_datagrams_invalid_total", "counter", counters.mDatagramsInvalid);
  aPage.Single("peer_sent_bytes_total", "counter", counters.mPeerBytesSent);
  aPage.Single("peer_requests_total", "counter", counters.mPeerRequests);
  aPage.Single(
    "peer_requests_invalid_total", "counter", counters.mPeerRequestsInvalid);
  aPage.Single("config_version", "gauge", aView.mConfig->mVersion);
  aPage.Single("config_trusted", "gauge", aNow <= aView.mFreshUntil ? 1 : 0);
  aPage.Single("store_contact", "gauge", aView.mStoreContact ? 1 : 0);
  aPage.Single("draining", "gauge", aView.mDraining ? 1 : 0);
  aPage.Single("members", "gauge", aView.mMembers.size() + 1);
  aPage.Single("quarantined_requests", "gauge", aView.mQuarantined.size());
}

void AddServer(Page& aPage, const ServerState& aServer)
{
  const http::ServerCounters& counters = aServer.mCounters;
  aPage.Single("server_running", "gauge", aServer.mRunningRequests);
  aPage.Single("server_connections", "gauge", aServer.mConnections);
  aPage.Single("server_accepted_total", "counter", counters.mAccepted);
  aPage.Single("server_refused_connections_total",
               "counter",
               counters.mRefusedConnections);
  aPage.Single(
    "server_malformed_requests_total", "counter", counters.mMalformedRequests);
  aPage.Single("server_slow_requests_total", "counter", counters.mSlowRequests);
  aPage.Single(
    "server_handler_failures_total", "counter", counters.mHandlerFailures);
}

} // namespace

struct Metrics::Latency
{
  LatencyStatistics mStatistics{ acc::extended_p_square_probabilities =
                                   kQuantiles };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::CountRequest(std::string_view aClass,
                           const Error* aError,
                           std::chrono::duration<double, std::milli> aTook)
{
  const std::string_view result =
    aError == nullptr ? "ok" : ErrorKindName(aError->mKind);
  ++mRequests[{ aClass, result }];
  if (aError != nullptr && aError->mExecution == Execution::NotRun) {
    ++mRefusals[result];
  }
  auto& latency = mLatency[aClass];
  if (!latency) {
    latency = std::make_unique<Latency>();
  }
  latency->mStatistics(aTook.count());
}

std::string Metrics::Text(const TrafficContext& aContext,
                          const ServerState& aServer) const
{
  Page page;
  page.Type("requests_total", "counter");
  for (const auto& [labels, count] : mRequests) {
    page.Value("requests_total",
               Label("class", labels.first) + "," +
                 Label("result", labels.second),
               count);
  }
  page.Type("refusals_total", "counter");
  for (const auto& [kind, count] : mRefusals) {
    page.Value("refusals_total", Label("kind", kind), count);
  }
  page.Type("request_latency_ms", "summary");
  for (const auto& [name, latency] : mLatency) {
    const LatencyStatistics& statistics = latency->mStatistics;
    const std::string label = Label("class", name);
    for (size_t i = 0; i < kQuantiles.size(); ++i) {
      page.Value(
        "request_latency_ms",
        label + "," +
          Label("quantile", std::to_string(kQuantiles.at(i)).substr(0, 4)),
        acc::extended_p_square(statistics)[i]);
    }
    page.Value("request_latency_ms_sum", label, acc::sum(statistics));
    page.Value("request_latency_ms_count", label, acc::count(statistics));
  }
  page.Type("request_latency_mean_ms", "gauge");
  for (const auto& [name, latency] : mLatency) {
    page.Value("request_latency_mean_ms",
               Label("class", name),
               acc::mean(latency->mStatistics));
  }
  AddGates(page, aContext);
  AddServer(page, aServer);
  AddControl(page, *aContext.mView, aContext.mClock());
  return page.Take();
}

std::string_view MethodClass(const TrafficContext& aContext,
                             std::string_view aMethod)
{
  if (aMethod.starts_with("agatetide.v1.")) {
    for (const std::string_view service : { "Directory", "Rollout", "Admin" }) {
      if (aMethod.substr(13).starts_with(service)) {
        return service;
      }
    }
    return "unknown";
  }
  const auto& routes = aContext.mView->mConfig->mRoutes;
  const auto route = routes.find(std::string(aMethod));
  if (route == routes.end()) {
    return "unknown";
  }
  switch (route->second.request_class()) {
    case v1::REQUEST_CLASS_TRAINER:
      return "trainer";
    case v1::REQUEST_CLASS_BACKGROUND:
      return "background";
    default:
      return "urgent";
  }
}

} // namespace agatetide::daemon
