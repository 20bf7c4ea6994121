#pragma once

#include "agatetide/entry/relay_messages.hpp"
#include "agatetide/entry/replica_router.hpp"
#include "agatetide/http/client.hpp"

#include <memory>

namespace agatetide::entry {

/// Target of the requests that RelayClient sends and RelayServer handles.
constexpr std::string_view kRelayTarget = "/relay";

/// @brief Asks other daemons to send attempts to replicas. Not thread-safe: use
/// it only on the executor given to the constructor.
class RelayClient
{
public:
  RelayClient(const boost::asio::any_io_executor& aExecutor,
              http::ResponseLimits aResponses);

  /// @brief See PeerRelayCall.
  Awaitable<RelayOutcome> Send(http::Endpoint aPeer,
                               http::Endpoint aReplica,
                               request::UpstreamRequest aRequest,
                               const request::StreamOptions* aStream,
                               std::shared_ptr<http::CancelHandle> aCancel);

private:
  http::ResponseLimits mResponses;
  std::unique_ptr<http::Client> mClient;
};

struct RelayServerOptions
{
  /// Attempts of other daemons that run at the same time.
  size_t mMaxRunning = 160;
  /// Part of mMaxRunning that streams may use, so that the samples of steps
  /// leave room for the requests of callers.
  size_t mMaxStreams = 128;
};

/// @brief Sends attempts to replicas for other daemons, only directly. Not
/// thread-safe: use it only on the executor given to the constructor.
class RelayServer
{
public:
  /// Precondition: aView and aMonitor outlive the object and its responses.
  RelayServer(RelayServerOptions aOptions,
              boost::asio::any_io_executor aExecutor,
              const fleet::FleetView& aView,
              request::ReachabilityMonitor& aMonitor,
              request::UpstreamCall aCall,
              request::UpstreamStreamCall aStream);

  /// @brief Returns a response that streams RelayFrame messages. The attempt is
  /// canceled when the other daemon disconnects. Errors: in the response, if
  /// the request is malformed.
  http::Response Handle(const http::Request& aRequest);

  /// @brief Declines further attempts that could outlast aEnd, and streams,
  /// which can be resumed elsewhere, from then on. Running ones go on.
  void BeginDrain(TimePoint aEnd) { mEnd = aEnd; }

private:
  struct Attempt;

  std::optional<Error> DeclineReason(const RelayRequest& aRequest) const;
  /// Why the replica takes no new requests; std::nullopt if it does.
  std::optional<Error> RefusalReason(const RelayRequest& aRequest) const;
  Awaitable<void> Run(std::shared_ptr<Attempt> aAttempt);
  Awaitable<Result<request::UpstreamResponse>> Send(
    std::shared_ptr<Attempt> aAttempt);

  RelayServerOptions mOptions;
  boost::asio::any_io_executor mExecutor;
  const fleet::FleetView& mView;
  request::ReachabilityMonitor& mMonitor;
  request::UpstreamCall mCall;
  request::UpstreamStreamCall mStream;
  TimePoint mEnd = TimePoint::max();
  size_t mRunning = 0;
  size_t mRunningStreams = 0;
};

} // namespace agatetide::entry
