#include "agatetide/clients/engine_client.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace agatetide::clients {

using nlohmann::json;

namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEndMarker = "[DONE]";

Error InvalidResponse(std::string_view aReason)
{
  return { ErrorKind::DataLoss,
           "invalid response from the upstream: " + std::string(aReason),
           "the request may have run; repeat it only if it is idempotent",
           Execution::Unknown };
}

/// Parses a stream of server-sent events and appends their data to a
/// completion.
class EventReader
{
public:
  EventReader(Completion& aCompletion, std::string aRequestId)
    : mCompletion(aCompletion)
    , mRequestId(std::move(aRequestId))
  {
  }

  /// Returns false if the stream is invalid; Failure() returns the reason.
  bool Feed(std::string_view aPiece)
  {
    mPending += aPiece;
    size_t end = mPending.find('\n');
    while (end != std::string::npos && mFailure.empty()) {
      ParseLine(std::string_view(mPending).substr(0, end));
      mPending.erase(0, end + 1);
      end = mPending.find('\n');
    }
    return mFailure.empty();
  }

  const std::string& Failure() const { return mFailure; }
  size_t EventCount() const { return mEventCount; }

private:
  void ParseLine(std::string_view aLine)
  {
    if (!aLine.starts_with(kDataPrefix)) {
      return;
    }
    const std::string_view data = aLine.substr(kDataPrefix.size());
    if (data == kEndMarker) {
      mCompletion.mFinished = true;
      return;
    }
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices") ||
        !event["choices"].is_array() || event["choices"].empty()) {
      mFailure = "malformed event";
      return;
    }
    if (event.value("id", "") != mRequestId) {
      mFailure = "an event belongs to another request";
      return;
    }
    ApplyEvent(event);
  }

  void ApplyEvent(const json& aEvent)
  {
    ++mEventCount;
    mCompletion.mText += aEvent["choices"][0].value("text", "");
    mCompletion.mTokens += aEvent.value("tokens", 1U);
    const uint64_t version = aEvent.value("weight_version", uint64_t{ 0 });
    auto& versions = mCompletion.mWeightVersions;
    if (std::find(versions.begin(), versions.end(), version) ==
        versions.end()) {
      versions.push_back(version);
    }
  }

  Completion& mCompletion;
  std::string mRequestId;
  std::string mPending;
  std::string mFailure;
  size_t mEventCount = 0;
};

http::Request JsonPost(std::string aTarget, const json& aBody)
{
  http::Request request;
  request.mTarget = std::move(aTarget);
  request.mHeaders.push_back({ "content-type", "application/json" });
  request.mBody = aBody.dump(-1, ' ', false, json::error_handler_t::replace);
  return request;
}

json EncodeCompletionRequest(const CompletionRequest& aRequest)
{
  json body = { { "model", aRequest.mModel },
                { "prompt", aRequest.mPrompt },
                { "max_tokens", aRequest.mMaxTokens },
                { "stream", true },
                { "priority", aRequest.mPriority },
                { "request_id", aRequest.mRequestId },
                { "seed", aRequest.mSeed } };
  if (aRequest.mResumeTokens > 0) {
    body["resume_text"] = aRequest.mResumeText;
    body["resume_tokens"] = aRequest.mResumeTokens;
  }
  return body;
}

Error FailureStatus(const http::Response& aResponse)
{
  // An engine that responds with 429 or 503 has not started the request.
  const bool notRun = aResponse.mStatus == 429 || aResponse.mStatus == 503;
  return { notRun ? ErrorKind::Unavailable : ErrorKind::Internal,
           "the upstream responded with HTTP status " +
             std::to_string(aResponse.mStatus),
           "use another upstream",
           notRun ? Execution::NotRun : Execution::Unknown };
}

} // namespace

Awaitable<Result<bool>> StreamCompletion(
  http::Client& aClient,
  http::Endpoint aEngine,
  CompletionRequest aRequest,
  std::chrono::steady_clock::time_point aDeadline,
  Completion& aCompletion,
  std::function<bool()> aShouldContinue)
{
  EventReader reader(aCompletion, aRequest.mRequestId);
  http::CallOptions options;
  options.mDeadline = aDeadline;
  options.mIdleTimeout = aRequest.mIdleTimeout;
  options.mCancel = aRequest.mCancel;
  const http::BodySink sink = [&](std::string_view aPiece) {
    const size_t before = reader.EventCount();
    if (!reader.Feed(aPiece) || !aShouldContinue()) {
      return http::BodySinkResult::Cancel;
    }
    return reader.EventCount() > before ? http::BodySinkResult::Progress
                                        : http::BodySinkResult::NoProgress;
  };
  auto response = co_await aClient.Stream(
    std::move(aEngine),
    JsonPost("/v1/completions", EncodeCompletionRequest(aRequest)),
    options,
    sink);
  if (!reader.Failure().empty()) {
    co_return InvalidResponse(reader.Failure());
  }
  if (response.has_error()) {
    co_return response.error();
  }
  if (response->mStatus != 200) {
    co_return FailureStatus(*response);
  }
  if (!aCompletion.mFinished) {
    co_return InvalidResponse("the end marker is missing");
  }
  co_return true;
}

Awaitable<Result<ReplicaLoad>> ReadLoad(
  http::Client& aClient,
  http::Endpoint aUpstream,
  std::chrono::steady_clock::time_point aDeadline)
{
  http::Request request;
  request.mMethod = "GET";
  request.mTarget = "/load";
  auto response = co_await aClient.Call(
    std::move(aUpstream), std::move(request), { aDeadline });
  if (response.has_error()) {
    co_return response.error();
  }
  if (response->mStatus != 200) {
    co_return FailureStatus(*response);
  }
  const json body = json::parse(response->mBody, nullptr, false);
  if (!body.is_object()) {
    co_return InvalidResponse("the load report is not a JSON object");
  }
  co_return ReplicaLoad{ body.value("running", 0U),
                         body.value("queued", 0U),
                         body.value("weight_version", uint64_t{ 0 }),
                         body.value("leaving", false) };
}

Awaitable<Result<bool>> LoadWeights(
  http::Client& aClient,
  http::Endpoint aEngine,
  WeightLoad aLoad,
  std::chrono::steady_clock::time_point aDeadline)
{
  const json body = { { "model", aLoad.mModel },
                      { "version", aLoad.mVersion },
                      { "uri", aLoad.mUri },
                      { "fencing_number", aLoad.mFencingToken } };
  auto response = co_await aClient.Call(
    std::move(aEngine), JsonPost("/v1/weights", body), { aDeadline });
  if (response.has_error()) {
    co_return response.error();
  }
  if (response->mStatus != 200) {
    co_return FailureStatus(*response);
  }
  co_return true;
}

} // namespace agatetide::clients
