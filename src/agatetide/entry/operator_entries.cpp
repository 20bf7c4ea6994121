#include "agatetide/entry/operator_entries.hpp"

#include "agatetide/base/event_log.hpp"

#include <utility>

namespace agatetide::entry {

using coordination::StoreChange;
using coordination::StoreEntry;

namespace {

/// How many names of models, zones and hosts are kept, each of a key of its
/// own.
constexpr size_t kMaxNames = 4096;

Error TooManyNames()
{
  return { ErrorKind::ResourceExhausted,
           "there are " + std::to_string(kMaxNames) + " such entries already",
           "remove entries that are not in use" };
}

} // namespace

OperatorEntries::OperatorEntries(DecodeOperatorCall aDecode,
                                 fleet::FleetView& aView,
                                 Clock aClock)
  : mDecode(std::move(aDecode))
  , mView(aView)
  , mIgnored(std::move(aClock))
{
}

void OperatorEntries::PutPage(std::span<const StoreEntry> aEntries)
{
  for (const StoreEntry& entry : aEntries) {
    if (auto zone = Put(entry)) {
      mListedEvacuations.insert(std::move(*zone));
    }
  }
}

void OperatorEntries::EndList()
{
  EndPartialList();
  mIsPartial = false;
  EndOtherEvacuations();
}

/// The first configuration serves no request before the evacuations on later
/// pages are known.
void OperatorEntries::EndPartialList()
{
  mWereRead = true;
  mIsPartial = true;
  if (const auto config = std::exchange(mFirstConfig, nullptr)) {
    ApplyConfig(config, mFirstConfigRevision);
  }
}

/// The configuration and published versions stay when their keys are removed.
void OperatorEntries::Apply(const StoreChange& aChange)
{
  if (!aChange.mRemoved) {
    Put(aChange.mEntry);
    return;
  }
  const auto decoded = mDecode(aChange.mEntry);
  if (decoded.has_value() && decoded->mEvacuatedZone) {
    EndEvacuation(*decoded->mEvacuatedZone);
  }
  if (decoded.has_value() && decoded->mDiskHostToRetire) {
    mDiskHostsToRetire.erase(*decoded->mDiskHostToRetire);
  }
}

/// Returns the evacuated zone if the entry names one.
std::optional<std::string> OperatorEntries::Put(const StoreEntry& aEntry)
{
  const auto decoded = mDecode(aEntry);
  if (decoded.has_error()) {
    mIgnored.Log("operator_entry_ignored", aEntry, decoded.error());
    return std::nullopt;
  }
  if (decoded->mConfig && mWereRead) {
    ApplyConfig(decoded->mConfig, aEntry.mModRevision);
  } else if (decoded->mConfig) {
    mFirstConfig = decoded->mConfig;
    mFirstConfigRevision = aEntry.mModRevision;
  }
  if (decoded->mVersion) {
    ApplyVersion(aEntry, *decoded->mVersion);
  }
  if (decoded->mDiskHostToRetire && mDiskHostsToRetire.size() < kMaxNames) {
    mDiskHostsToRetire.insert(*decoded->mDiskHostToRetire);
  }
  if (decoded->mEvacuatedZone && mView.EvacuatedZones().size() < kMaxNames &&
      mView.SetEvacuated(*decoded->mEvacuatedZone, true)) {
    LogEvent("zone_evacuated").Field("zone", *decoded->mEvacuatedZone).Write();
  }
  return decoded->mEvacuatedZone;
}

void OperatorEntries::ApplyConfig(
  const std::shared_ptr<const fleet::ServiceConfig>& aConfig,
  int64_t aRevision)
{
  if (!mView.UpdateConfig(aConfig)) {
    return;
  }
  LogEvent("config")
    .Field("version", aConfig->mVersion)
    .Field("revision", aRevision)
    .Write();
  if (mOnConfig) {
    mOnConfig(*aConfig);
  }
}

void OperatorEntries::ApplyVersion(const StoreEntry& aEntry,
                                   const PublishedVersion& aVersion)
{
  const auto& known = mView.PublishedVersions();
  const auto found = known.find(aVersion.mModel);
  if (found == known.end() && known.size() >= kMaxNames) {
    mIgnored.Log("operator_entry_ignored", aEntry, TooManyNames());
    return;
  }
  if (found != known.end() && found->second >= aVersion.mVersion) {
    return;
  }
  LogEvent("version_published")
    .Field("model", aVersion.mModel)
    .Field("version", aVersion.mVersion)
    .Write();
  mView.RecordPublishedVersion(aVersion.mModel, aVersion.mVersion);
}

void OperatorEntries::EndEvacuation(const std::string& aZone)
{
  if (mView.SetEvacuated(aZone, false)) {
    LogEvent("evacuation_ended").Field("zone", aZone).Write();
  }
}

/// Ends the evacuations of all zones but those in the list.
void OperatorEntries::EndOtherEvacuations()
{
  const auto known = mView.EvacuatedZones();
  for (const std::string& zone : known) {
    if (!mListedEvacuations.contains(zone)) {
      EndEvacuation(zone);
    }
  }
}

} // namespace agatetide::entry
