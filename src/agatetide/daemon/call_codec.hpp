#pragma once

#include "agatetide/daemon/traffic.hpp"

#include <cstdint>
#include <string>

/// Calls and their outcomes as daemons send them to each other, and the hash
/// that identifies a call. Functions without state; thread-safe.
namespace agatetide::daemon {

/// @brief Hash of method and body. Identifies the request for quarantine and
/// tells whether a second request with the same id is the same request.
uint64_t ComputeFingerprint(const Call& aCall);

/// @brief Encodes a call as the body of a peer request and decodes it. The API
/// key is not sent, because the daemon that received the request checked it.
/// Errors of DecodeCall(): InvalidArgument.
std::string EncodeCall(const Call& aCall, TimePoint aNow);
Result<Call> DecodeCall(const std::string& aText, TimePoint aNow);

/// @brief Encodes an outcome as the body of a peer reply.
std::string EncodeOutcome(const Result<std::string>& aResult);

/// @brief Decodes what EncodeOutcome() returned. Errors: that of the outcome;
/// OutcomeLostError() if aBody is not a JSON object.
Result<std::string> DecodeOutcome(const std::string& aBody);

/// @brief The error of a request whose outcome cannot be obtained from the
/// daemon that admitted it.
Error OutcomeLostError();

} // namespace agatetide::daemon
