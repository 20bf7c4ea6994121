#pragma once

#include "agatetide/base/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace agatetide {

std::string HexEncode(std::string_view aBytes);

std::string Base64Encode(std::string_view aBytes);

/// @brief Errors: InvalidArgument when the text is not base64.
Result<std::string> Base64Decode(std::string_view aText);

/// @brief SHA-256 digest, 32 bytes.
std::string Sha256(std::string_view aBytes);

/// @brief HMAC-SHA-256, 32 bytes.
std::string HmacSha256(std::string_view aKey, std::string_view aBytes);

/// @brief Compares in time that depends only on the lengths.
bool ConstantTimeEqual(std::string_view aLeft, std::string_view aRight);

/// @brief xxHash64, for fingerprints and shards; not for secrets.
uint64_t Hash64(std::string_view aBytes, uint64_t aSeed = 0);

} // namespace agatetide
