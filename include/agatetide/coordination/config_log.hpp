#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/coordination/store.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <map>
#include <memory>
#include <span>

namespace agatetide::coordination {

/// @brief One object of the configuration. The value is opaque to this module.
struct ConfigObject
{
  std::string mValue;
  /// Configuration version that last changed this object.
  int64_t mVersion = 0;
};

/// @brief One stored change. Versions are consecutive.
struct ConfigChange
{
  int64_t mVersion = 0;
  std::string mChangeId;
  std::string mObject; // "<kind>/<name>"
  bool mDeleted = false;
  std::string mValue;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mChangeId, mObject, mDeleted, mValue);
  }
};

/// @brief An immutable state of the configuration at one version, as encoded
/// objects. daemon::ConfigSnapshot holds them decoded, for requests.
struct ConfigState
{
  int64_t mVersion = 0;
  std::map<std::string, ConfigObject> mObjects;
};

/// @brief Matches any version in ConfigWrite.
inline constexpr int64_t kAnyVersion = -1;

/// @brief A change requested by an operator.
struct ConfigWrite
{
  std::string mChangeId;
  std::string mObject;
  bool mDeleted = false;
  std::string mValue;
  /// Version at which the operator read the object; 0 if the object must not
  /// exist, kAnyVersion to overwrite it unconditionally.
  int64_t mExpectedObjectVersion = 0;
  /// Configuration version that the change must directly follow, or
  /// kAnyVersion. For a change of the host set, pass the version that
  /// ReadLease::IsAccepted() confirmed, so that each change is accepted before
  /// the next is stored.
  int64_t mExpectedConfigVersion = kAnyVersion;
};

/// @brief The local copy of the configuration. Its version never decreases.
/// Not thread-safe; the snapshots returned by State() are immutable and may be
/// read by any thread.
class ConfigLog
{
public:
  ConfigLog();

  /// @brief Applies the changes that follow the current version and skips
  /// earlier ones. Returns whether the version increased.
  /// Errors: Conflict if a version is missing; nothing is applied then. Fetch
  /// the changes after Version().
  Result<bool> Apply(std::span<const ConfigChange> aChanges);

  /// @brief Replaces the local state if aState is newer. Returns whether it
  /// was.
  bool Replace(ConfigState aState);

  /// @brief The changes after aVersion, or std::nullopt if some are no longer
  /// kept and the whole state is needed.
  std::optional<std::vector<ConfigChange>> ChangesAfter(int64_t aVersion) const;

  int64_t Version() const { return mState->mVersion; }

  std::shared_ptr<const ConfigState> State() const { return mState; }

private:
  std::shared_ptr<const ConfigState> mState;
  std::vector<ConfigChange> mRecent;
};

/// @brief Writes one change to the store as a single transaction. Returns the
/// stored change.
///
/// Retries while only other objects changed. If a reply is lost, the change
/// is looked up by its change id, so it is stored at most once. A call repeated
/// with the same change id returns the change stored first, even if the object
/// has changed since; with kAnyVersion only while the object still holds that
/// change. A write with an empty change id is never recognised as repeated.
/// Errors: Conflict if the object changed since aWrite.mExpectedObjectVersion
/// or the configuration is not at aWrite.mExpectedConfigVersion; Unavailable
/// (not run); OutcomeUnknown if the lookup fails as well.
Awaitable<Result<ConfigChange>> WriteConfig(StoreCall aStore,
                                            ConfigWrite aWrite);

/// @brief Reads the current configuration version; 0 if nothing was written
/// yet.
Awaitable<Result<int64_t>> ReadConfigVersion(StoreCall aStore);

/// @brief Reads the whole configuration at one version.
/// Errors: those of the store; Unavailable if the configuration changed during
/// each attempt to read it.
Awaitable<Result<ConfigState>> ReadConfigState(StoreCall aStore);

/// @brief Reads the changes after aVersion that the store still keeps, in
/// order. An empty list means that aVersion is current; if the first version is
/// not aVersion + 1, use ReadConfigState() instead.
/// Errors: those of the store; DataLoss for a change that does not decode.
Awaitable<Result<std::vector<ConfigChange>>> ReadConfigChanges(
  StoreCall aStore,
  int64_t aVersion);

} // namespace agatetide::coordination
