#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/coordination/input_archive.hpp"

#include <sstream>
#include <string>
#include <string_view>

namespace agatetide::coordination {

/// @brief Serialises a value in cereal's portable binary format.
template<class Value>
std::string EncodePortable(const Value& aValue)
{
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(aValue);
  }
  return std::move(stream).str();
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
