#pragma once

#include "agatetide/base/event_log.hpp"
#include "agatetide/base/random.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/request/reachability_monitor.hpp"
#include "agatetide/request/upstream.hpp"

#include <map>
#include <string>
#include <vector>

namespace agatetide::entry {

/// @brief The outcome of an attempt that another daemon was asked to send.
struct RelayOutcome
{
  /// Whether the other daemon sent the attempt, or may have done so. If not,
  /// mResult is its reason.
  bool mTaken = false;
  Result<request::UpstreamResponse> mResult;
};

/// @brief Sends an attempt through the daemon at aPeer. The options of a stream
/// are null for a call.
using PeerRelayCall = std::function<Awaitable<RelayOutcome>(
  http::Endpoint aPeer,
  http::Endpoint aReplica,
  request::UpstreamRequest aRequest,
  const request::StreamOptions* aStream,
  std::shared_ptr<http::CancelHandle> aCancel)>;

struct ReplicaRouterOptions
{
  /// Maximum number of daemons that are asked to send one attempt.
  size_t mMaxPeers = 4;
  /// Time for which a daemon that could not send an attempt isn't asked again
  /// for one of the same kind.
  Milliseconds mPeerBackoff{ 1000 };
};

/// @brief Sends attempts to replicas directly, or through another daemon while
/// this host reaches no replica. If no daemon can send one then, and no
/// connection of before is open, the attempt fails at once.
///
/// An attempt takes a second way only if it was certainly not run. The other
/// daemon sends it to the same replica and never passes it on, so that attempts
/// are counted and limited by this daemon alone. Not thread-safe: use it only
/// on the executor of the daemon.
class ReplicaRouter
{
public:
  /// Precondition: aView and aMonitor outlive the object.
  ReplicaRouter(ReplicaRouterOptions aOptions,
                Clock aClock,
                Random aRandom,
                std::string aSelf,
                const fleet::FleetView& aView,
                request::ReachabilityMonitor& aMonitor,
                request::UpstreamCall aCall,
                request::UpstreamStreamCall aStream,
                PeerRelayCall aRelay);

  /// @brief As request::UpstreamCall.
  Awaitable<Result<request::UpstreamResponse>> Call(
    http::Endpoint aReplica,
    request::UpstreamRequest aRequest,
    std::shared_ptr<http::CancelHandle> aCancel);

  /// @brief As request::UpstreamStreamCall.
  Awaitable<Result<request::UpstreamResponse>> Stream(
    http::Endpoint aReplica,
    request::UpstreamRequest aRequest,
    request::StreamOptions aOptions);

private:
  using UpstreamResult = Result<request::UpstreamResponse>;

  Awaitable<UpstreamResult> Send(http::Endpoint aReplica,
                                 request::UpstreamRequest aRequest,
                                 const request::StreamOptions* aStream,
                                 std::shared_ptr<http::CancelHandle> aCancel);
  bool IsEvacuated(const request::UpstreamRequest& aRequest) const;
  Awaitable<UpstreamResult> SendDirectly(
    http::Endpoint aReplica,
    request::UpstreamRequest aRequest,
    const request::StreamOptions* aStream,
    std::shared_ptr<http::CancelHandle> aCancel);
  Awaitable<std::optional<UpstreamResult>> SendThroughPeers(
    http::Endpoint aReplica,
    request::UpstreamRequest aRequest,
    const request::StreamOptions* aStream,
    std::shared_ptr<http::CancelHandle> aCancel);
  std::vector<std::string> Peers(const request::UpstreamRequest& aRequest,
                                 bool aIsStream) const;

  ReplicaRouterOptions mOptions;
  Clock mClock;
  Random mRandom;
  std::string mSelf;
  const fleet::FleetView& mView;
  request::ReachabilityMonitor& mMonitor;
  request::UpstreamCall mCall;
  request::UpstreamStreamCall mStream;
  PeerRelayCall mRelay;
  /// Time until which a daemon isn't asked, by host and whether the attempt is
  /// a stream: a daemon that sends enough streams may still send requests.
  std::map<std::pair<std::string, bool>, TimePoint> mPeerBackoffUntil;
  LogLimiter mDeclineLog;
};

} // namespace agatetide::entry
