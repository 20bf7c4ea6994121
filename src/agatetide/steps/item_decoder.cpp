#include "agatetide/steps/item_decoder.hpp"

#include "agatetide/steps/step_archive.hpp"

#include <algorithm>
#include <utility>

namespace agatetide::steps {

using coordination::InputArchive;

ItemDecoder::ItemDecoder(const ItemPosition& aPosition)
  : mSkippedBytes(aPosition.mOffset)
  , mHeaderRead(true)
  , mLittleEndian(aPosition.mLittleEndian)
  , mItemsLeft(aPosition.mItemsLeft)
{
}

void ItemDecoder::Add(std::string_view aPiece)
{
  mBytes.erase(0, mOffset);
  mOffset = 0;
  const size_t skipped =
    std::min(std::exchange(mSkippedBytes, 0), aPiece.size());
  mBytes += aPiece.substr(skipped);
}

bool ItemDecoder::ReadHeader()
{
  uint8_t littleEndian = 0;
  if (mBytes.size() < sizeof littleEndian + sizeof mItemsLeft) {
    return false;
  }
  littleEndian = static_cast<uint8_t>(mBytes.front());
  mLittleEndian = littleEndian == 1;
  InputArchive archive(std::string_view(mBytes).substr(sizeof littleEndian),
                       mLittleEndian);
  archive.LoadNumber(mItemsLeft);
  mOffset = sizeof littleEndian + sizeof mItemsLeft;
  mHeaderRead = true;
  return true;
}

std::optional<StepItem> ItemDecoder::Next()
{
  if ((!mHeaderRead && !ReadHeader()) || mItemsLeft == 0) {
    return std::nullopt;
  }
  InputArchive archive(std::string_view(mBytes).substr(mOffset), mLittleEndian);
  StepItem item;
  try {
    archive(item);
  } catch (const cereal::Exception&) {
    return std::nullopt; // Its end is in the next piece, if there is one.
  }
  mOffset = mBytes.size() - archive.BytesLeft();
  --mItemsLeft;
  return item;
}

} // namespace agatetide::steps
