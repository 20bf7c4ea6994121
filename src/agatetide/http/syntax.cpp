#include "agatetide/http/syntax.hpp"

#include <algorithm>

namespace agatetide::http {

namespace {

constexpr unsigned char kSpace = ' ';
constexpr unsigned char kDelete = 0x7f;
/// A name in an error message is cut to this length.
constexpr size_t kMaxQuotedBytes = 40;

bool IsAlphanumeric(unsigned char aChar)
{
  return (aChar >= '0' && aChar <= '9') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= 'a' && aChar <= 'z');
}

bool IsOneOf(char aChar, std::string_view aChars)
{
  return aChars.find(aChar) != std::string_view::npos;
}

template<class Predicate>
bool AllOf(std::string_view aText, Predicate aPredicate)
{
  return std::all_of(aText.begin(), aText.end(), aPredicate);
}

/// Makes a name that need not be valid readable in an error message.
std::string Quote(std::string_view aName)
{
  std::string text = "\"";
  for (const char character : aName.substr(0, kMaxQuotedBytes)) {
    const auto byte = static_cast<unsigned char>(character);
    text += byte < kSpace || byte >= kDelete ? '?' : character;
  }
  return text + '"';
}

} // namespace

bool IsToken(std::string_view aText)
{
  return !aText.empty() && AllOf(aText, [](char aChar) {
    return IsAlphanumeric(static_cast<unsigned char>(aChar)) ||
           IsOneOf(aChar, "!#$%&'*+-.^_`|~");
  });
}

bool IsHeaderValue(std::string_view aText)
{
  return AllOf(aText, [](char aChar) {
    const auto byte = static_cast<unsigned char>(aChar);
    return aChar == '\t' || (byte >= kSpace && byte != kDelete);
  });
}

bool IsTarget(std::string_view aText)
{
  return !aText.empty() && AllOf(aText, [](char aChar) {
    const auto byte = static_cast<unsigned char>(aChar);
    return byte > kSpace && byte != kDelete;
  });
}

bool IsPath(std::string_view aText)
{
  return aText.starts_with('/') && AllOf(aText, [](char aChar) {
           return IsAlphanumeric(static_cast<unsigned char>(aChar)) ||
                  IsOneOf(aChar, "-._~!$&'()*+,;=:@/?%");
         });
}

std::optional<std::string> FindInvalidPart(const Header& aHeader)
{
  if (!IsToken(aHeader.mName)) {
    return "the header name " + Quote(aHeader.mName) +
           " has characters that are not allowed in names";
  }
  if (!IsHeaderValue(aHeader.mValue)) {
    return "the value of the header " + Quote(aHeader.mName) +
           " has a control character";
  }
  return std::nullopt;
}

std::optional<std::string> FindInvalidPart(const Request& aRequest)
{
  if (!IsToken(aRequest.mMethod)) {
    return "the method " + Quote(aRequest.mMethod) + " is not a token";
  }
  if (!IsTarget(aRequest.mTarget)) {
    return "the target " + Quote(aRequest.mTarget) +
           " is empty or has a space or a control character";
  }
  for (const Header& header : aRequest.mHeaders) {
    if (auto reason = FindInvalidPart(header)) {
      return reason;
    }
  }
  return std::nullopt;
}

} // namespace agatetide::http
