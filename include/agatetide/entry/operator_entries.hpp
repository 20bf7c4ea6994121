#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/coordination/store.hpp"
#include "agatetide/entry/ignored_entries.hpp"
#include "agatetide/fleet/fleet_view.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace agatetide::entry {

/// @brief A weight version that a trainer has published for a model.
struct PublishedVersion
{
  std::string mModel;
  int64_t mVersion = 0;
};

/// @brief A decoded value that the operator or a trainer wrote to the store; at
/// most one field is set.
struct OperatorEntry
{
  std::shared_ptr<const fleet::ServiceConfig> mConfig;
  std::optional<PublishedVersion> mVersion;
  /// A host with a disk that the operator wants to retire; it is reported as
  /// holding no data.
  std::optional<std::string> mDiskHostToRetire;
  /// An availability zone that gets no new requests while the entry exists.
  /// Depends on the key alone, so it is also set for a removed entry.
  std::optional<std::string> mEvacuatedZone;
};

/// @brief Decodes an entry. Errors: InvalidArgument if the value is malformed.
using DecodeOperatorCall =
  std::function<Result<OperatorEntry>(const coordination::StoreEntry&)>;

/// @brief Keeps the view's configuration, published versions and evacuations as
/// the operator and trainers write them to the store. Not thread-safe: use it
/// only on the executor of the daemon.
class OperatorEntries
{
public:
  /// Precondition: aView outlives the object.
  OperatorEntries(DecodeOperatorCall aDecode,
                  fleet::FleetView& aView,
                  Clock aClock);

  /// @name The list of all entries in the store, page by page
  /// What BeginList() and EndList() enclose replaces what is known. A list that
  /// is begun again is read from its start.
  /// @{
  void BeginList() { mListedEvacuations.clear(); }
  void PutPage(std::span<const coordination::StoreEntry> aEntries);
  void EndList();
  /// @brief Ends a list that could only be read in part.
  void EndPartialList();
  /// @}

  /// @brief Applies one change in the store.
  void Apply(const coordination::StoreChange& aChange);

  /// @brief Whether the entries were read since the start of the process, or as
  /// many of them as can be.
  bool AreKnown() const { return mWereRead; }

  /// @brief Whether the last list could only be read in part.
  bool ArePartial() const { return mIsPartial; }

  /// @brief Hosts with a disk that the operator wants to retire.
  const std::set<std::string>& DiskHostsToRetire() const
  {
    return mDiskHostsToRetire;
  }

  /// @brief Called with each configuration that comes into force. May be empty.
  std::function<void(const fleet::ServiceConfig&)> mOnConfig;

private:
  std::optional<std::string> Put(const coordination::StoreEntry& aEntry);
  void ApplyConfig(const std::shared_ptr<const fleet::ServiceConfig>& aConfig,
                   int64_t aRevision);
  void ApplyVersion(const coordination::StoreEntry& aEntry,
                    const PublishedVersion& aVersion);
  void EndEvacuation(const std::string& aZone);
  void EndOtherEvacuations();

  DecodeOperatorCall mDecode;
  fleet::FleetView& mView;
  IgnoredEntries mIgnored;
  bool mWereRead = false;
  bool mIsPartial = false;
  /// The configuration in the first list, until the list was read.
  std::shared_ptr<const fleet::ServiceConfig> mFirstConfig;
  int64_t mFirstConfigRevision = 0;
  /// The evacuated zones in the list that is being read.
  std::set<std::string, std::less<>> mListedEvacuations;
  std::set<std::string> mDiskHostsToRetire;
};

} // namespace agatetide::entry
