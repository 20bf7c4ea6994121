#include "agatetide/request/crash_table.hpp"

#include "agatetide/base/encoding.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace agatetide::request {

namespace {

/// Limit for the keys of records that could not be removed from the store.
constexpr size_t kMaxStaleKeys = 4096;

} // namespace

std::string SoftwareName(std::string_view aService, std::string_view aVersion)
{
  return std::string(aService) + "@" + std::string(aVersion);
}

std::string CrashRecord::Name() const
{
  if (mKind == Kind::Trial) {
    return "trial-" + std::to_string(mTrialNumber);
  }
  return std::to_string(
    Hash64(mReplicaId + "@" + std::to_string(mReplicaStartMs)));
}

CrashTable::CrashTable(CrashTableOptions aOptions, Clock aClock)
  : mOptions(aOptions)
  , mClock(std::move(aClock))
{
}

size_t CrashTable::RequestEntry::CrashCount() const
{
  return static_cast<size_t>(
    std::count_if(mRecords.begin(), mRecords.end(), [](const auto& aItem) {
      return aItem.second.mRecord.mKind == CrashRecord::Kind::Crash;
    }));
}

bool CrashTable::MayContain(uint64_t aShortHash) const
{
  return mShortHashes.contains(aShortHash);
}

policy::CrashHistory CrashTable::History(
  std::string_view aDigest,
  const std::set<std::string, std::less<>>& aSoftware) const
{
  policy::CrashHistory history;
  const auto found = mRequests.find(aDigest);
  if (found == mRequests.end()) {
    return history;
  }
  const RequestEntry& entry = found->second;
  TimePoint last{};
  bool triedNow = false;
  for (const auto& [name, known] : entry.mRecords) {
    const bool isTrial = known.mRecord.mKind == CrashRecord::Kind::Trial;
    ++(isTrial ? history.mTrials : history.mCrashes);
    last = std::max(last, known.mLearnedAt);
    for (const std::string& software : known.mRecord.mSoftware) {
      triedNow = triedNow || aSoftware.contains(software);
    }
  }
  for (const auto& [name, counts] : entry.mUnsettled) {
    history.mUnsettled += counts ? 1 : 0;
  }
  history.mSinceLast = mClock() - last;
  history.mSoftwareReplaced =
    !entry.mRecords.empty() && !aSoftware.empty() && !triedNow;
  return history;
}

CrashTable::RequestEntry& CrashTable::FindOrCreate(const CrashRecord& aRecord)
{
  const auto found = mRequests.find(aRecord.mDigest);
  if (found != mRequests.end()) {
    return found->second;
  }
  if (mRequests.size() >= mOptions.mMaxRequests) {
    MakeRoom();
  }
  ++mShortHashes[aRecord.mShortHash];
  RequestEntry& entry = mRequests[aRecord.mDigest];
  entry.mShortHash = aRecord.mShortHash;
  entry.mAccount = aRecord.mAccount;
  entry.mCreatedAt = mClock();
  return entry;
}

/// Drops a request of the client account that has the most, so that an account
/// cannot displace the requests of others.
void CrashTable::MakeRoom()
{
  std::map<std::string_view, size_t> counts;
  for (const auto& [digest, entry] : mRequests) {
    ++counts[entry.mAccount];
  }
  const auto largest = std::max_element(
    counts.begin(), counts.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  auto dropped = mRequests.end();
  const auto rank = [](const RequestEntry& aEntry) {
    return std::tuple(aEntry.CrashCount(), aEntry.mCreatedAt);
  };
  for (auto entry = mRequests.begin(); entry != mRequests.end(); ++entry) {
    const bool candidate = entry->second.mAccount == largest->first;
    if (candidate && (dropped == mRequests.end() ||
                      rank(entry->second) < rank(dropped->second))) {
      dropped = entry;
    }
  }
  Erase(dropped);
}

CrashTable::Requests::iterator CrashTable::Erase(Requests::iterator aEntry)
{
  const auto count = mShortHashes.find(aEntry->second.mShortHash);
  if (--count->second == 0) {
    mShortHashes.erase(count);
  }
  return mRequests.erase(aEntry);
}

void CrashTable::EraseIfEmpty(Requests::iterator aEntry)
{
  if (aEntry->second.mRecords.empty() && aEntry->second.mUnsettled.empty()) {
    Erase(aEntry);
  }
}

void CrashTable::AddUnsettled(const CrashRecord& aCrash)
{
  RequestEntry& entry = FindOrCreate(aCrash);
  if (!entry.mRecords.contains(aCrash.Name())) {
    entry.mUnsettled.try_emplace(aCrash.Name(), true);
  }
}

void CrashTable::DiscountUnsettled(const CrashRecordKey& aKey)
{
  const auto found = mRequests.find(aKey.mDigest);
  if (found == mRequests.end()) {
    return;
  }
  const auto unsettled = found->second.mUnsettled.find(aKey.mName);
  if (unsettled != found->second.mUnsettled.end()) {
    unsettled->second = false;
  }
}

void CrashTable::DropUnsettled(const CrashRecordKey& aKey)
{
  const auto found = mRequests.find(aKey.mDigest);
  if (found != mRequests.end()) {
    found->second.mUnsettled.erase(aKey.mName);
    EraseIfEmpty(found);
  }
}

bool CrashTable::Confirm(const CrashRecord& aCrash)
{
  const auto found = mRequests.find(aCrash.mDigest);
  const std::string name = aCrash.Name();
  if (found == mRequests.end() || found->second.mUnsettled.erase(name) == 0) {
    return false;
  }
  Known known{ aCrash };
  known.mLearnedAt = mClock();
  return found->second.mRecords.try_emplace(name, std::move(known)).second;
}

void CrashTable::PutShared(const CrashRecord& aRecord)
{
  RequestEntry& entry = FindOrCreate(aRecord);
  const std::string name = aRecord.Name();
  entry.mUnsettled.erase(name);
  Known& known = entry.mRecords[name];
  if (known.mLearnedAt == TimePoint{}) {
    known.mLearnedAt = mClock();
  }
  known.mRecord = aRecord;
  known.mWrittenAt = mClock();
  known.mShared = true;
  known.mRefresh = false;
}

void CrashTable::RemoveShared(const CrashRecordKey& aKey)
{
  mStaleKeys.erase(aKey);
  const auto found = mRequests.find(aKey.mDigest);
  if (found != mRequests.end()) {
    found->second.mRecords.erase(aKey.mName);
    EraseIfEmpty(found);
  }
}

void CrashTable::RetainShared(const std::set<CrashRecordKey>& aPresent)
{
  for (auto entry = mRequests.begin(); entry != mRequests.end();) {
    std::erase_if(entry->second.mRecords, [&](const auto& aItem) {
      return aItem.second.mShared &&
             !aPresent.contains({ entry->first, aItem.first });
    });
    const auto next = std::next(entry);
    EraseIfEmpty(entry);
    entry = next;
  }
  std::erase_if(mStaleKeys, [&](const CrashRecordKey& aKey) {
    return !aPresent.contains(aKey);
  });
}

bool CrashTable::Clear(std::string_view aDigest)
{
  const auto found = mRequests.find(aDigest);
  if (found == mRequests.end()) {
    return false;
  }
  for (const auto& [name, known] : found->second.mRecords) {
    if (known.mShared && mStaleKeys.size() < kMaxStaleKeys) {
      mStaleKeys.insert({ found->first, name });
    }
  }
  Erase(found);
  return true;
}

void CrashTable::Refresh(std::string_view aDigest)
{
  const auto found = mRequests.find(aDigest);
  if (found == mRequests.end()) {
    return;
  }
  for (auto& [name, known] : found->second.mRecords) {
    known.mRefresh =
      known.mShared && mClock() - known.mWrittenAt > mOptions.mRefreshInterval;
  }
}

bool CrashTable::MarkRefused(std::string_view aDigest)
{
  const auto found = mRequests.find(aDigest);
  return found != mRequests.end() &&
         !std::exchange(found->second.mWasRefused, true);
}

std::vector<CrashRecord> CrashTable::UnsharedRecords(size_t aMost,
                                                     size_t aMaxShared) const
{
  std::vector<std::pair<size_t, const CrashRecord*>> candidates;
  size_t shared = 0;
  for (const auto& [digest, entry] : mRequests) {
    const size_t crashes = entry.CrashCount();
    for (const auto& [name, known] : entry.mRecords) {
      shared += known.mShared ? 1 : 0;
      const bool due =
        known.mShared
          ? known.mRefresh
          : crashes > 1 || mClock() - known.mLearnedAt >= mOptions.mShareDelay;
      if (due) {
        candidates.emplace_back(crashes, &known.mRecord);
      }
    }
  }
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.first > aRight.first;
                   });
  std::vector<CrashRecord> records;
  for (const auto& [crashes, record] : candidates) {
    if (records.size() < aMost && (crashes > 1 || shared < aMaxShared)) {
      records.push_back(*record);
    }
  }
  return records;
}

CrashTable::Known* CrashTable::FindRecord(const CrashRecordKey& aKey)
{
  const auto entry = mRequests.find(aKey.mDigest);
  if (entry == mRequests.end()) {
    return nullptr;
  }
  const auto record = entry->second.mRecords.find(aKey.mName);
  return record == entry->second.mRecords.end() ? nullptr : &record->second;
}

void CrashTable::MarkShared(const CrashRecordKey& aKey)
{
  if (Known* known = FindRecord(aKey)) {
    known->mShared = true;
    known->mRefresh = false;
    known->mWrittenAt = mClock();
  } else if (mStaleKeys.size() < kMaxStaleKeys) {
    // The request has completed while the record was written.
    mStaleKeys.insert(aKey);
  }
}

void CrashTable::RemoveOld()
{
  for (auto entry = mRequests.begin(); entry != mRequests.end();) {
    std::erase_if(entry->second.mRecords, [&](const auto& aItem) {
      return !aItem.second.mShared &&
             mClock() - aItem.second.mLearnedAt > mOptions.mLocalLifetime;
    });
    const auto next = std::next(entry);
    EraseIfEmpty(entry);
    entry = next;
  }
}

} // namespace agatetide::request
