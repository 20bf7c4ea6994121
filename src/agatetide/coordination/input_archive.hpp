#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <bit>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace agatetide::coordination {

/// @brief Reads the output of cereal's portable binary archive from untrusted
/// bytes.
///
/// cereal resizes a container to the length stated in the input before it reads
/// the elements. This archive never allocates more than the input can hold:
/// lengths are checked against the remaining bytes, and vectors grow element by
/// element. Throws cereal::Exception.
class InputArchive
  : public cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>
{
public:
  explicit InputArchive(std::string_view aBytes)
    : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(this)
    , mBytes(aBytes)
  {
    uint8_t littleEndian = 0;
    Read(&littleEndian, 1);
    SetByteOrder(littleEndian == 1);
  }

  /// @brief Reads a part of the output, without the byte order at its start.
  InputArchive(std::string_view aBytes, bool aLittleEndian)
    : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(this)
    , mBytes(aBytes)
  {
    SetByteOrder(aLittleEndian);
  }

  template<class Number>
  void LoadNumber(Number& aNumber)
  {
    Read(&aNumber, sizeof aNumber);
    if (mSwap) {
      auto* bytes = reinterpret_cast<unsigned char*>(&aNumber);
      std::reverse(bytes, bytes + sizeof aNumber);
    }
  }

  uint64_t LoadLength()
  {
    uint64_t length = 0;
    LoadNumber(length);
    if (length > mBytes.size()) {
      throw cereal::Exception("a length exceeds the input");
    }
    return length;
  }

  void Read(void* aTarget, size_t aSize)
  {
    if (aSize > mBytes.size()) {
      throw cereal::Exception("the input is truncated");
    }
    std::memcpy(aTarget, mBytes.data(), aSize);
    mBytes.remove_prefix(aSize);
  }

  /// @brief Leaves bytes out.
  void Skip(size_t aSize)
  {
    if (aSize > mBytes.size()) {
      throw cereal::Exception("the input is truncated");
    }
    mBytes.remove_prefix(aSize);
  }

  bool AtEnd() const { return mBytes.empty(); }
  size_t BytesLeft() const { return mBytes.size(); }

private:
  void SetByteOrder(bool aLittleEndian)
  {
    mSwap = aLittleEndian != (std::endian::native == std::endian::little);
  }

  std::string_view mBytes;
  bool mSwap = false;
};

template<class Number>
std::enable_if_t<std::is_arithmetic_v<Number>> CEREAL_LOAD_FUNCTION_NAME(
  InputArchive& aArchive,
  Number& aNumber)
{
  aArchive.LoadNumber(aNumber);
}

/// Rejects bytes other than 0 and 1: as a bool, they are undefined behaviour.
inline void CEREAL_LOAD_FUNCTION_NAME(InputArchive& aArchive, bool& aValue)
{
  uint8_t byte = 0;
  aArchive.LoadNumber(byte);
  if (byte > 1) {
    throw cereal::Exception("a bool is neither 0 nor 1");
  }
  aValue = byte == 1;
}

inline void CEREAL_LOAD_FUNCTION_NAME(InputArchive& aArchive,
                                      std::string& aText)
{
  aText.resize(aArchive.LoadLength());
  aArchive.Read(aText.data(), aText.size());
}

template<class Item>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& aArchive,
                               std::vector<Item>& aItems)
{
  aItems.clear();
  for (uint64_t left = aArchive.LoadLength(); left > 0; --left) {
    Item item;
    aArchive(item);
    aItems.push_back(std::move(item));
  }
}

} // namespace agatetide::coordination

namespace cereal::traits::detail {
template<>
struct get_output_from_input<agatetide::coordination::InputArchive>
{
  using type = cereal::PortableBinaryOutputArchive;
};
} // namespace cereal::traits::detail
