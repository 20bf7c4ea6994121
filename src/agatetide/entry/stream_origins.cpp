#include "agatetide/entry/stream_origins.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <set>

namespace agatetide::entry {

namespace asio = boost::asio;
using namespace coordination;
using nlohmann::json;
using request::StreamOrigin;

namespace {

constexpr std::string_view kStreamPrefix = "agatetide/stream/";
constexpr std::string_view kDefaultPrefix = "agatetide/stream-default/";
/// Entries for HTTP hosts of which streams began elsewhere.
constexpr std::string_view kElsewherePrefix = "agatetide/stream-elsewhere/";
/// Half of the store's limit for the writes of a transaction, since each stream
/// may need another one for its HTTP host.
constexpr size_t kMaxBatch = 16;
constexpr int kMaxAttempts = 3;

std::string StreamKey(std::string_view aRequestId)
{
  return std::string(kStreamPrefix) + std::string(aRequestId);
}

std::string ElsewhereKey(std::string_view aHttpHost)
{
  return std::string(kElsewherePrefix) + std::to_string(Hash64(aHttpHost));
}

std::string DefaultKey(std::string_view aHttpHost)
{
  return std::string(kDefaultPrefix) + std::to_string(Hash64(aHttpHost));
}

std::string Encode(const StreamOrigin& aOrigin)
{
  return json{
    { "service", aOrigin.mService },
    { "software_version", aOrigin.mSoftwareVersion }
  }.dump();
}

Result<StreamOrigin> Decode(const StoreEntry& aEntry)
{
  const json value = json::parse(aEntry.mValue, nullptr, false);
  const auto text = [&](const char* aName) -> std::optional<std::string> {
    const auto found = value.is_object() ? value.find(aName) : value.end();
    return found != value.end() && found->is_string()
             ? std::optional(found->get<std::string>())
             : std::nullopt;
  };
  const auto service = text("service");
  const auto version = text("software_version");
  if (!service || !version) {
    return Error{ ErrorKind::DataLoss,
                  aEntry.mKey + " cannot be decoded",
                  "check that all daemons run the same version" };
  }
  return StreamOrigin{ *service, *version };
}

Error Unwritten()
{
  return { ErrorKind::Unavailable,
           "the origin of the stream could not be stored",
           "start the stream again" };
}

} // namespace

StreamOrigins::StreamOrigins(asio::any_io_executor aExecutor,
                             StoreCall aStore,
                             Clock aClock)
  : mExecutor(std::move(aExecutor))
  , mStore(aStore)
  , mLease({}, std::move(aStore), std::move(aClock))
{
}

Awaitable<Result<std::optional<StreamOrigin>>> StreamOrigins::ReadOrigin(
  std::string aKey)
{
  const auto entry = co_await ReadKey(mStore, std::move(aKey));
  if (entry.has_error()) {
    co_return entry.error();
  }
  if (!entry->has_value()) {
    co_return std::optional<StreamOrigin>();
  }
  auto origin = Decode(**entry);
  if (origin.has_error()) {
    co_return origin.error();
  }
  co_return std::optional(std::move(*origin));
}

Awaitable<Result<StreamOrigin>> StreamOrigins::Find(std::string aHttpHost,
                                                    std::string aRequestId)
{
  if (!aRequestId.empty()) {
    auto own = co_await ReadOrigin(StreamKey(aRequestId));
    if (own.has_error()) {
      co_return own.error();
    }
    if (own->has_value()) {
      co_return std::move(**own);
    }
  } else {
    const auto elsewhere = co_await ReadKey(mStore, ElsewhereKey(aHttpHost));
    if (elsewhere.has_error()) {
      co_return elsewhere.error();
    }
    if (elsewhere->has_value()) {
      co_return Error{ ErrorKind::InvalidArgument,
                       "streams of several software versions have begun, and "
                       "the request does not name the one that started it",
                       "name that request, or start the stream again" };
    }
  }
  if (const auto known = mDefaults.find(aHttpHost); known != mDefaults.end()) {
    co_return known->second;
  }
  auto byDefault = co_await ReadOrigin(DefaultKey(aHttpHost));
  if (byDefault.has_error()) {
    co_return byDefault.error();
  }
  if (!byDefault->has_value()) {
    co_return Error{ ErrorKind::NotFound,
                     "no stream is known that could be continued",
                     "start the stream again" };
  }
  mDefaults[aHttpHost] = **byDefault;
  co_return std::move(**byDefault);
}

/// Returns the default origin; the first stream of the HTTP host sets it.
Awaitable<Result<StreamOrigin>> StreamOrigins::FindOrCreateDefault(
  std::string aHttpHost,
  StreamOrigin aOrigin)
{
  const std::string key = DefaultKey(aHttpHost);
  Error error = Unwritten();
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (const auto known = mDefaults.find(aHttpHost);
        known != mDefaults.end()) {
      co_return known->second;
    }
    auto stored = co_await ReadOrigin(key);
    if (stored.has_error()) {
      co_return stored.error();
    }
    if (stored->has_value()) {
      mDefaults[aHttpHost] = **stored;
      continue;
    }
    // Read again afterwards: another daemon may have been first, and the reply
    // may be lost.
    TransactionRequest create;
    create.mCompares.push_back({ key, 0 });
    create.mPuts.push_back({ key, Encode(aOrigin) });
    StoreRequest request = std::move(create);
    const auto created = co_await mStore(std::move(request));
    if (created.has_error()) {
      error = created.error();
    }
  }
  co_return error;
}

Awaitable<Result<bool>> StreamOrigins::Record(std::string aHttpHost,
                                              std::string aRequestId,
                                              StreamOrigin aOrigin)
{
  const auto byDefault = co_await FindOrCreateDefault(aHttpHost, aOrigin);
  if (byDefault.has_error()) {
    co_return byDefault.error();
  }
  if (*byDefault == aOrigin) {
    co_return true;
  }
  const auto write = std::make_shared<Write>(mExecutor);
  write->mHttpHost = std::move(aHttpHost);
  write->mKey = StreamKey(aRequestId);
  write->mValue = Encode(aOrigin);
  write->mTimer.expires_at(TimePoint::max());
  mWrites.push_back(write);
  if (!mWriting) {
    mWriting = true;
    asio::co_spawn(mExecutor, WriteLoop(), LogFailure("write_loop"));
  }
  while (!write->mResult) {
    boost::system::error_code ignored;
    co_await write->mTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return std::move(*write->mResult);
}

/// Writes waiting entries, one transaction at a time.
Awaitable<void> StreamOrigins::WriteLoop()
{
  while (!mWrites.empty()) {
    std::vector<WritePtr> batch;
    while (!mWrites.empty() && batch.size() < kMaxBatch) {
      batch.push_back(std::move(mWrites.front()));
      mWrites.pop_front();
    }
    const Result<bool> result = co_await WriteBatch(batch);
    for (const WritePtr& write : batch) {
      write->mResult = result;
      write->mTimer.cancel();
    }
  }
  mWriting = false;
}

/// Also marks the HTTP hosts of the streams, with an entry that lives as long
/// as those of the streams.
TransactionRequest StreamOrigins::MakeTransaction(
  std::span<const WritePtr> aWrites,
  int64_t aLease) const
{
  TransactionRequest transaction;
  std::set<std::string_view> marked;
  for (const WritePtr& write : aWrites) {
    transaction.mPuts.push_back({ write->mKey, write->mValue, aLease });
    const auto lease = mElsewhereLeases.find(write->mHttpHost);
    const bool isMarked =
      lease != mElsewhereLeases.end() && lease->second == aLease;
    if (!isMarked && marked.insert(write->mHttpHost).second) {
      transaction.mPuts.push_back(
        { ElsewhereKey(write->mHttpHost), "{}", aLease });
    }
  }
  return transaction;
}

/// Repeats a write whose outcome is unknown, since its content is the same.
Awaitable<Result<bool>> StreamOrigins::WriteBatch(std::vector<WritePtr> aWrites)
{
  Error error = Unwritten();
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto lease = co_await mLease.Acquire();
    if (lease.has_error()) {
      error = lease.error();
      continue;
    }
    StoreRequest request = MakeTransaction(aWrites, *lease);
    const auto written = co_await mStore(std::move(request));
    if (written.has_value() && written->mSucceeded) {
      for (const WritePtr& write : aWrites) {
        mElsewhereLeases[write->mHttpHost] = *lease;
      }
      co_return true;
    }
    if (written.has_error()) {
      error = written.error();
    } else {
      mLease.Forget();
    }
  }
  co_return error;
}

} // namespace agatetide::entry
