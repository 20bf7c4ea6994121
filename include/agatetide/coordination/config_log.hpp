#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/coordination/store.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <map>
#include <memory>
#include <span>

namespace agatetide::coordination {

/// @brief One object of the configuration; the value is opaque here.
struct ConfigObject
{
  std::string mValue;
  /// Version of the configuration that last changed this object.
  int64_t mVersion = 0;
};

/// @brief One accepted change. Versions are consecutive.
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

/// @brief An immutable state of the configuration at one version.
struct ConfigState
{
  int64_t mVersion = 0;
  std::map<std::string, ConfigObject> mObjects;
};

/// @brief Stands for every version in ConfigWrite.
inline constexpr int64_t kAnyVersion = -1;

/// @brief A change as an operator asks for it.
struct ConfigWrite
{
  std::string mChangeId;
  std::string mObject;
  bool mDeleted = false;
  std::string mValue;
  /// Version at which the operator read the object; 0 when it must be new,
  /// kAnyVersion to overwrite whatever is there.
  int64_t mExpectedVersion = 0;
  /// Version of the configuration that the change must follow directly, or
  /// kAnyVersion. Changes of the host set name the accepted version here, so
  /// that each is accepted before the next is stored.
  int64_t mExpectedHead = kAnyVersion;
};

/// @brief The local copy of the configuration. It only moves forward.
/// Not thread-safe; snapshots it hands out may be read by any thread.
class ConfigLog
{
public:
  ConfigLog();

  /// @brief Applies changes that continue the present version; earlier ones
  /// are skipped. Returns whether the version moved.
  /// Errors: Conflict when a version is missing; fetch from Version() on.
  Result<bool> Apply(std::span<const ConfigChange> aChanges);

  /// @brief Takes a whole state when it is newer than the local one.
  bool Replace(ConfigState aState);

  /// @brief The recent changes after aVersion, or nullopt when they are no
  /// longer kept and the whole state is needed.
  std::optional<std::vector<ConfigChange>> ChangesAfter(int64_t aVersion) const;

  int64_t Version() const { return mState->mVersion; }

  std::shared_ptr<const ConfigState> State() const { return mState; }

private:
  std::shared_ptr<const ConfigState> mState;
  std::vector<ConfigChange> mRecent;
};

/// @brief Writes one change to the store as a single transaction.
///
/// Retries while only other objects changed. After a lost answer it reads
/// back by change id, so a change is stored at most once. A call that is
/// repeated with the same change id returns the change stored first, also when
/// the object has changed again since; with kAnyVersion only while the object
/// still holds the change. An empty change id is never recognised.
/// Returns the stored change. Errors: Conflict when the object changed since
/// aWrite.mExpectedVersion or the head is not aWrite.mExpectedHead;
/// Unavailable (not run); OutcomeUnknown when the read-back fails as well.
Awaitable<Result<ConfigChange>> WriteConfig(StoreCall aStore,
                                            ConfigWrite aWrite);

/// @brief Reads the version of the head record; 0 when there is none yet.
Awaitable<Result<int64_t>> ReadConfigVersion(StoreCall aStore);

/// @brief Reads the whole configuration at one version.
Awaitable<Result<ConfigState>> ReadConfigState(StoreCall aStore);

/// @brief Reads the kept changes after aVersion from the store, in order. An
/// empty list means that the caller is current; when the first version is
/// not aVersion + 1, the caller needs ReadConfigState().
Awaitable<Result<std::vector<ConfigChange>>> ReadConfigChanges(
  StoreCall aStore,
  int64_t aVersion);

} // namespace agatetide::coordination
