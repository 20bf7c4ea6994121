#pragma once

#include "agatetide/steps/item_index.hpp"
#include "agatetide/steps/step.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace agatetide::steps {

/// @brief Decodes items whose encoding arrives in pieces, so that a large step
/// is never in memory a second time as a whole. The body of a large item is not
/// copied either: it takes over the memory in which its pieces were collected.
/// Not thread-safe.
class ItemDecoder
{
public:
  /// @brief aMaxBytes is the most that all pieces can have together; memory for
  /// a large item is reserved up to it.
  explicit ItemDecoder(size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /// @brief Begins at a position. The first piece to add is that of the chunk
  /// which it names.
  ItemDecoder(const ItemPosition& aPosition, size_t aMaxBytes);

  /// @brief Adds the next piece of what EncodeItems() returned.
  void Add(std::string_view aPiece);

  /// @brief Returns the next item; std::nullopt if its bytes are not complete,
  /// or if there is none.
  std::optional<StepItem> Next();

  /// @brief Whether all items were returned, and no bytes follow them.
  bool AtEnd() const
  {
    return mHeaderRead && mItemsLeft == 0 && mOffset == mBytes.size();
  }

private:
  bool ReadHeader();
  SharedBytes TakeBody(size_t aBegin, size_t aLength, size_t aItemEnd);

  size_t mMaxBytes;
  std::string mBytes;
  /// Number of bytes at the front that were decoded.
  size_t mOffset = 0;
  /// Number of bytes at the front of the next piece that are left out.
  size_t mSkippedBytes = 0;
  /// Size that mBytes will have with the body of the item that is incomplete.
  size_t mExpectedBytes = 0;
  bool mHeaderRead = false;
  bool mLittleEndian = false;
  uint64_t mItemsLeft = 0;
};

} // namespace agatetide::steps
