#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/coordination/input_archive.hpp"

#include <sstream>
#include <string>
#include <string_view>

namespace agatetide::coordination {

/// @brief A value in cereal's portable binary form.
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

/// @brief Reads what EncodePortable() wrote. Bytes beyond the value are
/// refused. Errors: aKind, with aWhat as the subject.
template<class Value>
Result<Value> DecodePortable(std::string_view aBytes,
                             std::string_view aWhat,
                             ErrorKind aKind)
{
  std::string why = "bytes are left over";
  try {
    InputArchive archive(aBytes);
    Value value;
    archive(value);
    if (archive.AtEnd()) {
      return value;
    }
  } catch (const std::exception& error) {
    why = error.what();
  }
  return Error{ aKind,
                std::string(aWhat) + " cannot be read: " + why,
                "check that all daemons run the same version" };
}

} // namespace agatetide::coordination
