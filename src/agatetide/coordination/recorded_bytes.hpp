#pragma once

#include "agatetide/base/encoding.hpp"

#include <criterion/criterion.h>

#include <string>

namespace agatetide::coordination {

/// @brief For tests: compares an encoded message or record with the hexadecimal
/// bytes that the build of commit b8b7489, or the first one that knew it,
/// wrote. Builds side by side read each other's, so a change needs a new kind
/// of message or record.
inline void ExpectRecordedBytes(const std::string& aEncoded,
                                const char* aRecorded)
{
  const std::string hex = HexEncode(aEncoded);
  cr_expect_str_eq(hex.c_str(), aRecorded);
}

} // namespace agatetide::coordination
