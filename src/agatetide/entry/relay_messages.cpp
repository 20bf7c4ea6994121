#include "agatetide/entry/relay_messages.hpp"

#include "agatetide/coordination/portable_bytes.hpp"
#include "agatetide/coordination/shared_bytes_archive.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace agatetide::http {

template<class Archive>
void serialize(Archive& aArchive, Header& aHeader)
{
  aArchive(aHeader.mName, aHeader.mValue);
}

template<class Archive>
void serialize(Archive& aArchive, Endpoint& aEndpoint)
{
  aArchive(aEndpoint.mAddress, aEndpoint.mPort);
}

} // namespace agatetide::http

namespace agatetide::entry {

using coordination::DecodePortable;
using coordination::EncodePortable;
using request::UpstreamRequest;
using request::UpstreamResponse;

namespace {

constexpr size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

/// An optional value as cereal reads and writes it.
template<class Value>
struct Optional
{
  bool mPresent = false;
  Value mValue{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPresent, mValue);
  }

  std::optional<Value> Release()
  {
    return mPresent ? std::optional(std::move(mValue)) : std::nullopt;
  }
};

template<class Value>
Optional<Value> Wrap(const std::optional<Value>& aValue)
{
  return { aValue.has_value(), aValue.value_or(Value{}) };
}

struct WireRequest
{
  http::Endpoint mReplica;
  std::string mId;
  std::string mMethod;
  std::string mTarget;
  std::vector<http::Header> mHeaders;
  SharedBytes mBody;
  std::string mAccount;
  std::string mReplicaId;
  Optional<int64_t> mVersion;
  bool mFreshConnection = false;
  Optional<uint32_t> mResumeAfter;
  int64_t mRemainingMs = 0;
  bool mIsStream = false;
  int64_t mIdleTimeoutMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mReplica, mId, mMethod, mTarget, mHeaders, mBody, mAccount);
    aArchive(mReplicaId, mVersion, mFreshConnection, mResumeAfter);
    aArchive(mRemainingMs, mIsStream, mIdleTimeoutMs);
  }
};

struct WireReport
{
  Optional<double> mRequestLimit;
  bool mDraining = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRequestLimit, mDraining);
  }
};

struct WireEvent
{
  uint32_t mNumber = 0;
  std::string mData;
  Optional<int64_t> mVersion;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mData, mVersion);
  }
};

struct WireError
{
  std::string mKind;
  std::string mMessage;
  std::string mRemedy;
  std::string mExecution;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKind, mMessage, mRemedy, mExecution);
  }
};

struct WireLoad
{
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  uint32_t mSlots = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRunning, mQueued, mSlots);
  }
};

struct WireResponse
{
  unsigned mStatus = 0;
  std::vector<http::Header> mHeaders;
  SharedBytes mBody;
  bool mNotRun = false;
  bool mMisdirected = false;
  std::string mSignature;
  Optional<WireLoad> mLoad;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mStatus, mHeaders, mBody, mNotRun, mMisdirected, mSignature);
    aArchive(mLoad);
  }
};

struct WireFrame
{
  Optional<WireReport> mReport;
  Optional<WireEvent> mEvent;
  Optional<WireError> mDeclined;
  Optional<WireError> mError;
  Optional<WireResponse> mResponse;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mReport, mEvent, mDeclined, mError, mResponse);
  }
};

WireError ToWire(const Error& aError)
{
  return { std::string(ErrorKindName(aError.mKind)),
           aError.mMessage,
           aError.mRemedy,
           std::string(ExecutionName(aError.mExecution)) };
}

Error FromWire(WireError aError)
{
  return { ErrorKindFromName(aError.mKind),
           std::move(aError.mMessage),
           std::move(aError.mRemedy),
           ExecutionFromName(aError.mExecution) };
}

WireResponse ToWire(const UpstreamResponse& aResponse)
{
  WireResponse wire{ aResponse.mStatus,
                     aResponse.mHeaders,
                     aResponse.mBody,
                     aResponse.mNotRun,
                     aResponse.mMisdirected,
                     aResponse.mSignature,
                     {} };
  if (aResponse.mLoad) {
    wire.mLoad = { true,
                   { aResponse.mLoad->mRunning,
                     aResponse.mLoad->mQueued,
                     aResponse.mLoad->mSlots } };
  }
  return wire;
}

UpstreamResponse FromWire(WireResponse aResponse)
{
  UpstreamResponse response;
  response.mStatus = aResponse.mStatus;
  response.mHeaders = std::move(aResponse.mHeaders);
  response.mBody = std::move(aResponse.mBody);
  response.mNotRun = aResponse.mNotRun;
  response.mMisdirected = aResponse.mMisdirected;
  response.mSignature = std::move(aResponse.mSignature);
  if (aResponse.mLoad.mPresent) {
    const WireLoad& load = aResponse.mLoad.mValue;
    response.mLoad = { load.mRunning, load.mQueued, load.mSlots };
  }
  return response;
}

RelayFrame FromWire(WireFrame aFrame)
{
  RelayFrame frame;
  if (aFrame.mReport.mPresent) {
    frame.mReport.emplace();
    frame.mReport->mRequestLimit =
      aFrame.mReport.mValue.mRequestLimit.Release();
    frame.mReport->mDraining = aFrame.mReport.mValue.mDraining;
  }
  if (aFrame.mEvent.mPresent) {
    WireEvent& event = aFrame.mEvent.mValue;
    frame.mEvent = { event.mNumber,
                     std::move(event.mData),
                     event.mVersion.Release() };
  }
  if (aFrame.mDeclined.mPresent) {
    frame.mDeclined = FromWire(std::move(aFrame.mDeclined.mValue));
  }
  if (aFrame.mError.mPresent) {
    frame.mResult = FromWire(std::move(aFrame.mError.mValue));
  }
  if (aFrame.mResponse.mPresent) {
    frame.mResult = FromWire(std::move(aFrame.mResponse.mValue));
  }
  return frame;
}

} // namespace

size_t EncodedSizeLimit(const RelayRequest& aRequest)
{
  constexpr size_t kHeadBytes = 1024;
  constexpr size_t kLineBytes = 16;
  const UpstreamRequest& request = aRequest.mRequest;
  size_t bytes = kHeadBytes + request.mTarget.size() + request.mBody.size();
  for (const http::Header& header : request.mHeaders) {
    bytes += header.mName.size() + header.mValue.size() + kLineBytes;
  }
  return bytes;
}

std::string Encode(const RelayRequest& aRequest)
{
  const UpstreamRequest& request = aRequest.mRequest;
  const WireRequest wire{ aRequest.mReplica,
                          request.mId,
                          request.mMethod,
                          request.mTarget,
                          request.mHeaders,
                          request.mBody,
                          request.mAccount,
                          request.mReplicaId,
                          Wrap(request.mVersion),
                          request.mFreshConnection,
                          Wrap(request.mResumeAfter),
                          aRequest.mRemainingTime.count(),
                          aRequest.mIsStream,
                          aRequest.mIdleTimeout.count() };
  return EncodePortable(wire, EncodedSizeLimit(aRequest));
}

Result<RelayRequest> DecodeRelayRequest(std::string_view aBytes)
{
  auto wire = DecodePortable<WireRequest>(
    aBytes, "a request that another daemon relays", ErrorKind::InvalidArgument);
  if (wire.has_error()) {
    return wire.error();
  }
  RelayRequest request;
  request.mReplica = std::move(wire->mReplica);
  request.mRequest.mId = std::move(wire->mId);
  request.mRequest.mMethod = std::move(wire->mMethod);
  request.mRequest.mTarget = std::move(wire->mTarget);
  request.mRequest.mHeaders = std::move(wire->mHeaders);
  request.mRequest.mBody = std::move(wire->mBody);
  request.mRequest.mAccount = std::move(wire->mAccount);
  request.mRequest.mReplicaId = std::move(wire->mReplicaId);
  request.mRequest.mVersion = wire->mVersion.Release();
  request.mRequest.mFreshConnection = wire->mFreshConnection;
  request.mRequest.mResumeAfter = wire->mResumeAfter.Release();
  request.mRemainingTime = Milliseconds(wire->mRemainingMs);
  request.mIsStream = wire->mIsStream;
  request.mIdleTimeout = Milliseconds(wire->mIdleTimeoutMs);
  return request;
}

std::string EncodeFrame(const RelayFrame& aFrame)
{
  WireFrame wire;
  if (aFrame.mReport) {
    wire.mReport = {
      true, { Wrap(aFrame.mReport->mRequestLimit), aFrame.mReport->mDraining }
    };
  }
  if (aFrame.mEvent) {
    wire.mEvent = { true,
                    { aFrame.mEvent->mNumber,
                      aFrame.mEvent->mData,
                      Wrap(aFrame.mEvent->mVersion) } };
  }
  if (aFrame.mDeclined) {
    wire.mDeclined = { true, ToWire(*aFrame.mDeclined) };
  }
  if (aFrame.mResult && aFrame.mResult->has_error()) {
    wire.mError = { true, ToWire(aFrame.mResult->error()) };
  }
  if (aFrame.mResult && aFrame.mResult->has_value()) {
    wire.mResponse = { true, ToWire(**aFrame.mResult) };
  }
  const std::string bytes = EncodePortable(wire);
  std::string frame;
  for (size_t i = kLengthBytes; i > 0; --i) {
    frame.push_back(
      static_cast<char>(bytes.size() >> (kBitsPerByte * (i - 1))));
  }
  return frame + bytes;
}

bool RelayFrameReader::Feed(std::string_view aBytes, const Sink& aSink)
{
  if (!mBuffer.Append(aBytes)) {
    return false;
  }
  while (mBuffer.View().size() >= kLengthBytes) {
    const std::string_view bytes = mBuffer.View();
    size_t length = 0;
    for (size_t i = 0; i < kLengthBytes; ++i) {
      length = (length << kBitsPerByte) | static_cast<unsigned char>(bytes[i]);
    }
    if (length > mMaxFrameBytes) {
      return false;
    }
    if (bytes.size() < kLengthBytes + length) {
      return true;
    }
    auto wire = DecodePortable<WireFrame>(bytes.substr(kLengthBytes, length),
                                          "a message about a relayed request",
                                          ErrorKind::InvalidArgument);
    mBuffer.Consume(kLengthBytes + length);
    if (wire.has_error() || !aSink(FromWire(std::move(*wire)))) {
      return false;
    }
  }
  return true;
}

} // namespace agatetide::entry
