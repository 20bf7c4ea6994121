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

std::string EscapeLabelValue(std::string_view aText)
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
  return std::string(aName) + "=\"" + EscapeLabelValue(aValue) + "\"";
}

/// Builds the response in the Prometheus text format.
class MetricsText
{
public:
  /// Adds the line that declares a metric's type.
  void AddType(std::string_view aName, std::string_view aType)
  {
    mText += "# TYPE agatetide_" + std::string(aName) + " " +
             std::string(aType) + "\n";
  }

  template<class Number>
  void AddValue(std::string_view aName,
                const std::string& aLabels,
                Number aNumber)
  {
    mText += "agatetide_" + std::string(aName);
    if (!aLabels.empty()) {
      mText += "{" + aLabels + "}";
    }
    mText += " " + std::to_string(aNumber) + "\n";
  }

  template<class Number>
  /// Adds a metric with a single value and no labels.
  void AddSingle(std::string_view aName, std::string_view aType, Number aNumber)
  {
    AddType(aName, aType);
    AddValue(aName, "", aNumber);
  }

  std::string TakeText() { return std::move(mText); }

private:
  std::string mText;
};

void AddLimiters(MetricsText& aText, const TrafficContext& aContext)
{
  aText.AddType("queue_length", "gauge");
  aText.AddType("running", "gauge");
  for (const auto& [upstream, limiter] : aContext.mLimiters) {
    // Limiters of deleted upstream groups stay in memory but are not exported.
    if (aContext.mView->mConfig->mUpstreams.contains(upstream)) {
      const std::string labels = Label("upstream", upstream);
      aText.AddValue("queue_length", labels, limiter->WaitingCount());
      aText.AddValue("running", labels, limiter->RunningCount());
    }
  }
}

void AddControl(MetricsText& aText, const TrafficView& aView, TimePoint aNow)
{
  const ControlCounters& counters = aView.mCounters;
  aText.AddSingle("store_reads_total", "counter", counters.mStoreReads);
  aText.AddSingle("store_writes_total", "counter", counters.mStoreWrites);
  aText.AddSingle("store_errors_total", "counter", counters.mStoreErrors);
  aText.AddSingle(
    "peer_datagrams_sent_total", "counter", counters.mDatagramsSent);
  aText.AddSingle(
    "peer_datagrams_received_total", "counter", counters.mDatagramsReceived);
  aText.AddSingle(
    "peer_datagrams_invalid_total", "counter", counters.mDatagramsInvalid);
  aText.AddSingle("peer_sent_bytes_total", "counter", counters.mPeerBytesSent);
  aText.AddSingle("peer_requests_total", "counter", counters.mPeerRequests);
  aText.AddSingle(
    "peer_requests_invalid_total", "counter", counters.mPeerRequestsInvalid);
  aText.AddSingle("config_version", "gauge", aView.mConfig->mVersion);
  aText.AddSingle("config_trusted", "gauge", aNow <= aView.mFreshUntil ? 1 : 0);
  aText.AddSingle("store_contact", "gauge", aView.mStoreContact ? 1 : 0);
  aText.AddSingle("draining", "gauge", aView.mDraining ? 1 : 0);
  aText.AddSingle("members", "gauge", aView.mMembers.size() + 1);
  aText.AddSingle("quarantined_requests", "gauge", aView.mQuarantined.size());
}

void AddServer(MetricsText& aText, const ServerState& aServer)
{
  const http::ServerCounters& counters = aServer.mCounters;
  aText.AddSingle("server_running", "gauge", aServer.mRunningRequests);
  aText.AddSingle("server_connections", "gauge", aServer.mConnections);
  aText.AddSingle("server_accepted_total", "counter", counters.mAccepted);
  aText.AddSingle("server_refused_connections_total",
                  "counter",
                  counters.mRefusedConnections);
  aText.AddSingle(
    "server_malformed_requests_total", "counter", counters.mMalformedRequests);
  aText.AddSingle(
    "server_slow_requests_total", "counter", counters.mSlowRequests);
  aText.AddSingle(
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
  MetricsText text;
  text.AddType("requests_total", "counter");
  for (const auto& [labels, count] : mRequests) {
    text.AddValue("requests_total",
                  Label("class", labels.first) + "," +
                    Label("result", labels.second),
                  count);
  }
  text.AddType("refusals_total", "counter");
  for (const auto& [kind, count] : mRefusals) {
    text.AddValue("refusals_total", Label("kind", kind), count);
  }
  text.AddType("request_latency_ms", "summary");
  for (const auto& [name, latency] : mLatency) {
    const LatencyStatistics& statistics = latency->mStatistics;
    const std::string label = Label("class", name);
    for (size_t i = 0; i < kQuantiles.size(); ++i) {
      text.AddValue(
        "request_latency_ms",
        label + "," +
          Label("quantile", std::to_string(kQuantiles.at(i)).substr(0, 4)),
        acc::extended_p_square(statistics)[i]);
    }
    text.AddValue("request_latency_ms_sum", label, acc::sum(statistics));
    text.AddValue("request_latency_ms_count", label, acc::count(statistics));
  }
  text.AddType("request_latency_mean_ms", "gauge");
  for (const auto& [name, latency] : mLatency) {
    text.AddValue("request_latency_mean_ms",
                  Label("class", name),
                  acc::mean(latency->mStatistics));
  }
  AddLimiters(text, aContext);
  AddServer(text, aServer);
  AddControl(text, *aContext.mView, aContext.mClock());
  return text.TakeText();
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
