#pragma once

#include "agatetide/coordination/watch_messages.hpp"
#include "agatetide/entry/replica_relay.hpp"
#include "agatetide/entry/step_offers.hpp"
#include "agatetide/http/client.hpp"
#include "agatetide/http/server.hpp"
#include "agatetide/steps/step_service.hpp"

#include <memory>

namespace agatetide::entry {

/// @brief Where other daemons connect to, and how many of their connections are
/// accepted.
struct PeerListener
{
  http::Endpoint mEndpoint;
  size_t mMaxConnections = 512;
};

/// @brief Handlers for the requests of other daemons.
struct PeerHandlers
{
  std::function<Awaitable<Result<coordination::PeerWatchReply>>(
    coordination::PeerWatchRequest)>
    mWatch;
  coordination::StoreCall mStore;
  std::function<Awaitable<Result<steps::SubmitOutcome>>(steps::StepSubmission)>
    mSubmit;
  /// Handles the requests of RelayClient.
  std::function<http::Response(const http::Request&)> mRelay;
  /// Another daemon asks this one to look for steps without an owner.
  std::function<void()> mRecover;
  /// Another daemon offers a step that it has no memory for. Returns whether
  /// this one takes it over.
  std::function<bool(const StepOffer&)> mAcceptOffer;
  /// Load reports for a message to another daemon, at most as many bytes; empty
  /// if there are none. May be an empty function.
  std::function<std::string(size_t)> mExportLoads;
  /// Takes the load reports of a message that has arrived, and the address of
  /// the host that sent it. May be an empty function.
  std::function<void(std::string_view, std::string_view)> mImportLoads;
};

/// @brief Client and server for requests between daemons: watches, store calls,
/// step submissions and requests to look for steps without an owner. Sends
/// cereal messages over HTTP, on addresses that only hosts of the deployment
/// can reach. Not thread-safe: use it only on the executor of the daemon.
class PeerChannel
{
public:
  /// @brief Listens as aListener says; port 0 disables the server. aResponses
  /// limits the answers of other daemons, aConnections what their connections
  /// hold; null if it is unlimited. Errors: those of http::Server::Create().
  static Result<std::unique_ptr<PeerChannel>> Create(
    boost::asio::any_io_executor aExecutor,
    const PeerListener& aListener,
    PeerHandlers aHandlers,
    http::ResponseLimits aResponses,
    std::shared_ptr<http::ConnectionMemory> aConnections);

  /// @brief Asks the daemon at aPeer for changes. Errors: Unavailable if its
  /// data isn't fresh; those of http::Client; InvalidArgument if the reply is
  /// malformed.
  Awaitable<Result<coordination::PeerWatchReply>> Watch(
    http::Endpoint aPeer,
    coordination::PeerWatchRequest aRequest,
    Milliseconds aTimeout);

  /// @brief Calls the store through the daemon at aPeer. Errors: as
  /// coordination::StoreCall.
  Awaitable<Result<coordination::StoreReply>> CallStore(
    http::Endpoint aPeer,
    coordination::StoreRequest aRequest,
    Milliseconds aTimeout);

  /// @brief Submits a step to the daemon at aPeer. Errors: those of
  /// http::Client; the step may exist unless the error says Execution::NotRun.
  Awaitable<Result<steps::SubmitOutcome>> Submit(
    http::Endpoint aPeer,
    steps::StepSubmission aSubmission,
    Milliseconds aTimeout);

  /// @brief Asks the daemon at aPeer to look for steps without an owner. The
  /// value is always true. Errors: those of http::Client; NotFound if the
  /// daemon is of a build that does not know the request.
  Awaitable<Result<bool>> RequestRecovery(http::Endpoint aPeer,
                                          Milliseconds aTimeout);

  /// @brief Offers a step without an owner to the daemon at aPeer. Returns
  /// whether it accepts; a daemon of a build that knows no offers looks for
  /// steps without an owner, and accepts. Errors: as RequestRecovery().
  Awaitable<Result<bool>> OfferStep(http::Endpoint aPeer,
                                    StepOffer aOffer,
                                    Milliseconds aTimeout);

private:
  PeerChannel(std::unique_ptr<http::Client> aClient, PeerHandlers aHandlers);
  Awaitable<http::Response> Handle(http::Request aRequest);
  Awaitable<http::Response> Dispatch(http::Request aRequest);
  void AddLoads(std::vector<http::Header>& aHeaders) const;
  void ImportLoads(const std::vector<http::Header>& aHeaders,
                   std::string_view aSender) const;
  Awaitable<http::Response> HandleWatch(http::Request aRequest);
  Awaitable<http::Response> HandleStore(http::Request aRequest);
  Awaitable<http::Response> HandleSubmit(http::Request aRequest);
  Awaitable<http::Response> HandleRecover(http::Request aRequest);
  Awaitable<http::Response> HandleRelay(http::Request aRequest);
  Awaitable<http::Response> RefuseUnknown(http::Request aRequest);
  Awaitable<Result<std::string>> Post(http::Endpoint aPeer,
                                      std::string aTarget,
                                      std::string aBody,
                                      Milliseconds aTimeout);

  std::unique_ptr<http::Client> mClient;
  PeerHandlers mHandlers;
  std::unique_ptr<http::Server> mServer;
};

} // namespace agatetide::entry
