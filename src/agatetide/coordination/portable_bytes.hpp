#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/coordination/input_archive.hpp"

#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <utility>

namespace agatetide::coordination {

/// @brief A stream buffer that appends to a string of its own, whose memory may
/// be reserved at once: a std::stringbuf doubles it while it grows.
class StringBuffer : public std::streambuf
{
public:
  explicit StringBuffer(size_t aReservedBytes)
  {
    mText.reserve(aReservedBytes);
  }

  /// @brief Hands over what was written.
  std::string Release() { return std::exchange(mText, {}); }

protected:
  std::streamsize xsputn(const char* aBytes, std::streamsize aCount) override
  {
    mText.append(aBytes, static_cast<size_t>(aCount));
    return aCount;
  }
  int_type overflow(int_type aByte) override
  {
    if (!traits_type::eq_int_type(aByte, traits_type::eof())) {
      mText += traits_type::to_char_type(aByte);
    }
    return traits_type::not_eof(aByte);
  }

private:
  std::string mText;
};

/// @brief Serialises a value in cereal's portable binary format. Memory for
/// aReservedBytes is reserved at once, which saves copies of large values.
template<class Value>
std::string EncodePortable(const Value& aValue, size_t aReservedBytes = 0)
{
  StringBuffer buffer(aReservedBytes);
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(aValue);
  return buffer.Release();
}

/// @brief Deserialises the output of EncodePortable(). Trailing bytes are an
/// error. Errors: aKind; aWhat names the value in the message.
template<class Value>
Result<Value> DecodePortable(std::string_view aBytes,
                             std::string_view aWhat,
                             ErrorKind aKind)
{
  std::string reason = "bytes follow its end";
  try {
    InputArchive archive(aBytes);
    Value value;
    archive(value);
    if (archive.AtEnd()) {
      return value;
    }
  } catch (const std::exception& error) {
    reason = error.what();
  }
  return Error{ aKind,
                std::string(aWhat) + " cannot be decoded: " + reason,
                "check that all daemons run the same version" };
}

} // namespace agatetide::coordination
