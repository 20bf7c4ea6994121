#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace agatetide {

/// @brief Source of 64 random bits. Injected, so that tests fix the seed.
using Random = std::function<uint64_t()>;

/// @brief Generator with a random seed, for production. Not for secrets. Not
/// thread-safe: each thread needs its own.
Random ProcessRandom();

/// @brief Deterministic generator for tests. Not thread-safe.
Random SeededRandom(uint64_t aSeed);

/// @brief Uniform integer in [0, aBound). Precondition: aBound > 0.
uint64_t UniformBelow(const Random& aRandom, uint64_t aBound);

/// @brief Uniform real in [0, 1).
double UniformUnit(const Random& aRandom);

/// @brief aBytes cryptographically secure random bytes in hex, for keys and
/// nonces. Thread-safe.
std::string SecureHex(size_t aBytes);

} // namespace agatetide
