#include "agatetide/base/encoding.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace agatetide {

namespace {

const unsigned char* Bytes(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

Error InvalidBase64()
{
  return { ErrorKind::InvalidArgument,
           "the text is not valid base64",
           "send standard base64 with padding" };
}

} // namespace

std::string HexEncode(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const char byte : aBytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> 4U];
    text += kDigits[value & 15U];
  }
  return text;
}

std::string Base64Encode(std::string_view aBytes)
{
  std::string text((aBytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    Bytes(aBytes),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<size_t>(length));
  return text;
}

Result<std::string> Base64Decode(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return InvalidBase64();
  }
  std::string bytes(aText.size() / 4 * 3, '\0');
  const int length =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    Bytes(aText),
                    static_cast<int>(aText.size()));
  if (length < 0) {
    return InvalidBase64();
  }
  size_t padding = 0;
  while (padding < 2 && padding < aText.size() &&
         aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<size_t>(length) - padding);
  return bytes;
}

std::string Sha256(std::string_view aBytes)
{
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(Bytes(aBytes),
         aBytes.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  return digest;
}

std::string HmacSha256(std::string_view aKey, std::string_view aBytes)
{
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  unsigned length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       Bytes(aBytes),
       aBytes.size(),
       reinterpret_cast<unsigned char*>(digest.data()),
       &length);
  return digest;
}

bool ConstantTimeEqual(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

uint64_t Hash64(std::string_view aBytes, uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace agatetide
