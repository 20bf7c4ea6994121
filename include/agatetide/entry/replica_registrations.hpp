#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/coordination/store.hpp"
#include "agatetide/entry/ignored_entries.hpp"
#include "agatetide/fleet/fleet_view.hpp"
#include "agatetide/request/request_limits.hpp"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>

namespace agatetide::entry {

/// @brief Decodes a registration. Errors: InvalidArgument if it is malformed.
using DecodeReplicaCall =
  std::function<Result<fleet::Replica>(const coordination::StoreEntry&)>;

/// @brief Keeps the view's replicas as they register in the store and as they
/// say themselves. Replicas whose registration is gone stay for a while around
/// an outage of the store, and so do those whose registration is malformed. Not
/// thread-safe: use it only on the executor of the
/// daemon.
class ReplicaRegistrations
{
public:
  /// Precondition: aView and aLimits outlive the object. aPrefix is the prefix
  /// of the store keys, which end in the replica's id.
  ReplicaRegistrations(std::string aPrefix,
                       DecodeReplicaCall aDecode,
                       fleet::FleetView& aView,
                       request::RequestLimits& aLimits,
                       Clock aClock);

  /// @name The list of all registrations in the store, page by page
  /// What BeginList() and EndList() enclose replaces what is known. A list that
  /// is begun again is read from its start.
  /// @{
  void BeginList();
  void PutPage(std::span<const coordination::StoreEntry> aEntries);
  void EndList();
  /// @brief Ends a list that could only be read in part: other replicas may be
  /// registered, too.
  void EndPartialList();
  /// @}

  /// @brief Replaces what is known by all registrations in the store.
  void Reset(std::span<const coordination::StoreEntry> aEntries);

  /// @brief Whether the registrations were read since the start of the process,
  /// or as many of them as can be.
  bool AreKnown() const { return mWereRead; }

  /// @brief Applies one change in the store.
  void Apply(const coordination::StoreChange& aChange);

  /// @brief Removes replicas whose registration has not come back in time. Call
  /// it when all changes so far were applied.
  void RemoveExpired();

  /// @brief Records that a read or a watch of the store failed.
  void RecordStoreFailure() { mLastStoreFailure = mClock(); }

  /// @brief Whether the store failed lately.
  bool IsOutageRecent() const;

  /// @brief Records that a replica itself said that it is leaving.
  void RecordDraining(std::string_view aReplicaId);

  /// @brief Replicas that said so before their registration did, since the
  /// start.
  uint64_t DrainReportCount() const { return mDrainReportCount; }

private:
  bool Put(const coordination::StoreEntry& aEntry);
  bool Reserve(const fleet::Replica& aReplica);
  size_t& BytesOf(bool aIsOfNamedService);
  void Release(std::string_view aId);

  std::string mPrefix;
  DecodeReplicaCall mDecode;
  fleet::FleetView& mView;
  request::RequestLimits& mLimits;
  Clock mClock;
  bool mWereRead = false;
  /// Whether the last list could only be read in part.
  bool mIsPartial = false;
  /// Ids of the replicas in the list that is being read.
  std::set<std::string, std::less<>> mListed;
  TimePoint mLastStoreFailure{};
  /// Replicas whose registration is gone, with the time of their removal from
  /// the view.
  std::map<std::string, TimePoint, std::less<>> mExpired;
  uint64_t mDrainReportCount = 0;
  IgnoredEntries mIgnored;
  /// What a known replica takes, and of which sum.
  struct Reservation
  {
    size_t mBytes = 0;
    bool mIsOfNamedService = false;
  };
  std::map<std::string, Reservation, std::less<>> mReservations;
  /// Bytes of the replicas whose service the configuration names, and of the
  /// others, which are kept since a later configuration may name it.
  size_t mNamedBytes = 0;
  size_t mOtherBytes = 0;
};

} // namespace agatetide::entry
