#include "agatetide/base/random.hpp"

#include "agatetide/base/encoding.hpp"

#include <openssl/rand.h>

#include <cstdlib>
#include <memory>
#include <random>

namespace agatetide {

Random ProcessRandom()
{
  std::random_device device;
  const uint64_t seed = (static_cast<uint64_t>(device()) << 32U) | device();
  return SeededRandom(seed);
}

Random SeededRandom(uint64_t aSeed)
{
  auto engine = std::make_shared<std::mt19937_64>(aSeed);
  return [engine] { return (*engine)(); };
}

uint64_t UniformBelow(const Random& aRandom, uint64_t aBound)
{
  return aRandom() % aBound;
}

double UniformUnit(const Random& aRandom)
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(aRandom() >> 11U) * kScale;
}

std::string SecureHex(size_t aBytes)
{
  std::string bytes(aBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                 static_cast<int>(aBytes)) != 1) {
    std::abort(); // Without entropy, keys and nonces would be predictable.
  }
  return HexEncode(bytes);
}

} // namespace agatetide
