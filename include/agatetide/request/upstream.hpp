#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/clock.hpp"
#include "agatetide/base/error.hpp"
#include "agatetide/http/client.hpp"
#include "agatetide/http/message.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatetide::request {

/// @brief One attempt of a request at one replica.
struct UpstreamRequest
{
  /// The caller's id of the request; all attempts carry the same one.
  std::string mId;
  std::string mMethod = "POST";
  std::string mTarget = "/";
  /// The caller's header without the fields that concern its connection.
  std::vector<http::Header> mHeaders;
  std::string mBody;
  /// Client account; empty on routes open to all.
  std::string mAccount;
  /// The replica that must run it; any other refuses.
  std::string mReplicaId;
  /// The replica stops work then.
  TimePoint mDeadline{};
  /// Weight version that must run it.
  std::optional<int64_t> mVersion;
  /// Set when the replica may have answered this id before, or when it must
  /// be known whether the request was sent: a kept connection may hold a late
  /// second answer, or be closed already.
  bool mFreshConnection = false;
  /// Number of the last event that the sample has.
  std::optional<uint32_t> mResumeAfter;
};

/// @brief Load that a replica told with an answer.
struct ReportedLoad
{
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  uint32_t mSlots = 0;
};

struct UpstreamResponse
{
  unsigned mStatus = 0;
  std::vector<http::Header> mHeaders;
  std::string mBody;
  /// The replica states that it has not run the request.
  bool mNotRun = false;
  /// The address belongs to another replica, or the version differs.
  bool mMisdirected = false;
  /// Signature of the replica; empty when the answer has none.
  std::string mSignature;
  std::optional<ReportedLoad> mLoad;

  bool Succeeded() const { return mStatus >= 200 && mStatus < 300; }
};

/// @brief Sends one attempt and returns the whole answer. Errors: those of
/// http::Client, and DataLoss for an answer that belongs to another request
/// or is not whole.
using UpstreamCall = std::function<Awaitable<Result<UpstreamResponse>>(
  http::Endpoint,
  UpstreamRequest,
  std::shared_ptr<http::AbortHandle>)>;

/// @brief One event of a streamed answer.
struct StreamEvent
{
  uint32_t mNumber = 0;
  std::string mData;
  /// Weight version from this event on; not set when it is the same as for
  /// the event before.
  std::optional<int64_t> mVersion;
};

/// @brief Takes an event; false ends the stream.
using EventSink = std::function<bool(StreamEvent)>;

struct StreamOptions
{
  std::shared_ptr<http::AbortHandle> mAbort;
  /// Longest time without a whole event.
  Milliseconds mIdleTimeout{ 0 };
  EventSink mSink;
};

/// @brief Sends one attempt and passes the events on as they arrive. A
/// successful answer means that the stream is complete.
using UpstreamStreamCall =
  std::function<Awaitable<Result<UpstreamResponse>>(http::Endpoint,
                                                    UpstreamRequest,
                                                    StreamOptions)>;

} // namespace agatetide::request
