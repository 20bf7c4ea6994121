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
constexpr size_t kMaxLoggedRegistrations = 256;
/// A malformed registration that is written again and again is logged once in
/// this time.
constexpr std::chrono::seconds kIgnoredLogInterval{ 10 };

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
  , mClock(std::move(aClock))
{
}

bool ReplicaRegistrations::IsOutageRecent() const
{
  return mLastStoreFailure != TimePoint{} &&
         mClock() - mLastStoreFailure < kRecentOutagePeriod;
}

void ReplicaRegistrations::LogIgnored(const StoreEntry& aEntry,
                                      const Error& aError)
{
  if (mIgnored.size() >= kMaxLoggedRegistrations) {
    mIgnored.clear();
  }
  const auto [known, isNew] = mIgnored.try_emplace(aEntry.mKey);
  Ignored& ignored = known->second;
  if (!isNew && ignored.mRevision == aEntry.mModRevision) {
    return;
  }
  ignored.mRevision = aEntry.mModRevision;
  if (!isNew && mClock() - ignored.mLoggedAt < kIgnoredLogInterval) {
    ++ignored.mSuppressed;
    return;
  }
  ignored.mLoggedAt = mClock();
  LogEvent("replica_ignored", LogLevel::Warning)
    .Field("key", aEntry.mKey)
    .Field("revision", aEntry.mModRevision)
    .Field("error", FormatError(aError))
    .Field("suppressed", std::exchange(ignored.mSuppressed, 0))
    .Write();
}

/// Returns false if the registration is malformed and names no replica.
bool ReplicaRegistrations::Put(const StoreEntry& aEntry)
{
  auto replica = mDecode(aEntry);
  if (replica.has_error()) {
    LogIgnored(aEntry, replica.error());
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
  mListed.clear();
}

void ReplicaRegistrations::EndList()
{
  mWereRead = true;
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
