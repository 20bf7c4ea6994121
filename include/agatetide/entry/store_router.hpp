#pragma once

#include "agatetide/coordination/store.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/http/message.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatetide::entry {

/// @brief Calls the store through another daemon, within aTimeout.
/// Errors: as coordination::StoreCall.
using PeerStoreCall = std::function<Awaitable<Result<coordination::StoreReply>>(
  http::Endpoint aPeer,
  coordination::StoreRequest aRequest,
  Milliseconds aTimeout)>;

struct StoreRouterOptions
{
  /// Timeout of a call through another daemon.
  Milliseconds mPeerTimeout{ 1700 };
  /// Maximum number of daemons through which one call is tried.
  size_t mMaxPeers = 3;
  /// Time for which a daemon that failed isn't asked again.
  Milliseconds mPeerBackoff{ 3000 };
  /// The renewal of a lease that has no direct reply after this time is also
  /// sent through another daemon.
  Milliseconds mHedgeDelay{ 500 };
  /// Time for which calls are tried through other daemons first, after one of
  /// them succeeded or a direct call had an unknown outcome. Doubles with each
  /// consecutive use, up to the maximum.
  Milliseconds mDirectBackoff{ 1000 };
  Milliseconds mMaxDirectBackoff{ 4000 };
  /// Time for which no other daemon is asked after every daemon that was asked
  /// failed. Doubles with each consecutive use, up to the maximum.
  Milliseconds mAllPeersBackoff{ 1000 };
  Milliseconds mMaxAllPeersBackoff{ 4000 };
};

/// @brief Calls the store directly, or through another daemon while the store
/// refuses this one or doesn't reply to it but serves others.
///
/// A call is only retried if it was certainly not executed, or renews a lease:
/// a renewal takes the second route also while the first one is silent.
/// Leases stay safe:
/// the holder counts the TTL from before the renewal was sent, whichever route
/// it took. Not thread-safe: use it only on the executor of the daemon.
class StoreRouter
{
public:
  /// Precondition: aView outlives the object.
  StoreRouter(StoreRouterOptions aOptions,
              Clock aClock,
              std::string aSelf,
              const fleet::FleetView& aView,
              coordination::StoreCall aStore,
              PeerStoreCall aCallViaPeer);

  /// @brief Sends a call on the route that is expected to work. Errors: as
  /// coordination::StoreCall.
  Awaitable<Result<coordination::StoreReply>> Call(
    coordination::StoreRequest aRequest);

  /// @brief Calls the store for another daemon, only directly.
  Awaitable<Result<coordination::StoreReply>> ServePeer(
    coordination::StoreRequest aRequest);

private:
  struct HedgedCall;

  Awaitable<Result<coordination::StoreReply>> CallHedged(
    coordination::StoreRequest aRequest);
  Awaitable<void> CallDirectly(std::shared_ptr<HedgedCall> aCall,
                               coordination::StoreRequest aRequest);
  Awaitable<void> CallThroughPeers(std::shared_ptr<HedgedCall> aCall,
                                   coordination::StoreRequest aRequest);
  /// Calls the store through other daemons. std::nullopt if the call was
  /// certainly not executed.
  Awaitable<std::optional<Result<coordination::StoreReply>>> CallPeers(
    coordination::StoreRequest aRequest);
  std::vector<std::string> Peers() const;
  void PreferPeers();
  void ResetBackoffs();

  StoreRouterOptions mOptions;
  Clock mClock;
  std::string mSelf;
  const fleet::FleetView& mView;
  coordination::StoreCall mStore;
  PeerStoreCall mCallViaPeer;
  /// Until when calls are tried through other daemons first.
  TimePoint mDirectBackoffUntil{};
  Duration mDirectBackoff{};
  /// Until when other daemons aren't asked.
  TimePoint mAllPeersBackoffUntil{};
  Duration mAllPeersBackoff{};
  /// Time until which a daemon that failed isn't asked, by host.
  std::map<std::string, TimePoint, std::less<>> mPeerBackoffUntil;
};

} // namespace agatetide::entry
