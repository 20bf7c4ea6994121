#pragma once

#include "agatetide/base/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace agatetide {

/// @brief Lower-case hexadecimal digits, two for each byte.
std::string HexEncode(std::string_view aBytes);

/// @brief Standard base64 with padding.
std::string Base64Encode(std::string_view aBytes);

/// @brief Decodes standard base64 with padding.
/// Errors: InvalidArgument when the text is not valid base64.
Result<std::string> Base64Decode(std::string_view aText);

/// @brief Decodes standard base64 with padding that arrives in pieces, so that
/// the whole text need not be in memory. Not thread-safe.
class Base64Decoder
{
public:
  /// @brief Decodes the next piece.
  void Add(std::string_view aPiece);

  /// @brief Returns what was decoded, and begins a new text. Errors:
  /// InvalidArgument when the text is not valid base64; white space is not.
  Result<std::string> Finish();

private:
  void DecodeGroups(std::string_view aText);

  std::string mBytes;
  /// The beginning of a group of four characters.
  std::string mRest;
  /// Padding has ended the text.
  bool mEnded = false;
  bool mInvalid = false;
};

/// @brief SHA-256 digest, 32 bytes.
std::string Sha256(std::string_view aBytes);

/// @brief HMAC-SHA-256, 32 bytes.
std::string HmacSha256(std::string_view aKey, std::string_view aBytes);

/// @brief Compares two byte strings in a time that depends only on their
/// lengths, so that the time reveals nothing about a secret.
bool ConstantTimeEqual(std::string_view aLeft, std::string_view aRight);

/// @brief xxHash64 for fingerprints and sharding. Not cryptographic.
uint64_t Hash64(std::string_view aBytes, uint64_t aSeed = 0);

} // namespace agatetide
