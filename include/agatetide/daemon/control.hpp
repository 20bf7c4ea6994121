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

/// @brief Callbacks of Control, called on the control thread.
struct ControlHooks
{
  /// Hands a new view to the traffic thread.
  std::function<void(TrafficViewPtr)> mPublishView;
  /// Answers a peer's request that needs state of the traffic thread. The
  /// coroutine runs on that thread.
  std::function<Awaitable<coordination::PeerReply>(coordination::PeerRequest)>
    mHandlePeerRequest;
};

/// @brief Control plane of a daemon: membership, the configuration copy with
/// its read lease, duty leases and the duties of their holder. All member
/// functions must run on the io_context that is passed to Create().
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

  /// @brief Announces that this host drains, so that no daemon names it in
  /// Locate responses any more.
  void BeginDrain();

  /// @brief Releases the leases and leaves the membership.
  Awaitable<void> Leave();

  /// @brief Stores a change and waits until it is in force on all hosts.
  /// Returns its version. Errors: those of WriteConfig(); NotConfirmed when it
  /// is stored but not known to be in force after 12 s.
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

  /// @brief Handles one report of the traffic thread.
  void HandleReport(const TrafficReport& aReport);

  /// @brief At most aCount sealed usage windows as JSON, newest first.
  Awaitable<Result<std::vector<std::string>>> SealedWindows(unsigned aCount);

  /// @brief This daemon's entry in the membership.
  const coordination::MemberUpdate& Self() const;

private:
  struct State;
  explicit Control(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace agatetide::daemon
