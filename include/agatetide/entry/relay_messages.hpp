#pragma once

#include "agatetide/request/upstream.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace agatetide::entry {

/// @brief An attempt that another daemon should send.
struct RelayRequest
{
  http::Endpoint mReplica;
  /// mDeadline and mOnReport are not encoded.
  request::UpstreamRequest mRequest;
  Milliseconds mRemainingTime{ 0 };
  bool mIsStream = false;
  /// As request::StreamOptions::mIdleTimeout.
  Milliseconds mIdleTimeout{ 0 };
};

/// @brief One message of the daemon that sends the attempt. mDeclined or
/// mResult comes last, and exactly once.
struct RelayFrame
{
  /// What the header of the response says of the replica.
  std::optional<request::ReplicaReport> mReport;
  std::optional<request::StreamEvent> mEvent;
  /// The attempt was not sent, and why.
  std::optional<Error> mDeclined;
  std::optional<Result<request::UpstreamResponse>> mResult;
};

std::string Encode(const RelayRequest& aRequest);

/// @brief At least the number of bytes of Encode(aRequest).
size_t EncodedSizeLimit(const RelayRequest& aRequest);

/// @brief Errors: InvalidArgument if the bytes are malformed.
Result<RelayRequest> DecodeRelayRequest(std::string_view aBytes);

/// @brief Encodes a frame with its length in front.
std::string EncodeFrame(const RelayFrame& aFrame);

/// @brief Splits received bytes into frames. Not thread-safe.
class RelayFrameReader
{
public:
  using Sink = std::function<bool(RelayFrame)>;

  /// @brief An incomplete frame takes its memory from aBudget, which must not
  /// be null.
  RelayFrameReader(size_t aMaxFrameBytes, std::shared_ptr<MemoryBudget> aBudget)
    : mMaxFrameBytes(aMaxFrameBytes)
    , mBuffer(std::move(aBudget))
  {
  }

  /// @brief Passes each complete frame to aSink. Returns false if a frame is
  /// malformed, too long or does not fit into the budget, or if aSink returns
  /// false.
  bool Feed(std::string_view aBytes, const Sink& aSink);

private:
  size_t mMaxFrameBytes;
  BudgetedBuffer mBuffer;
};

} // namespace agatetide::entry
