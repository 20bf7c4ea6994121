#pragma once

#include <cstdint>
#include <string>

namespace agatetide::fuzz {

/// @brief Passes keys of any bytes through the queries of store calls and
/// through log lines, and reads them back. Guards against a key that is asked
/// for, or logged, as another one. Returns a summary; throws if a check fails.
std::string FuzzEncodings(uint64_t aSeed);

} // namespace agatetide::fuzz
