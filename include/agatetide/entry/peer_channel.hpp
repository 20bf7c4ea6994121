#pragma once

#include "agatetide/coordination/watch_messages.hpp"
#include "agatetide/http/client.hpp"
#include "agatetide/http/server.hpp"
#include "agatetide/steps/step_service.hpp"

#include <memory>

namespace agatetide::entry {

/// @brief Answers daemons of the same deployment.
struct PeerHandlers
{
  std::function<Awaitable<Result<coordination::PeerWatchReply>>(
    coordination::PeerWatchRequest)>
    mWatch;
  coordination::StoreCall mStore;
  std::function<Awaitable<Result<steps::SubmitOutcome>>(steps::StepSubmission)>
    mSubmit;
};

/// @brief Watches, calls of the store and steps between daemons: cereal
/// messages over HTTP, on addresses that only hosts of the deployment reach.
/// Not thread-safe: owned by the executor of the daemon.
class PeerChannel
{
public:
  /// @brief Listens at aListen; port 0 means that no daemon is answered.
  /// Errors: those of http::Server::Create().
  static Result<std::unique_ptr<PeerChannel>> Create(
    boost::asio::any_io_executor aExecutor,
    const http::Endpoint& aListen,
    PeerHandlers aHandlers);

  /// @brief Asks the daemon at aPeer for changes. Errors: Unavailable when it
  /// cannot tell; those of http::Client; InvalidArgument when the answer
  /// cannot be read.
  Awaitable<Result<coordination::PeerWatchReply>> Watch(
    http::Endpoint aPeer,
    coordination::PeerWatchRequest aRequest,
    Milliseconds aTimeout);

  /// @brief Has the daemon at aPeer call the store. Errors: as
  /// coordination::StoreCall.
  Awaitable<Result<coordination::StoreReply>> CallStore(
    http::Endpoint aPeer,
    coordination::StoreRequest aRequest,
    Milliseconds aTimeout);

  /// @brief Has the daemon at aPeer accept a step. Errors: those of
  /// http::Client; the step may be kept unless it was not run.
  Awaitable<Result<steps::SubmitOutcome>> Submit(
    http::Endpoint aPeer,
    steps::StepSubmission aSubmission,
    Milliseconds aTimeout);

private:
  PeerChannel(std::unique_ptr<http::Client> aClient, PeerHandlers aHandlers);
  Awaitable<http::Response> Handle(http::Request aRequest);
  Awaitable<http::Response> HandleWatch(http::Request aRequest);
  Awaitable<http::Response> HandleStore(http::Request aRequest);
  Awaitable<http::Response> HandleSubmit(http::Request aRequest);
  Awaitable<Result<std::string>> Ask(http::Endpoint aPeer,
                                     std::string aTarget,
                                     std::string aBody,
                                     Milliseconds aTimeout);

  std::unique_ptr<http::Client> mClient;
  PeerHandlers mHandlers;
  std::unique_ptr<http::Server> mServer;
};

} // namespace agatetide::entry
