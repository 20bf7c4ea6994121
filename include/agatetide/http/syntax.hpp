#pragma once

#include "agatetide/http/message.hpp"

#include <optional>
#include <string_view>

namespace agatetide::http {

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
