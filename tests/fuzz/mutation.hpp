#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace agatetide::fuzz {

/// @brief A seeded source of malformed variants of valid input.
class Mutation
{
public:
  explicit Mutation(uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  size_t Below(size_t aLimit) { return mEngine() % aLimit; }

  /// @brief Applies one to four random edits.
  std::string Of(std::string_view aInput)
  {
    std::string text(aInput);
    for (size_t edits = 1 + Below(4); edits > 0; --edits) {
      Edit(text);
    }
    return text;
  }

private:
  void Edit(std::string& aText)
  {
    const size_t place = Below(aText.size() + 1);
    switch (Below(6)) {
      case 0:
        aText.resize(place);
        break;
      case 1:
        aText.insert(place, 1 + Below(16), static_cast<char>(mEngine()));
        break;
      case 2: // An extreme length field.
        aText.replace(
          place, 8, std::string(8, Below(2) == 0 ? '\xff' : '\x7f'));
        break;
      case 3:
        aText.erase(place, 1 + Below(8));
        break;
      case 4: // Repetition, for depth and size limits.
        aText.insert(place, aText.substr(place / 2, 1 + Below(64)));
        break;
      default:
        if (place < aText.size()) {
          aText[place] = static_cast<char>(mEngine());
        }
    }
  }

  std::mt19937_64 mEngine;
};

} // namespace agatetide::fuzz
