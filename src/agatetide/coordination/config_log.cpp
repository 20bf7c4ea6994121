#include "agatetide/coordination/config_log.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <cstdio>
#include <sstream>

namespace agatetide::coordination {

namespace {

constexpr std::string_view kHeadKey = "agatetide/config/head";
constexpr std::string_view kObjectPrefix = "agatetide/config/object/";
constexpr std::string_view kChangePrefix = "agatetide/config/change/";
/// Changes that ConfigLog keeps in memory.
constexpr size_t kMaxRecentChanges = 4096;
/// Changes kept in the store; older ones are deleted. A reader that is further
/// behind reads the whole state instead.
constexpr int64_t kMaxStoredChanges = 4096;
constexpr int kMaxAttempts = 16;

std::string ChangeKey(int64_t aVersion)
{
  char digits[24];
  std::snprintf(
    digits, sizeof digits, "%016lld", static_cast<long long>(aVersion));
  return std::string(kChangePrefix) + digits;
}

std::string Encode(const ConfigChange& aChange)
{
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(aChange);
  return stream.str();
}

Result<ConfigChange> Decode(const std::string& aBytes)
{
  try {
    std::istringstream stream(aBytes);
    cereal::PortableBinaryInputArchive archive(stream);
    ConfigChange change;
    archive(change);
    return change;
  } catch (const std::exception&) {
    return Error{ ErrorKind::DataLoss,
                  "a configuration change in the store cannot be decoded",
                  "check which program wrote to agatetide/config/change/" };
  }
}

struct Head
{
  int64_t mVersion = 0;
  int64_t mModRevision = 0;
};

Awaitable<Result<Head>> ReadHead(StoreCall aStore)
{
  auto entry = co_await ReadKey(aStore, std::string(kHeadKey));
  if (entry.has_error()) {
    co_return entry.error();
  }
  if (!entry->has_value()) {
    co_return Head{};
  }
  co_return Head{ std::strtoll((*entry)->mValue.c_str(), nullptr, 10),
                  (*entry)->mModRevision };
}

/// Stored form of an object: its version, change id and value, separated by
/// newlines. A reader gives the version in its next write; the change id
/// identifies a repeated write.
std::string ObjectRecord(const ConfigChange& aChange)
{
  return std::to_string(aChange.mVersion) + "\n" + aChange.mChangeId + "\n" +
         aChange.mValue;
}

struct StoredObject
{
  int64_t mVersion = 0;
  int64_t mModRevision = 0;
  std::string mChangeId;
  std::string mValue;
};

StoredObject ParseObject(const StoreEntry& aEntry)
{
  StoredObject object;
  object.mModRevision = aEntry.mModRevision;
  const size_t idStart = aEntry.mValue.find('\n');
  const size_t idEnd = aEntry.mValue.find('\n', idStart + 1);
  if (idStart == std::string::npos || idEnd == std::string::npos) {
    return object;
  }
  object.mVersion = std::strtoll(aEntry.mValue.c_str(), nullptr, 10);
  object.mChangeId = aEntry.mValue.substr(idStart + 1, idEnd - idStart - 1);
  object.mValue = aEntry.mValue.substr(idEnd + 1);
  return object;
}

Awaitable<Result<StoredObject>> ReadObject(StoreCall aStore, std::string aKey)
{
  auto entry = co_await ReadKey(aStore, std::move(aKey));
  if (entry.has_error()) {
    co_return entry.error();
  }
  co_return entry->has_value() ? ParseObject(**entry) : StoredObject{};
}

Error ObjectConflict(const std::string& aObject,
                     int64_t aActual,
                     int64_t aExpected)
{
  return {
    ErrorKind::Conflict,
    aObject + " is at version " + std::to_string(aActual) + ", not " +
      std::to_string(aExpected),
    "read the object again and repeat the change with its current version"
  };
}

Error HeadConflict(int64_t aActual, int64_t aExpected)
{
  return { ErrorKind::Conflict,
           "the configuration is at version " + std::to_string(aActual) +
             ", not " + std::to_string(aExpected),
           "repeat the change once the current version is accepted" };
}

Error UnresolvedWrite()
{
  return { ErrorKind::OutcomeUnknown,
           "the store did not confirm whether the change was stored",
           "repeat the call with the same change id",
           Execution::Unknown };
}

Awaitable<Result<std::optional<ConfigChange>>> FindChange(StoreCall aStore,
                                                          int64_t aAfter,
                                                          std::string aChangeId)
{
  auto changes = co_await ReadConfigChanges(aStore, aAfter);
  if (changes.has_error()) {
    co_return changes.error();
  }
  for (ConfigChange& change : *changes) {
    if (!aChangeId.empty() && change.mChangeId == aChangeId) {
      co_return std::optional<ConfigChange>(std::move(change));
    }
  }
  co_return std::optional<ConfigChange>();
}

TransactionRequest MakeTransaction(const ConfigChange& aChange,
                                   const Head& aHead,
                                   int64_t aObjectRevision)
{
  const std::string objectKey = std::string(kObjectPrefix) + aChange.mObject;
  TransactionRequest commit;
  commit.mCompares.push_back({ std::string(kHeadKey), aHead.mModRevision });
  commit.mCompares.push_back({ objectKey, aObjectRevision });
  commit.mPuts.push_back(
    { std::string(kHeadKey), std::to_string(aChange.mVersion) });
  commit.mPuts.push_back({ ChangeKey(aChange.mVersion), Encode(aChange) });
  if (aChange.mDeleted) {
    commit.mDeletes.push_back({ objectKey });
  } else {
    commit.mPuts.push_back({ objectKey, ObjectRecord(aChange) });
  }
  if (aChange.mVersion > kMaxStoredChanges) {
    commit.mDeletes.push_back(
      { ChangeKey(aChange.mVersion - kMaxStoredChanges) });
  }
  return commit;
}

} // namespace

ConfigLog::ConfigLog()
  : mState(std::make_shared<const ConfigState>())
{
}

Result<bool> ConfigLog::Apply(std::span<const ConfigChange> aChanges)
{
  auto next = std::make_shared<ConfigState>(*mState);
  std::vector<ConfigChange> applied;
  for (const ConfigChange& change : aChanges) {
    if (change.mVersion <= next->mVersion) {
      continue;
    }
    if (change.mVersion != next->mVersion + 1) {
      return Error{ ErrorKind::Conflict,
                    "configuration version " +
                      std::to_string(next->mVersion + 1) + " is missing",
                    "fetch the changes after the local version" };
    }
    next->mVersion = change.mVersion;
    if (change.mDeleted) {
      next->mObjects.erase(change.mObject);
    } else {
      next->mObjects[change.mObject] = { change.mValue, change.mVersion };
    }
    applied.push_back(change);
  }
  if (applied.empty()) {
    return false;
  }
  mState = std::move(next);
  std::move(applied.begin(), applied.end(), std::back_inserter(mRecent));
  if (mRecent.size() > kMaxRecentChanges) {
    const auto excess =
      static_cast<std::ptrdiff_t>(mRecent.size() - kMaxRecentChanges);
    mRecent.erase(mRecent.begin(), mRecent.begin() + excess);
  }
  return true;
}

bool ConfigLog::Replace(ConfigState aState)
{
  if (aState.mVersion <= mState->mVersion) {
    return false;
  }
  mState = std::make_shared<const ConfigState>(std::move(aState));
  mRecent.clear();
  return true;
}

std::optional<std::vector<ConfigChange>> ConfigLog::ChangesAfter(
  int64_t aVersion) const
{
  if (aVersion >= Version()) {
    return std::vector<ConfigChange>();
  }
  if (mRecent.empty() || mRecent.front().mVersion > aVersion + 1) {
    return std::nullopt;
  }
  const auto skip =
    static_cast<std::ptrdiff_t>(aVersion + 1 - mRecent.front().mVersion);
  return std::vector<ConfigChange>(mRecent.begin() + skip, mRecent.end());
}

Awaitable<Result<ConfigChange>> WriteConfig(StoreCall aStore,
                                            ConfigWrite aWrite)
{
  // Version before the first attempt whose outcome is unknown.
  std::optional<int64_t> unresolvedSince;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto head = co_await ReadHead(aStore);
    if (head.has_error()) {
      co_return unresolvedSince ? UnresolvedWrite() : head.error();
    }
    if (unresolvedSince) {
      // A transaction whose reply was lost may still take effect, but only
      // while the head has the revision that it compares.
      auto found =
        co_await FindChange(aStore, *unresolvedSince, aWrite.mChangeId);
      if (found.has_error()) {
        co_return UnresolvedWrite();
      }
      if (found->has_value()) {
        co_return **found;
      }
    }
    auto object =
      co_await ReadObject(aStore, std::string(kObjectPrefix) + aWrite.mObject);
    if (object.has_error()) {
      co_return unresolvedSince ? UnresolvedWrite() : object.error();
    }
    if (!aWrite.mChangeId.empty() && object->mChangeId == aWrite.mChangeId) {
      co_return ConfigChange{ object->mVersion,
                              aWrite.mChangeId,
                              aWrite.mObject,
                              false,
                              object->mValue };
    }
    if (aWrite.mExpectedObjectVersion != kAnyVersion &&
        object->mVersion != aWrite.mExpectedObjectVersion) {
      // An earlier call with this change id may have stored the change, and
      // another change may have replaced it since, even between the reads
      // above.
      auto earlier = co_await FindChange(
        aStore, aWrite.mExpectedObjectVersion, aWrite.mChangeId);
      if (earlier.has_error()) {
        co_return UnresolvedWrite();
      }
      if (earlier->has_value()) {
        co_return **earlier;
      }
      co_return ObjectConflict(
        aWrite.mObject, object->mVersion, aWrite.mExpectedObjectVersion);
    }
    if (aWrite.mExpectedConfigVersion != kAnyVersion &&
        head->mVersion != aWrite.mExpectedConfigVersion) {
      co_return HeadConflict(head->mVersion, aWrite.mExpectedConfigVersion);
    }
    const ConfigChange change{ head->mVersion + 1,
                               aWrite.mChangeId,
                               aWrite.mObject,
                               aWrite.mDeleted,
                               aWrite.mValue };
    auto committed =
      co_await aStore(MakeTransaction(change, *head, object->mModRevision));
    if (committed.has_value() && committed->mSucceeded) {
      co_return change;
    }
    if (committed.has_error() &&
        committed.error().mKind == ErrorKind::OutcomeUnknown) {
      unresolvedSince = unresolvedSince.value_or(head->mVersion);
    } else if (committed.has_error()) {
      co_return unresolvedSince ? UnresolvedWrite() : committed.error();
    }
  }
  if (unresolvedSince) {
    co_return UnresolvedWrite();
  }
  co_return Error{ ErrorKind::Conflict,
                   "the configuration changed during each attempt to write it",
                   "repeat the call when fewer operators change it" };
}

Awaitable<Result<int64_t>> ReadConfigVersion(StoreCall aStore)
{
  auto head = co_await ReadHead(aStore);
  if (head.has_error()) {
    co_return head.error();
  }
  co_return head->mVersion;
}

Awaitable<Result<std::vector<ConfigChange>>> ReadConfigChanges(StoreCall aStore,
                                                               int64_t aVersion)
{
  StoreRequest request =
    RangeRequest{ ChangeKey(aVersion + 1), PrefixEnd(kChangePrefix), 0 };
  auto reply = co_await aStore(std::move(request));
  if (reply.has_error()) {
    co_return reply.error();
  }
  std::vector<ConfigChange> changes;
  for (const StoreEntry& entry : reply->mEntries) {
    auto change = Decode(entry.mValue);
    if (change.has_error()) {
      co_return change.error();
    }
    changes.push_back(std::move(*change));
  }
  co_return changes;
}

Awaitable<Result<ConfigState>> ReadConfigState(StoreCall aStore)
{
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto before = co_await ReadHead(aStore);
    if (before.has_error()) {
      co_return before.error();
    }
    auto objects = co_await ReadPrefix(aStore, std::string(kObjectPrefix));
    if (objects.has_error()) {
      co_return objects.error();
    }
    auto after = co_await ReadHead(aStore);
    if (after.has_error()) {
      co_return after.error();
    }
    if (before->mModRevision != after->mModRevision) {
      continue; // The configuration changed; the objects may mix versions.
    }
    ConfigState state;
    state.mVersion = after->mVersion;
    for (const StoreEntry& entry : objects->mEntries) {
      StoredObject object = ParseObject(entry);
      state.mObjects[entry.mKey.substr(kObjectPrefix.size())] = {
        std::move(object.mValue), object.mVersion
      };
    }
    co_return state;
  }
  co_return Error{ ErrorKind::Unavailable,
                   "the configuration changed during each attempt to read it",
                   "repeat the call when fewer operators change it" };
}

} // namespace agatetide::coordination
