#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace agatetide {

/// @brief Source of 64 random bits. Passed in so that tests fix the seed.
using Random = std::function<uint64_t()>;

/// @brief Non-deterministic generator for processes. Not thread-safe; each
/// duty owns its own.
Random ProcessRandom();

/// @brief Deterministic generator for tests.
Random SeededRandom(uint64_t aSeed);

/// @brief Uniform integer in [0, aBound). Precondition: aBound > 0.
uint64_t UniformBelow(const Random& aRandom, uint64_t aBound);

/// @brief Uniform real in [0, 1).
double UniformUnit(const Random& aRandom);

/// @brief aBytes random bytes from the operating system, in hex. For keys
/// and nonces. Thread-safe.
std::string SecureHex(size_t aBytes);

} // namespace agatetide
