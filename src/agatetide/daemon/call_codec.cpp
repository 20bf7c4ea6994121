#include "agatetide/daemon/call_codec.hpp"

#include "agatetide/base/encoding.hpp"

#include <nlohmann/json.hpp>

namespace agatetide::daemon {

using nlohmann::json;

namespace {

Error MalformedRequestError()
{
  return { ErrorKind::InvalidArgument, "malformed peer request", "" };
}

/// Replaces bytes that are not valid UTF-8.
std::string ToText(const json& aBody)
{
  return aBody.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

uint64_t ComputeFingerprint(const Call& aCall)
{
  return Hash64(aCall.mBody, Hash64(aCall.mMethod));
}

std::string EncodeCall(const Call& aCall, TimePoint aNow)
{
  const auto remaining =
    std::chrono::duration_cast<Milliseconds>(aCall.mDeadline - aNow);
  const json body = { { "id", Base64Encode(aCall.mRequestId) },
                      { "account", aCall.mAccount },
                      { "method", aCall.mMethod },
                      { "body", Base64Encode(aCall.mBody) },
                      { "protobuf", aCall.mProtobuf },
                      { "remaining_ms", remaining.count() } };
  return ToText(body);
}

Result<Call> DecodeCall(const std::string& aText, TimePoint aNow)
{
  const json body = json::parse(aText, nullptr, false);
  if (!body.is_object()) {
    return MalformedRequestError();
  }
  const auto id = Base64Decode(body.value("id", ""));
  const auto payload = Base64Decode(body.value("body", ""));
  if (id.has_error() || payload.has_error()) {
    return MalformedRequestError();
  }
  Call call;
  call.mRequestId = *id;
  call.mCallerChoseId = true;
  call.mAccount = body.value("account", "");
  call.mMethod = body.value("method", "");
  call.mBody = *payload;
  call.mProtobuf = body.value("protobuf", false);
  call.mStarted = aNow;
  call.mDeadline =
    aNow + Milliseconds(body.value("remaining_ms", int64_t{ 0 }));
  return call;
}

std::string EncodeOutcome(const Result<std::string>& aResult)
{
  json body;
  if (aResult.has_value()) {
    body["value"] = Base64Encode(*aResult);
  } else {
    body = { { "code", ErrorKindName(aResult.error().mKind) },
             { "message", aResult.error().mMessage },
             { "remedy", aResult.error().mRemedy },
             { "execution", ExecutionName(aResult.error().mExecution) } };
  }
  return ToText(body);
}

Result<std::string> DecodeOutcome(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return OutcomeLostError();
  }
  if (body.contains("value")) {
    return Base64Decode(body["value"].get_ref<const std::string&>());
  }
  return Error{ ErrorKindFromName(body.value("code", "")),
                body.value("message", ""),
                body.value("remedy", ""),
                ExecutionFromName(body.value("execution", "")) };
}

Error OutcomeLostError()
{
  return {
    ErrorKind::OutcomeUnknown,
    "the daemon that admitted this request cannot be reached or no longer "
    "has its outcome",
    "check whether the request took effect before sending it with a new "
    "request id",
    Execution::Unknown
  };
}

} // namespace agatetide::daemon
