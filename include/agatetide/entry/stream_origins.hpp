#pragma once

#include "agatetide/base/clock.hpp"
#include "agatetide/coordination/store.hpp"
#include "agatetide/entry/record_lease.hpp"
#include "agatetide/request/upstream.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace agatetide::entry {

/// @brief Keeps in the store where the streams of callers began, so that a
/// stream that breaks off can be continued by any daemon, also after all of
/// them were restarted.
///
/// Each HTTP host has a default origin, which is stored once. Only streams that
/// began elsewhere are stored one by one: a stream without an entry began at
/// the default origin. So nothing is written per stream while replicas of one
/// software version serve. A stream whose first request is not named can be
/// continued only while no stream of its HTTP host has an entry. Not
/// thread-safe: use it only on the executor of the
/// daemon.
class StreamOrigins
{
public:
  StreamOrigins(boost::asio::any_io_executor aExecutor,
                coordination::StoreCall aStore,
                Clock aClock);

  /// @brief Stores where a stream began. Call it before the first event is
  /// delivered. Writes of several streams go together. Errors: those of the
  /// store; the stream must not be delivered then. The value is always true.
  Awaitable<Result<bool>> Record(std::string aHttpHost,
                                 std::string aRequestId,
                                 request::StreamOrigin aOrigin);

  /// @brief Returns where the stream of this request began. If aRequestId is
  /// empty, returns the default origin unless streams began elsewhere in the
  /// last minutes. Errors: those of the store; NotFound if no stream of the
  /// HTTP host has begun; InvalidArgument if the request has to be named.
  Awaitable<Result<request::StreamOrigin>> Find(std::string aHttpHost,
                                                std::string aRequestId);

private:
  struct Write
  {
    explicit Write(const boost::asio::any_io_executor& aExecutor)
      : mTimer(aExecutor)
    {
    }

    std::string mHttpHost;
    std::string mKey;
    std::string mValue;
    std::optional<Result<bool>> mResult;
    /// Canceled when mResult is set.
    boost::asio::steady_timer mTimer;
  };
  using WritePtr = std::shared_ptr<Write>;

  Awaitable<Result<std::optional<request::StreamOrigin>>> ReadOrigin(
    std::string aKey);
  Awaitable<Result<request::StreamOrigin>> FindOrCreateDefault(
    std::string aHttpHost,
    request::StreamOrigin aOrigin);
  Awaitable<void> WriteLoop();
  Awaitable<Result<bool>> WriteBatch(std::vector<WritePtr> aWrites);
  coordination::TransactionRequest MakeTransaction(
    std::span<const WritePtr> aWrites,
    int64_t aLease) const;

  boost::asio::any_io_executor mExecutor;
  coordination::StoreCall mStore;
  /// Default origins by HTTP host; they never change.
  std::map<std::string, request::StreamOrigin, std::less<>> mDefaults;
  /// By HTTP host, the lease of the entry that says that streams began
  /// elsewhere.
  std::map<std::string, int64_t, std::less<>> mElsewhereLeases;
  std::deque<WritePtr> mWrites;
  bool mWriting = false;
  /// Streams are taken up soon after they broke off, so their entries are
  /// removed after a time.
  RecordLease mLease;
};

} // namespace agatetide::entry
