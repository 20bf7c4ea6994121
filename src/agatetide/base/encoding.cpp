#include "agatetide/base/encoding.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>

namespace agatetide {

namespace {

const unsigned char* Bytes(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

/// Each group of four characters of base64 stands for three bytes.
constexpr size_t kGroupChars = 4;
constexpr size_t kGroupBytes = 3;
constexpr size_t kMaxPadding = 2;

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

/// Decodes whole groups of four characters. Padding ends the last one.
void Base64Decoder::DecodeGroups(std::string_view aText)
{
  const size_t padding =
    aText.size() - std::min(aText.size(), aText.find_last_not_of('=') + 1);
  const bool isEarly =
    aText.substr(0, aText.size() - padding).find('=') != std::string_view::npos;
  const size_t before = mBytes.size();
  mBytes.resize(before + aText.size() / kGroupChars * kGroupBytes);
  const int length =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(mBytes.data()) + before,
                    Bytes(aText),
                    static_cast<int>(aText.size()));
  mInvalid = mInvalid || mEnded || isEarly || padding > kMaxPadding ||
             length != static_cast<int>(mBytes.size() - before);
  mEnded = padding > 0;
  mBytes.resize(mBytes.size() - std::min(padding, kMaxPadding));
}

void Base64Decoder::Add(std::string_view aPiece)
{
  if (!mRest.empty()) {
    const size_t missing = std::min(kGroupChars - mRest.size(), aPiece.size());
    mRest.append(aPiece.substr(0, missing));
    aPiece.remove_prefix(missing);
    if (mRest.size() < kGroupChars) {
      return;
    }
    DecodeGroups(mRest);
    mRest.clear();
  }
  const size_t whole = aPiece.size() / kGroupChars * kGroupChars;
  if (whole > 0) {
    DecodeGroups(aPiece.substr(0, whole));
  }
  mRest.append(aPiece.substr(whole));
}

Result<std::string> Base64Decoder::Finish()
{
  const bool isValid = !mInvalid && mRest.empty();
  std::string bytes = std::move(mBytes);
  *this = Base64Decoder();
  if (!isValid) {
    return InvalidBase64();
  }
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
