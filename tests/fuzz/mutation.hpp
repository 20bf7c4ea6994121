#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace agatetide::fuzz {

/// @brief Makes malformed variants of valid input from a seeded random source.
class Mutator
{
public:
  explicit Mutator(uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  size_t RandomBelow(size_t aLimit) { return mEngine() % aLimit; }

  /// @brief Returns the input with one to four random edits.
  std::string Mutate(std::string_view aInput)
  {
    std::string text(aInput);
    for (size_t edits = 1 + RandomBelow(4); edits > 0; --edits) {
      Edit(text);
    }
    return text;
  }

private:
  void Edit(std::string& aText)
  {
    const size_t offset = RandomBelow(aText.size() + 1);
    switch (RandomBelow(6)) {
      case 0:
        aText.resize(offset);
        break;
      case 1:
        aText.insert(offset, 1 + RandomBelow(16), static_cast<char>(mEngine()));
        break;
      case 2: // An extreme value where a length field may be.
        aText.replace(
          offset, 8, std::string(8, RandomBelow(2) == 0 ? '\xff' : '\x7f'));
        break;
      case 3:
        aText.erase(offset, 1 + RandomBelow(8));
        break;
      case 4: // Repeated input, for depth and size limits.
        aText.insert(offset, aText.substr(offset / 2, 1 + RandomBelow(64)));
        break;
      default:
        if (offset < aText.size()) {
          aText[offset] = static_cast<char>(mEngine());
        }
    }
  }

  std::mt19937_64 mEngine;
};

} // namespace agatetide::fuzz
