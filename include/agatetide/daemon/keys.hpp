#pragma once

#include "agatetide/daemon/config_snapshot.hpp"

#include <string>
#include <string_view>

namespace agatetide::daemon {

/// @brief A new API key and the record that is stored for it.
struct GrantedKey
{
  /// "ak_<id>_<secret>"; returned to the operator once and never stored.
  std::string mText;
  v1::Key mRecord;
};

/// @brief Creates a key for an account. aNowMs is the wall-clock time in Unix
/// milliseconds. Thread-safe.
GrantedKey GrantKey(const std::string& aAccount, int64_t aNowMs);

/// @brief Returns the key in the value "Bearer <key>" of an authorization
/// header; empty if there is none.
std::string_view BearerKey(std::string_view aAuthorization);

/// @brief Returns the id in a key; empty if the text is not a key.
std::string_view KeyId(std::string_view aKey);

/// @brief Returns the client account of a key.
/// Errors: Unauthenticated when the key is missing, unknown or withdrawn, or
/// its account does not exist.
Result<std::string> Authenticate(const ConfigSnapshot& aConfig,
                                 std::string_view aKey);

} // namespace agatetide::daemon
