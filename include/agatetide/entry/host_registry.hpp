#pragma once

#include "agatetide/entry/prefix_watcher.hpp"
#include "agatetide/fleet/fleet_view.hpp"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>

namespace agatetide::entry {

struct HostRegistryOptions
{
  int64_t mTtlSeconds = 3;
  Milliseconds mRenewInterval{ 800 };
  /// Time for which hosts stay in the view when many registrations disappear
  /// together: an outage of the store has probably expired their leases.
  Milliseconds mRemovalDelay{ 3000 };
  /// Time within which all hosts know of a changed registration: the longest
  /// watch, and the switch to the store when the watched host fails.
  Milliseconds mAnnouncementDelay{ 3000 };
};

/// @brief Registers this host in the store under a lease and watches the
/// registrations of the other hosts. Not thread-safe: use it only on the
/// executor of the daemon.
class HostRegistry
{
public:
  /// Precondition: aView outlives the object.
  HostRegistry(HostRegistryOptions aOptions,
               fleet::EntryHost aSelf,
               fleet::FleetView& aView,
               coordination::StoreCall aStore,
               coordination::WatchCall aWatch,
               Clock aClock);

  /// @brief Registers the host and renews its lease until Deregister() is
  /// called.
  Awaitable<void> MaintainRegistration();

  /// @brief Watches the registrations of all hosts and the leader key, and
  /// updates the view.
  Awaitable<void> WatchHosts();

  /// @brief Announces to the other hosts that this one accepts no new work.
  Awaitable<void> BeginDrain();

  /// @brief Sets the limited replicas that this host uses; see
  /// fleet::EntryHost::mRequestLimits. Written with the next renewal.
  void AnnounceRequestLimits(
    std::map<std::string, double, std::less<>> aLimits);

  /// @brief Sets whether this host reaches no replica; see
  /// fleet::EntryHost::mCutOff. Written with the next renewal.
  void AnnounceCutOff(bool aCutOff);

  /// @brief Ids of the replicas of which all hosts know that this host uses
  /// them.
  std::set<std::string, std::less<>> AnnouncedReplicas() const;

  /// @brief Revokes the lease, which removes the registration.
  Awaitable<void> Deregister();

  /// @brief Called with all entries, page by page, and with each change below
  /// fleet::kLivePrefix, also with those that say nothing of hosts; see
  /// PrefixWatchHooks. May be empty.
  std::function<void()> mOnListStart;
  std::function<void(std::span<const coordination::StoreEntry>)> mOnPage;
  std::function<void()> mOnListEnd;
  std::function<void(const coordination::StoreChange&)> mOnChange;

private:
  Awaitable<bool> Renew();
  Awaitable<bool> WriteRegistration(int64_t aLeaseId);
  PrefixWatchHooks MakeWatchHooks();
  void PutPage(std::span<const coordination::StoreEntry> aEntries);
  void EndList();
  void EndPartialList();
  void ApplyChange(const coordination::StoreChange& aChange);
  void UpdateView();

  HostRegistryOptions mOptions;
  fleet::EntryHost mSelf;
  fleet::FleetView& mView;
  coordination::StoreCall mStore;
  coordination::WatchCall mWatch;
  Clock mClock;
  int64_t mLeaseId = 0;
  bool mDeregistered = false;
  /// The registration as it was last stored.
  fleet::EntryHost mPublished;
  /// When a replica was first stored as used by this host.
  std::map<std::string, TimePoint, std::less<>> mAnnouncedSince;
  std::map<std::string, fleet::EntryHost, std::less<>> mRegistered;
  /// What the list that is being read says so far.
  std::map<std::string, fleet::EntryHost, std::less<>> mListed;
  std::string mListedLeader;
  /// Hosts whose registration is gone, with the end of their mRemovalDelay.
  std::map<std::string, std::pair<fleet::EntryHost, TimePoint>> mExpired;
};

} // namespace agatetide::entry
