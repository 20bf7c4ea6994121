#pragma once

#include "agatetide/entry/zone_watch.hpp"
#include "agatetide/http/client.hpp"
#include "agatetide/http/server.hpp"

#include <memory>

namespace agatetide::entry {

/// @brief Answers a daemon of the same deployment.
using ServePeer = std::function<Awaitable<Result<coordination::PeerWatchReply>>(
  coordination::PeerWatchRequest)>;

/// @brief Watches between daemons: cereal messages over HTTP, on addresses
/// that only hosts of the deployment reach. Not thread-safe: owned by the
/// executor of the daemon.
class PeerChannel
{
public:
  /// @brief Listens at aListen; port 0 means that no daemon is answered.
  /// Errors: those of http::Server::Create().
  static Result<std::unique_ptr<PeerChannel>> Create(
    boost::asio::any_io_executor aExecutor,
    const http::Endpoint& aListen,
    ServePeer aServe);

  /// @brief Asks the daemon at aPeer. Errors: Unavailable when it does not
  /// answer in time or cannot tell; InvalidArgument when the answer cannot be
  /// read.
  Awaitable<Result<coordination::PeerWatchReply>> Ask(
    http::Endpoint aPeer,
    coordination::PeerWatchRequest aRequest,
    Milliseconds aTimeout);

private:
  PeerChannel(std::unique_ptr<http::Client> aClient, ServePeer aServe);
  Awaitable<http::Response> Handle(http::Request aRequest);

  std::unique_ptr<http::Client> mClient;
  ServePeer mServe;
  std::unique_ptr<http::Server> mServer;
};

} // namespace agatetide::entry
