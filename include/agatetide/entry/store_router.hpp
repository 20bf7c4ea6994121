#pragma once

#include "agatetide/coordination/store.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/http/message.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agatetide::entry {

/// @brief Has another daemon make a call of the store, within aTimeout.
/// Errors: as coordination::StoreCall.
using CallViaPeer = std::function<Awaitable<Result<coordination::StoreReply>>(
  http::Endpoint aPeer,
  coordination::StoreRequest aRequest,
  Milliseconds aTimeout)>;

struct StoreRouterOptions
{
  /// A daemon that makes a call for another has this long.
  Milliseconds mPeerTimeout{ 1700 };
  /// Daemons that are asked for one call.
  size_t mMaxPeers = 3;
  /// A daemon that failed is not asked again for this long.
  Milliseconds mPeerBackoff{ 3000 };
  /// After a success through another daemon, calls go there first for this
  /// long, twice as long each time in a row.
  Milliseconds mDirectBackoff{ 1000 };
  Milliseconds mMaxDirectBackoff{ 4000 };
  /// When the store refuses those that were asked too, no other is asked for
  /// this long, twice as long each time in a row.
  Milliseconds mRelayBackoff{ 1000 };
  Milliseconds mMaxRelayBackoff{ 4000 };
};

/// @brief Calls the store; through another daemon while the store refuses
/// this one or does not answer it, though it serves others.
///
/// A call is made again only when it was certainly not done. Leases stay
/// safe: their holder counts from before a renewal was sent, whichever way it
/// went. Not thread-safe: owned by the executor of the daemon.
class StoreRouter
{
public:
  /// @brief aView outlives the object.
  StoreRouter(StoreRouterOptions aOptions,
              Clock aClock,
              std::string aSelf,
              const fleet::FleetView& aView,
              coordination::StoreCall aStore,
              CallViaPeer aPeer);

  /// @brief Errors: as coordination::StoreCall.
  Awaitable<Result<coordination::StoreReply>> Call(
    coordination::StoreRequest aRequest);

  /// @brief Makes a call for another daemon, by the direct way only.
  Awaitable<Result<coordination::StoreReply>> Serve(
    coordination::StoreRequest aRequest);

private:
  /// Nothing when the call was certainly not done.
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
  CallViaPeer mCallViaPeer;
  /// Until when calls go through another daemon first.
  TimePoint mDirectBackoffUntil{};
  Duration mDirectBackoff{};
  /// Until when other daemons are not asked.
  TimePoint mRelayBackoffUntil{};
  Duration mRelayBackoff{};
  std::map<std::string, TimePoint, std::less<>> mPeerBackoffUntil;
};

} // namespace agatetide::entry
