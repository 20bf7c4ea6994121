#pragma once

#include <string>
#include <string_view>

namespace agatetide {

inline int HexValue(char aDigit)
{
  return aDigit <= '9' ? aDigit - '0' : aDigit - 'a' + 10;
}

/// Reads the value of a field back as the reader of a log does. Precondition:
/// LogEvent wrote it.
inline std::string ReadLogValue(std::string_view aText)
{
  if (!aText.starts_with('"')) {
    return std::string(aText);
  }
  std::string value;
  for (size_t i = 1; i + 1 < aText.size(); ++i) {
    if (aText[i] != '\\') {
      value += aText[i];
      continue;
    }
    ++i;
    if (aText[i] == 'n') {
      value += '\n';
    } else if (aText[i] == 'x') {
      value +=
        static_cast<char>(HexValue(aText[i + 1]) * 16 + HexValue(aText[i + 2]));
      i += 2;
    } else {
      value += aText[i];
    }
  }
  return value;
}

} // namespace agatetide
