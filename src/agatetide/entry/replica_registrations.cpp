#include "agatetide/entry/replica_registrations.hpp"

#include "agatetide/base/event_log.hpp"

#include <utility>

namespace agatetide::entry {

using coordination::StoreChange;
using coordination::StoreEntry;

namespace {

/// Registrations that expired during an outage of the store return within this
/// time if their replica still runs.
constexpr std::chrono::milliseconds kReplicaRemovalDelay{ 2300 };
/// An outage of the store counts as recent for this long after the last failed
/// call.
constexpr std::chrono::milliseconds kRecentOutagePeriod{ 3000 };
/// What the replicas of services that the configuration names may take
/// together, some 50,000 ordinary ones, and what the others may take.
constexpr size_t kMaxNamedBytes = size_t{ 16 } << 20U;
constexpr size_t kMaxOtherBytes = size_t{ 4 } << 20U;
/// What a replica takes beside its texts, in all tables that list it.
constexpr size_t kReplicaOverheadBytes = 256;

size_t SizeInBytes(const fleet::Replica& aReplica)
{
  size_t bytes = kReplicaOverheadBytes + aReplica.mId.size() +
                 aReplica.mService.size() + aReplica.mAddress.size() +
                 aReplica.mAvailabilityZone.size() +
                 aReplica.mSoftwareVersion.size();
  for (const auto& [model, version] : aReplica.mVersions) {
    bytes += kReplicaOverheadBytes + model.size();
  }
  return bytes;
}

Error TooManyReplicas()
{
  return { ErrorKind::ResourceExhausted,
           "the known replicas take all the memory that they may",
           "remove registrations that name no replica in use" };
}

} // namespace

ReplicaRegistrations::ReplicaRegistrations(std::string aPrefix,
                                           DecodeReplicaCall aDecode,
                                           fleet::FleetView& aView,
                                           request::RequestLimits& aLimits,
                                           Clock aClock)
  : mPrefix(std::move(aPrefix))
  , mDecode(std::move(aDecode))
  , mView(aView)
  , mLimits(aLimits)
  , mClock(aClock)
  , mIgnored(std::move(aClock))
{
}

bool ReplicaRegistrations::IsOutageRecent() const
{
  return mLastStoreFailure != TimePoint{} &&
         mClock() - mLastStoreFailure < kRecentOutagePeriod;
}

size_t& ReplicaRegistrations::BytesOf(bool aIsOfNamedService)
{
  return aIsOfNamedService ? mNamedBytes : mOtherBytes;
}

/// Returns false if there is no room for a replica.
bool ReplicaRegistrations::Reserve(const fleet::Replica& aReplica)
{
  const auto& config = mView.Config();
  const bool isNamed = config && config->mServices.contains(aReplica.mService);
  const size_t bytes = SizeInBytes(aReplica);
  Release(aReplica.mId);
  if (BytesOf(isNamed) + bytes > (isNamed ? kMaxNamedBytes : kMaxOtherBytes)) {
    return false;
  }
  BytesOf(isNamed) += bytes;
  mReservations.insert_or_assign(aReplica.mId, Reservation{ bytes, isNamed });
  return true;
}

void ReplicaRegistrations::Release(std::string_view aId)
{
  const auto known = mReservations.find(aId);
  if (known != mReservations.end()) {
    BytesOf(known->second.mIsOfNamedService) -= known->second.mBytes;
    mReservations.erase(known);
  }
}

/// Returns false if the registration is malformed and names no replica.
bool ReplicaRegistrations::Put(const StoreEntry& aEntry)
{
  auto replica = mDecode(aEntry);
  if (replica.has_error()) {
    mIgnored.Log("replica_ignored", aEntry, replica.error());
    return false;
  }
  if (!Reserve(*replica)) {
    mIgnored.Log("replica_ignored", aEntry, TooManyReplicas());
    return false;
  }
  const std::string id = replica->mId;
  const fleet::Replica* known = mView.FindReplica(id);
  const bool isNew = known == nullptr;
  const bool wasDraining = !isNew && known->mDraining;
  if (!isNew && known->mStartTimeMs != replica->mStartTimeMs) {
    mLimits.Forget(id);
  }
  mExpired.erase(id);
  mView.PutReplica(std::move(*replica));
  const fleet::Replica& current = *mView.FindReplica(id);
  if (isNew || wasDraining != current.mDraining) {
    LogEvent("replica")
      .Field("replica", id)
      .Field("upstream", current.mService)
      .Field("availability_zone", current.mAvailabilityZone)
      .Field("software_version", current.mSoftwareVersion)
      .Field("preemptible", current.mPreemptible)
      .Field("draining", current.mDraining)
      .Write();
  }
  return true;
}

void ReplicaRegistrations::Reset(std::span<const StoreEntry> aEntries)
{
  BeginList();
  PutPage(aEntries);
  EndList();
}

void ReplicaRegistrations::BeginList()
{
  mListed.clear();
}

void ReplicaRegistrations::PutPage(std::span<const StoreEntry> aEntries)
{
  for (const StoreEntry& entry : aEntries) {
    if (Put(entry)) {
      mListed.insert(entry.mKey.substr(mPrefix.size()));
    }
  }
}

/// A host that knows no replica serves nobody: it isn't ready by a list that
/// names none before it ends early.
void ReplicaRegistrations::EndPartialList()
{
  mWereRead = mWereRead || !mListed.empty();
  mIsPartial = true;
  mListed.clear();
}

void ReplicaRegistrations::EndList()
{
  mWereRead = true;
  mIsPartial = false;
  const auto present = std::exchange(mListed, {});
  for (const auto& [id, replica] : mView.Replicas()) {
    if (!present.contains(id)) {
      mExpired.try_emplace(id, mClock() + kReplicaRemovalDelay);
    }
  }
  RemoveExpired();
}

void ReplicaRegistrations::Apply(const StoreChange& aChange)
{
  if (!aChange.mRemoved && Put(aChange.mEntry)) {
    mWereRead = mWereRead || mIsPartial;
    return;
  }
  const std::string id = aChange.mEntry.mKey.substr(mPrefix.size());
  if (mView.FindReplica(id) == nullptr) {
    return;
  }
  // A malformed registration may be replaced by the replica's next heartbeat.
  const bool mayReturn = !aChange.mRemoved || IsOutageRecent();
  mExpired.try_emplace(id,
                       mayReturn ? mClock() + kReplicaRemovalDelay : mClock());
  RemoveExpired();
}

void ReplicaRegistrations::RemoveExpired()
{
  for (auto expired = mExpired.begin(); expired != mExpired.end();) {
    if (mClock() < expired->second) {
      ++expired;
      continue;
    }
    LogEvent("replica_gone").Field("replica", expired->first).Write();
    Release(expired->first);
    mView.RemoveReplica(expired->first);
    mLimits.Forget(expired->first);
    expired = mExpired.erase(expired);
  }
}

void ReplicaRegistrations::RecordDraining(std::string_view aReplicaId)
{
  if (!mView.MarkDraining(aReplicaId)) {
    return;
  }
  ++mDrainReportCount;
  LogEvent("replica_draining")
    .Field("replica", aReplicaId)
    .Field("source", "response")
    .Field("confirmed_ms_ago", mView.StalenessText())
    .Write();
}

} // namespace agatetide::entry
