#pragma once

#include "agatetide/base/error.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::steps {

/// @brief A place in the stored items of a step from which they can be decoded.
struct ItemPosition
{
  /// The stored value in which the item begins.
  uint32_t mChunk = 0;
  /// Offset of its first byte there.
  uint32_t mOffset = 0;
  /// Size of the encoded item; 0 if it is not known.
  uint64_t mBytes = 0;
  /// Number of items from this one on.
  uint64_t mItemsLeft = 0;
  /// Byte order of the stored values.
  bool mLittleEndian = false;
};

/// @brief Where the items of a step with several stored values are, so that one
/// item can be read without the values before it. Not thread-safe.
class ItemIndex
{
public:
  /// @brief An index without items. All stored values but the last will have
  /// aChunkBytes bytes. Precondition: aChunkBytes > 0.
  explicit ItemIndex(uint32_t aChunkBytes);

  /// @brief Adds the next item. aOffset is that of its first byte in all stored
  /// values together.
  void Add(std::string_view aItem, uint64_t aOffset);

  /// @brief The position of an item; std::nullopt if there is no such item. The
  /// item at the position may be another one whose id has the same hash.
  std::optional<ItemPosition> Find(std::string_view aItem) const;

  std::string Encode() const;

  /// @brief The inverse of Encode(). Errors: DataLoss when the bytes cannot be
  /// decoded.
  static Result<ItemIndex> Decode(std::string_view aBytes);

private:
  uint32_t mChunkBytes;
  bool mLittleEndian;
  /// Hashes of the ids, in the order of the items.
  std::vector<uint64_t> mHashes;
  /// Same indices as mHashes.
  std::vector<uint64_t> mOffsets;
};

} // namespace agatetide::steps
