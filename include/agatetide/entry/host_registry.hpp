#pragma once

#include "agatetide/entry/prefix_watcher.hpp"
#include "agatetide/fleet/fleet_view.hpp"

#include <functional>
#include <map>
#include <string>

namespace agatetide::entry {

struct HostRegistryOptions
{
  int64_t mTtlSeconds = 3;
  Milliseconds mRenewInterval{ 800 };
  /// When many hosts vanish at once, their leases have probably lapsed with
  /// the store; they stay known for this long.
  Milliseconds mRemovalDelay{ 3000 };
};

/// @brief Registers this host in the store under a lease and follows the
/// other hosts. Not thread-safe: owned by the executor of the daemon.
class HostRegistry
{
public:
  HostRegistry(HostRegistryOptions aOptions,
               fleet::EntryHost aSelf,
               fleet::FleetView& aView,
               coordination::StoreCall aStore,
               coordination::WatchCall aWatch,
               Clock aClock);

  /// @brief Keeps the registration until Deregister() is called.
  Awaitable<void> MaintainRegistration();

  /// @brief Follows the registrations of all hosts.
  Awaitable<void> WatchHosts();

  /// @brief Tells the other hosts that this one takes no new work.
  Awaitable<void> BeginDrain();

  /// @brief ShouldTakeOver this host out of the registry.
  Awaitable<void> Deregister();

private:
  Awaitable<bool> Renew();
  Awaitable<bool> WriteRegistration(int64_t aLease);
  void ApplySnapshot(const std::vector<coordination::StoreEntry>& aEntries);
  void ApplyChange(const coordination::StoreChange& aChange);
  void UpdateView();

  HostRegistryOptions mOptions;
  fleet::EntryHost mSelf;
  fleet::FleetView& mView;
  coordination::StoreCall mStore;
  coordination::WatchCall mWatch;
  Clock mClock;
  int64_t mLease = 0;
  bool mLeaving = false;
  /// What the registration says of draining.
  bool mPublishedDraining = false;
  std::map<std::string, fleet::EntryHost, std::less<>> mRegistered;
  /// Hosts whose registration is gone, with the time until which they stay.
  std::map<std::string, std::pair<fleet::EntryHost, TimePoint>> mExpired;
};

} // namespace agatetide::entry
