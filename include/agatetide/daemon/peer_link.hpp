#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/coordination/messages.hpp"
#include "agatetide/daemon/settings.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace agatetide::daemon {

/// @brief Callbacks of a PeerLink, called on its executor.
struct PeerLinkHooks
{
  /// Called for each valid datagram.
  std::function<void(const coordination::Datagram&)> mOnDatagram;
  /// Answers a valid request of another daemon.
  std::function<Awaitable<coordination::PeerReply>(coordination::PeerRequest)>
    mOnRequest;
};

/// @brief Traffic counters since the start.
struct PeerLinkCounters
{
  uint64_t mDatagramsSent = 0;
  uint64_t mDatagramsReceived = 0;
  uint64_t mDatagramsInvalid = 0;
  uint64_t mBytesSent = 0;
  uint64_t mRequests = 0;
  uint64_t mRequestsInvalid = 0;
};

/// @brief Datagrams over UDP and requests over TCP between daemons, both
/// authenticated with the cluster secret. Owned by the control thread.
class PeerLink
{
public:
  /// @brief Binds both sockets to the daemon address.
  /// Errors: Unavailable when the address is in use; InvalidArgument.
  static Result<std::unique_ptr<PeerLink>> Create(
    boost::asio::any_io_executor aExecutor,
    const Settings& aSettings,
    PeerLinkHooks aHooks);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// @brief Starts to receive datagrams and requests. Call once.
  void Start();

  /// @brief Sends a datagram. Ignores send errors, since datagrams may be lost
  /// anyway.
  void SendDatagram(const std::string& aAddress,
                    const coordination::Datagram& aDatagram);

  /// @brief Sends a request and awaits the reply.
  /// Errors: Unavailable when the peer cannot be reached; OutcomeUnknown
  /// when it does not reply by the deadline.
  Awaitable<Result<coordination::PeerReply>> SendRequest(
    std::string aAddress,
    coordination::PeerRequest aRequest,
    std::chrono::steady_clock::time_point aDeadline);

  const PeerLinkCounters& Counters() const;

private:
  struct State;
  explicit PeerLink(std::shared_ptr<State> aState);
  std::shared_ptr<State> mState;
};

} // namespace agatetide::daemon
