#include "agatetide/daemon/keys.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/base/random.hpp"

namespace agatetide::daemon {

namespace {

constexpr std::string_view kPrefix = "ak_";
constexpr size_t kIdBytes = 8;
constexpr size_t kSecretBytes = 24;
constexpr size_t kSaltBytes = 16;

Error InvalidKey(std::string_view aReason)
{
  return {
    ErrorKind::Unauthenticated,
    "the key is " + std::string(aReason),
    "send a valid key in the authorization header, or ask an operator for one"
  };
}

std::string_view KeySecret(std::string_view aKey)
{
  const std::string_view id = KeyId(aKey);
  return id.empty() ? std::string_view()
                    : aKey.substr(kPrefix.size() + id.size() + 1);
}

} // namespace

GrantedKey GrantKey(const std::string& aAccount, int64_t aNowMs)
{
  GrantedKey granted;
  const std::string id = SecureHex(kIdBytes);
  const std::string secret = SecureHex(kSecretBytes);
  const std::string salt = SecureHex(kSaltBytes);
  granted.mText = std::string(kPrefix) + id + "_" + secret;
  granted.mRecord.set_id(id);
  granted.mRecord.set_account(aAccount);
  granted.mRecord.set_salt(salt);
  granted.mRecord.set_digest(Sha256(salt + secret));
  granted.mRecord.set_created_ms(aNowMs);
  return granted;
}

std::string_view BearerKey(std::string_view aAuthorization)
{
  constexpr std::string_view kBearer = "Bearer ";
  return aAuthorization.starts_with(kBearer)
           ? aAuthorization.substr(kBearer.size())
           : std::string_view();
}

std::string_view KeyId(std::string_view aKey)
{
  if (!aKey.starts_with(kPrefix)) {
    return {};
  }
  const size_t end = aKey.find('_', kPrefix.size());
  return end == std::string_view::npos
           ? std::string_view()
           : aKey.substr(kPrefix.size(), end - kPrefix.size());
}

Result<std::string> Authenticate(const ConfigSnapshot& aConfig,
                                 std::string_view aKey)
{
  if (aKey.empty()) {
    return InvalidKey("missing");
  }
  const auto found = aConfig.mKeys.find(KeyId(aKey));
  if (found == aConfig.mKeys.end()) {
    return InvalidKey("unknown");
  }
  const v1::Key& key = found->second;
  const std::string digest = Sha256(key.salt() + std::string(KeySecret(aKey)));
  if (!ConstantTimeEqual(digest, key.digest())) {
    return InvalidKey("unknown");
  }
  if (key.withdrawn()) {
    return InvalidKey("withdrawn");
  }
  if (!aConfig.mAccounts.contains(key.account())) {
    return InvalidKey("of a client account that no longer exists");
  }
  return key.account();
}

} // namespace agatetide::daemon
