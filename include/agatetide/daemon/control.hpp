#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/ring.hpp"
#include "agatetide/coordination/admission.hpp"
#include "agatetide/coordination/lease.hpp"
#include "agatetide/coordination/membership.hpp"
#include "agatetide/coordination/read_lease.hpp"
#include "agatetide/coordination/usage_counters.hpp"
#include "agatetide/daemon/settings.hpp"
#include "agatetide/daemon/traffic_view.hpp"
#include "agatetide/http/client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace agatetide::daemon {

struct ControlHooks
{
  /// Hands a new view to the traffic thread.
  std::function<void(TrafficViewPtr)> mPublishView;
  /// Answers a peer's request that concerns traffic state. Runs on the
  /// traffic thread.
  std::function<Awaitable<coordination::PeerReply>(coordination::PeerRequest)>
    mHandlePeerRequest;
};

/// @brief The control duty: membership, trust, configuration, leases and the
/// duties that they grant. All members run on one io_context.
class Control
{
public:
  /// @brief Opens the daemon-to-daemon sockets.
  /// Errors: Unavailable when an address is in use; InvalidArgument.
  static Result<std::unique_ptr<Control>> Create(
    boost::asio::io_context& aContext,
    const Settings& aSettings,
    ControlHooks aHooks);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  /// @brief Starts all loops. Call once, from the io_context.
  void Start();

  /// @brief Leaves address answers and tells the peers.
  void BeginDrain();

  /// @brief Gives leases up and leaves the membership.
  Awaitable<void> Leave();

  /// @brief Stores a change and waits until it is in force everywhere.
  /// Errors: those of WriteConfig(); NotConfirmed when it is stored but not
  /// known to be in force after the confirmation time.
  Awaitable<Result<int64_t>> ChangeConfig(coordination::ConfigWrite aWrite);

  /// @brief Creates the admission record of a non-idempotent request.
  Awaitable<Result<coordination::Admission>> Admit(
    coordination::AdmissionKey aKey,
    coordination::AdmissionRecord aRecord);

  /// @brief Sends a request to another daemon and awaits its reply.
  Awaitable<Result<coordination::PeerReply>> AskPeer(
    std::string aAddress,
    coordination::PeerRequest aRequest,
    TimePoint aDeadline);

  /// @brief Takes one report of the traffic thread.
  void HandleReport(const TrafficReport& aReport);

  /// @brief Sealed usage windows, newest first, as JSON.
  Awaitable<Result<std::vector<std::string>>> SealedWindows(unsigned aCount);

  const coordination::MemberUpdate& Self() const;

private:
  struct State;
  explicit Control(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace agatetide::daemon
