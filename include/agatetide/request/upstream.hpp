#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/clock.hpp"
#include "agatetide/base/error.hpp"
#include "agatetide/fleet/replica.hpp"
#include "agatetide/fleet/service_config.hpp"
#include "agatetide/http/client.hpp"
#include "agatetide/http/message.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatetide::request {

/// @brief Load of a replica as reported in a response.
struct ReportedLoad
{
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  uint32_t mSlots = 0;
  /// How long work takes there at the moment, relative to the usual time;
  /// std::nullopt if the replica does not report it.
  std::optional<double> mPace;
};

/// @brief What the header of a response says of its replica.
struct ReplicaReport
{
  /// Requests per second that the replica accepts from all hosts together;
  /// std::nullopt if it does not limit them.
  std::optional<double> mRequestLimit;
  /// When the request of the response was sent.
  TimePoint mSentAt{};
  /// The replica is leaving and takes no new requests.
  bool mDraining = false;
  /// std::nullopt if the header carries no load, or if another host received
  /// it and passed the report on.
  std::optional<ReportedLoad> mLoad;
};

/// @brief Receives the report of each response of the replica that a request
/// names.
using ReplicaReportSink = std::function<void(const ReplicaReport&)>;

/// @brief One attempt to run a request on a replica.
struct UpstreamRequest
{
  /// Request id from the caller; the same for all attempts.
  std::string mId;
  std::string mMethod = "POST";
  std::string mTarget = "/";
  /// The caller's headers without the hop-by-hop ones.
  std::vector<http::Header> mHeaders;
  SharedBytes mBody;
  /// Client account; empty on routes that need no key.
  std::string mAccount;
  /// The replica that must run the request; any other one refuses it.
  std::string mReplicaId;
  /// The replica stops working on the request then.
  TimePoint mDeadline{};
  /// Weight version that must run the request; std::nullopt allows any.
  std::optional<int64_t> mVersion;
  /// Opens a new connection. Set when the replica may already have responded
  /// to this id, since a reused connection may hold a late duplicate response;
  /// or when it must be known whether the request was sent, since a reused
  /// connection may already be closed by the replica.
  bool mFreshConnection = false;
  /// Uses only a connection that is open already. Set while this host cannot
  /// open any.
  bool mOpenConnectionOnly = false;
  /// Number of the last event received for the sample; the stream resumes
  /// after it. std::nullopt starts from the beginning.
  std::optional<uint32_t> mResumeAfter;
  /// Regions whose replicas may run the request, and whose hosts may get it;
  /// std::nullopt allows all. Not sent to the replica.
  std::optional<fleet::RegionSet> mAllowedRegions;
  /// Called when the header of the response has arrived. May be empty.
  ReplicaReportSink mOnReport;
};

/// @brief Where a stream began. Only replicas of the same service and software
/// version can continue it.
struct StreamOrigin
{
  std::string mService;
  std::string mSoftwareVersion;

  /// @brief Whether the replica can continue the stream.
  bool IsOf(const fleet::Replica& aReplica) const
  {
    return aReplica.mService == mService &&
           aReplica.mSoftwareVersion == mSoftwareVersion;
  }
  bool operator==(const StreamOrigin&) const = default;
};

struct UpstreamResponse
{
  unsigned mStatus = 0;
  std::vector<http::Header> mHeaders;
  SharedBytes mBody;
  /// The replica states that it did not run the request.
  bool mNotRun = false;
  /// The replica at this address has another id or weight version (status
  /// 421).
  bool mMisdirected = false;
  /// Signature of the response by the replica; empty if there is none.
  std::string mSignature;
  /// std::nullopt if the response carries no load.
  std::optional<ReportedLoad> mLoad;
  /// Service and software version of the replica; set by the forwarder.
  StreamOrigin mOrigin;

  bool IsSuccess() const { return mStatus >= 200 && mStatus < 300; }
};

/// @brief Sends one attempt and returns the complete response. Errors: those
/// of http::Client, and DataLoss for a response that is incomplete or belongs
/// to another request.
using UpstreamCall = std::function<Awaitable<Result<UpstreamResponse>>(
  http::Endpoint,
  UpstreamRequest,
  std::shared_ptr<http::CancelHandle>)>;

/// @brief One event of a streamed response.
struct StreamEvent
{
  /// Position in the sample, counted from 1.
  uint32_t mNumber = 0;
  std::string mData;
  /// Weight version from this event on; std::nullopt if it has not changed
  /// since the previous event.
  std::optional<int64_t> mVersion;
};

/// @brief Receives an event. Returns false to cancel the stream.
using EventSink = std::function<bool(StreamEvent)>;

struct StreamOptions
{
  std::shared_ptr<http::CancelHandle> mCancel;
  /// Maximum time without a complete event.
  Milliseconds mIdleTimeout{ 0 };
  EventSink mSink;
};

/// @brief Sends one attempt and passes each event to the sink as it arrives.
/// A successful response means that the stream is complete. Errors: as
/// UpstreamCall.
using UpstreamStreamCall =
  std::function<Awaitable<Result<UpstreamResponse>>(http::Endpoint,
                                                    UpstreamRequest,
                                                    StreamOptions)>;

} // namespace agatetide::request
