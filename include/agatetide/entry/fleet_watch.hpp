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
/// Errors: Unavailable if it doesn't reply or its own data isn't fresh.
using PeerWatchCall =
  std::function<Awaitable<Result<coordination::PeerWatchReply>>(
    http::Endpoint aPeer,
    coordination::PeerWatchRequest aRequest,
    Milliseconds aTimeout)>;

struct FleetWatchOptions
{
  /// Added to two waits, the maximum staleness of the data that a peer replies
  /// with. Added to one wait, the timeout of its reply; twice the margin is
  /// added for a peer in the same availability zone, so that the first daemon
  /// of a zone times out before those that ask it.
  Milliseconds mPeerMargin{ 300 };
  /// Time for which a peer that failed isn't asked again. Doubles with each
  /// consecutive failure.
  Milliseconds mPeerBackoff{ 3000 };
  Milliseconds mMaxPeerBackoff{ 24000 };
  /// Maximum wait of the watch at the store that follows a failed watch at a
  /// peer. Short, so that this daemon soon knows that its data is fresh.
  Milliseconds mFallbackMaxWait{ 50 };
  /// Interval between attempts to watch the store while both the peer and the
  /// store fail.
  Milliseconds mStoreRetryDelay{ 1000 };
};

/// @brief Watches the store through other daemons, to limit the load on it. The
/// daemon with the lowest rank of all hosts watches the store, the lowest
/// ranked of each availability zone watches that daemon, and the others watch
/// the lowest ranked of their zone. A daemon whose peer doesn't reply watches
/// the store itself. During an outage of the store, daemons continue to ask
/// their peer and retry the store every mStoreRetryDelay.
///
/// Each reply states an upper bound of its staleness; a delay or a suspension
/// of a host makes the bound larger, never too small. Daemons only ask peers
/// with a lower rank, so there are no cycles. Not thread-safe: use it only on
/// the executor of the daemon.
class FleetWatch
{
public:
  /// @brief aClock must also count while the host is suspended.
  /// Precondition: aView outlives the object.
  FleetWatch(FleetWatchOptions aOptions,
             boost::asio::any_io_executor aExecutor,
             Clock aClock,
             std::string aSelf,
             const fleet::FleetView& aView,
             coordination::WatchCall aStore,
             PeerWatchCall aPeerWatch);

  /// @brief Waits for changes, at another daemon or at the store. The reply
  /// states its freshness unless the watch was cut short. Errors: as WatchCall.
  Awaitable<Result<coordination::WatchReply>> Watch(
    coordination::WatchRequest aRequest);

  /// @brief Replies to another daemon as soon as there are changes or fresher
  /// data. Errors: Unavailable if this daemon's data isn't fresh.
  Awaitable<Result<coordination::PeerWatchReply>> ServePeer(
    coordination::PeerWatchRequest aRequest);

  /// @brief The host to ask now; std::nullopt if this daemon watches the store.
  std::optional<std::string> Peer() const;

private:
  struct Backoff
  {
    TimePoint mUntil{};
    Duration mDelay{};
  };

  /// The watch of one prefix.
  struct Prefix
  {
    coordination::WatchHistory mHistory;
    /// Whether the last watch failed.
    bool mWatchFailed = false;
    /// Name of the host that is watched, or "store".
    std::string mSource;
    /// Timers of the peers' requests that wait for fresher data.
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
  /// Hosts that failed when they were last asked.
  std::map<std::string, Backoff, std::less<>> mPeerBackoffs;
  /// When the store last failed; unset once it has answered since.
  TimePoint mLastStoreFailure{};
};

} // namespace agatetide::entry
