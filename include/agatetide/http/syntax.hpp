#pragma once

#include "agatetide/http/message.hpp"

#include <optional>
#include <string_view>

namespace agatetide::http {

constexpr unsigned kFirstInterimStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kMaxStatus = 999;

/// @brief Whether a response with this status is followed by another one for
/// the same request (RFC 9110, section 15.2). Status 101 is not: it answers an
/// upgrade, which the client never asks for.
constexpr bool IsInterimStatus(unsigned aStatus)
{
  return aStatus >= kFirstInterimStatus && aStatus < kFirstFinalStatus &&
         aStatus != kSwitchingProtocols;
}

/// @brief Whether a response with this status can be the answer to a request.
/// Those from 600 on belong to no class, and count as failures of the server
/// (RFC 9110, section 15).
constexpr bool IsFinalStatus(unsigned aStatus)
{
  return aStatus >= kFirstFinalStatus && aStatus <= kMaxStatus;
}

/// @name Syntax of the parts of an HTTP/1.1 message (RFC 9110 and 9112)
/// Thread-safe.
/// @{

/// @brief Whether the text is a token, as methods and header names are.
bool IsToken(std::string_view aText);

/// @brief Whether the text can be a header value: it has no control character
/// but the tab. It may be empty.
bool IsHeaderValue(std::string_view aText);

/// @brief Whether the text is not empty and has neither spaces nor control
/// characters, which would end the target in the request line.
bool IsTarget(std::string_view aText);

/// @brief Whether the text is the path, with or without a query, of a URI: it
/// begins with a slash and has only the characters that RFC 3986 allows there.
bool IsPath(std::string_view aText);

/// @brief Returns the reason why the header cannot be sent as one field,
/// std::nullopt if it can.
std::optional<std::string> FindInvalidPart(const Header& aHeader);

/// @brief Returns the reason why the request cannot be sent as one message,
/// std::nullopt if it can.
std::optional<std::string> FindInvalidPart(const Request& aRequest);

/// @}

} // namespace agatetide::http
