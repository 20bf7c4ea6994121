#pragma once

#include "agatetide/daemon/config_snapshot.hpp"

#include <string>
#include <string_view>

namespace agatetide::daemon {

/// @brief A new key and the record that is stored for it.
struct GrantedKey
{
  /// "ak_<id>_<secret>"; given to the operator once and never stored.
  std::string mText;
  v1::Key mRecord;
};

/// @brief Makes a key for an account. aNowMs is the wall clock.
GrantedKey GrantKey(const std::string& aAccount, int64_t aNowMs);

/// @brief The key in an authorization header value, or an empty view.
std::string_view BearerKey(std::string_view aAuthorization);

/// @brief The key id, or an empty view when the text is no key.
std::string_view KeyId(std::string_view aKey);

/// @brief The client account that a key names.
/// Errors: Unauthenticated when the key is missing, unknown or withdrawn.
Result<std::string> Authenticate(const ConfigSnapshot& aConfig,
                                 std::string_view aKey);

} // namespace agatetide::daemon
