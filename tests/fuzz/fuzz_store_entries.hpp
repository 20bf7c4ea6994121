#pragma once

#include <cstdint>
#include <string>

namespace agatetide::fuzz {

/// @brief Decodes mutated entries of the users' platform store. Guards against
/// entries of other writers that crash a host, or that name replicas whose
/// numbers are out of range. Returns a summary; throws if a check fails.
std::string FuzzStoreEntries(uint64_t aSeed);

} // namespace agatetide::fuzz
