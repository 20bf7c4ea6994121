#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/policy/crash_verdict.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::request {

/// @brief Service and software version of a replica, as one text.
std::string SoftwareName(std::string_view aService, std::string_view aVersion);

/// @brief The end of one replica while it ran a request, or one more run of a
/// request that is refused. All hosts share these records.
struct CrashRecord
{
  enum class Kind
  {
    Crash,
    Trial,
  };

  Kind mKind = Kind::Crash;
  /// See RequestFingerprint.
  std::string mDigest;
  uint64_t mShortHash = 0;
  /// Client account; empty on routes that need no key.
  std::string mAccount;
  /// Crashes: SoftwareName() of the replica. Trials: those that served.
  std::set<std::string, std::less<>> mSoftware;
  /// Crashes: the replica, and its start as fleet::Replica::mStartTimeMs.
  std::string mReplicaId;
  int64_t mReplicaStartMs = 0;
  /// Trials: counted from 0.
  uint32_t mTrialNumber = 0;
  /// For operators: the host that reports the crash, the request that ran and
  /// the beginning of its target.
  std::string mHost;
  std::string mRequestId;
  std::string mTarget;

  /// @brief Identifies the record among those of its digest. Two reports of one
  /// crash, or two claims of one trial, have the same.
  std::string Name() const;
};

/// @brief Identifies a record.
struct CrashRecordKey
{
  std::string mDigest;
  /// See CrashRecord::Name().
  std::string mName;

  auto operator<=>(const CrashRecordKey&) const = default;
};

struct CrashTableOptions
{
  /// Maximum number of requests; beyond it those of the client account that has
  /// the most are dropped, those with the fewest crashes first.
  size_t mMaxRequests = 2048;
  /// A record that is not shared with the other hosts is dropped after this
  /// time.
  Milliseconds mLocalLifetime{ std::chrono::minutes(5) };
  /// A single crash is shared after this time, because a sound request has
  /// usually been answered by another replica by then.
  Milliseconds mShareDelay{ 400 };
  /// Records of a request that is still being refused are written again after
  /// this time, so that they do not expire.
  Milliseconds mRefreshInterval{ std::chrono::minutes(2) };
};

/// @brief Which replicas crashed under which requests, as far as this host
/// knows. Not thread-safe.
class CrashTable
{
public:
  CrashTable(CrashTableOptions aOptions, Clock aClock);

  bool IsEmpty() const { return mRequests.empty(); }

  /// @brief Whether there may be records of a request with this short hash.
  bool MayContain(uint64_t aShortHash) const;

  /// @brief What is known of a request. aSoftware holds the SoftwareName() of
  /// all replicas that could run it now.
  policy::CrashHistory History(
    std::string_view aDigest,
    const std::set<std::string, std::less<>>& aSoftware) const;

  /// @brief Counts a broken attempt of which it is not known yet whether its
  /// replica crashed. Two attempts at one replica count once.
  void AddUnsettled(const CrashRecord& aCrash);

  /// @brief Counts it no longer, since the replica accepted a connection; it
  /// may still be confirmed.
  void DiscountUnsettled(const CrashRecordKey& aKey);

  /// @brief Forgets it: the replica has not crashed.
  void DropUnsettled(const CrashRecordKey& aKey);

  /// @brief Records that a crash passed to AddUnsettled() is confirmed. Returns
  /// false if that is known, or if the request has completed in the meantime.
  bool Confirm(const CrashRecord& aCrash);

  /// @brief Records what the store holds: reports of all hosts, and this one's.
  void PutShared(const CrashRecord& aRecord);

  /// @brief Forgets a record that is no longer in the store.
  void RemoveShared(const CrashRecordKey& aKey);

  /// @brief Forgets all records of the store that are not among aPresent.
  void RetainShared(const std::set<CrashRecordKey>& aPresent);

  /// @brief Forgets a request that a replica has answered, and returns whether
  /// it was known. Its shared records are among StaleKeys() from then on.
  bool Clear(std::string_view aDigest);

  /// @brief Writes the records of a refused request again if they are old.
  void Refresh(std::string_view aDigest);

  /// @brief Returns whether this is the first refusal of the request here.
  bool MarkRefused(std::string_view aDigest);

  /// @brief Up to aMost records that should be written to the store now, those
  /// of the requests with the most crashes first. Single crashes are not
  /// written while the store has aMaxShared records.
  std::vector<CrashRecord> UnsharedRecords(size_t aMost,
                                           size_t aMaxShared) const;

  /// @brief Records that this host wrote a record to the store.
  void MarkShared(const CrashRecordKey& aKey);

  /// @brief Records that should be removed from the store.
  const std::set<CrashRecordKey>& StaleKeys() const { return mStaleKeys; }

  /// @brief Ends the effect of Clear() for a record that was removed.
  void MarkRemoved(const CrashRecordKey& aKey) { mStaleKeys.erase(aKey); }

  /// @brief Drops records that are too old; called regularly.
  void RemoveOld();

private:
  struct Known
  {
    CrashRecord mRecord;
    TimePoint mLearnedAt{};
    TimePoint mWrittenAt{};
    bool mShared = false;
    /// Whether this host should write it again.
    bool mRefresh = false;
  };

  struct RequestEntry
  {
    uint64_t mShortHash = 0;
    std::string mAccount;
    TimePoint mCreatedAt{};
    bool mWasRefused = false;
    std::map<std::string, Known, std::less<>> mRecords;
    /// Names of the unsettled crashes, and whether each counts.
    std::map<std::string, bool, std::less<>> mUnsettled;

    size_t CrashCount() const;
  };
  using Requests = std::map<std::string, RequestEntry, std::less<>>;

  RequestEntry& FindOrCreate(const CrashRecord& aRecord);
  Requests::iterator Erase(Requests::iterator aEntry);
  void EraseIfEmpty(Requests::iterator aEntry);
  void MakeRoom();
  Known* FindRecord(const CrashRecordKey& aKey);

  CrashTableOptions mOptions;
  Clock mClock;
  Requests mRequests;
  /// Number of requests by short hash.
  std::map<uint64_t, size_t> mShortHashes;
  std::set<CrashRecordKey> mStaleKeys;
};

} // namespace agatetide::request
