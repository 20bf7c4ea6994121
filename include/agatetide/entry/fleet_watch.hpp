#pragma once

#include "agatetide/coordination/watch_history.hpp"
#include "agatetide/coordination/watch_messages.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <optional>
#include <string>

namespace agatetide::entry {

/// @brief Asks another daemon for changes, within aTimeout.
/// Errors: Unavailable when it does not answer or cannot tell.
using PeerWatchCall =
  std::function<Awaitable<Result<coordination::PeerWatchReply>>(
    http::Endpoint aPeer,
    coordination::PeerWatchRequest aRequest,
    Milliseconds aTimeout)>;

struct FleetWatchOptions
{
  /// Time beyond a watch's wait in which a daemon has to bring a newer proof,
  /// and in which its answer has to arrive. In a daemon's own zone there is
  /// as much again, so that the first of the zone gives up before those that
  /// ask it.
  Milliseconds mPeerMargin{ 300 };
  /// A daemon that could not tell is not asked again for this long, twice as
  /// long each time in a row.
  Milliseconds mPeerBackoff{ 3000 };
  Milliseconds mMaxPeerBackoff{ 24000 };
  /// The first watch at the store after that ends soon, to get a proof.
  Milliseconds mFallbackWatchTimeout{ 50 };
  /// While neither the other daemon nor the store can tell, the store is
  /// tried this often.
  Milliseconds mStoreRetryInterval{ 1000 };
};

/// @brief Follows the store once for the whole fleet: the daemon that comes
/// first in an order of all hosts watches the store, the first of each
/// availability zone asks it, and the others ask the first of their zone. A
/// daemon that gets no answer watches the store itself. While the store is
/// away, all go on asking and try the store itself now and then.
///
/// Every answer carries the age of its proof, counted so that delay and
/// suspension only make it older. Daemons ask only those before them in the
/// order, so no two ask each other. Not thread-safe: owned by the executor of
/// the daemon.
class FleetWatch
{
public:
  /// @brief aClock counts suspensions. aView outlives the object.
  FleetWatch(FleetWatchOptions aOptions,
             boost::asio::any_io_executor aExecutor,
             Clock aClock,
             std::string aSelf,
             const fleet::FleetView& aView,
             coordination::WatchCall aStore,
             PeerWatchCall aPeerWatch);

  /// @brief Waits for changes, at another daemon or at the store. The reply
  /// has a proof unless the watch was cut. Errors: as WatchCall.
  Awaitable<Result<coordination::WatchReply>> Watch(
    coordination::WatchRequest aRequest);

  /// @brief Answers another daemon as soon as there are changes or a newer
  /// proof. Errors: Unavailable when this daemon cannot tell.
  Awaitable<Result<coordination::PeerWatchReply>> Serve(
    coordination::PeerWatchRequest aRequest);

  /// @brief The host to ask now; nothing when this one watches the store.
  std::optional<std::string> Peer() const;

private:
  struct Backoff
  {
    TimePoint mUntil{};
    Duration mDelay{};
  };

  /// What is known under one prefix, and who waits for more.
  struct Prefix
  {
    coordination::WatchHistory mHistory;
    /// The last watch has failed.
    bool mWatchFailed = false;
    /// The host that was asked last, or the store.
    std::string mSource;
    std::list<boost::asio::steady_timer*> mWaiters;
  };

  Awaitable<Result<coordination::WatchReply>> WatchAtPeer(
    std::string aPeer,
    coordination::WatchRequest aRequest);
  Awaitable<Result<coordination::WatchReply>> WatchAtStore(
    coordination::WatchRequest aRequest);
  std::optional<std::string> FirstPeer(bool aSameZoneOnly) const;
  void BackOff(const std::string& aPeer,
               const std::string& aPrefix,
               const Error& aError);
  void SetSource(const std::string& aPrefix, std::string aSource);
  void Record(const coordination::WatchRequest& aRequest,
              const Result<coordination::WatchReply>& aReply);
  bool CanAnswer(const Prefix& aPrefix,
                 const coordination::PeerWatchRequest& aRequest) const;
  Duration MaxStaleness(const coordination::PeerWatchRequest& aRequest) const;

  FleetWatchOptions mOptions;
  boost::asio::any_io_executor mExecutor;
  Clock mClock;
  std::string mSelf;
  const fleet::FleetView& mView;
  coordination::WatchCall mStore;
  PeerWatchCall mPeerWatch;
  std::map<std::string, Prefix, std::less<>> mPrefixes;
  /// Hosts that could not tell when they were last asked.
  std::map<std::string, Backoff, std::less<>> mPeerBackoffs;
  /// When the store last failed, unless it answered since.
  TimePoint mLastStoreFailure{};
};

} // namespace agatetide::entry
