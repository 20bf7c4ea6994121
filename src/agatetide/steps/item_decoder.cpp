#include "agatetide/steps/item_decoder.hpp"

#include "agatetide/steps/step_archive.hpp"

#include <algorithm>
#include <utility>

namespace agatetide::steps {

using coordination::InputArchive;

namespace {

/// Smaller bodies are copied, so that they do not keep the memory of others.
constexpr size_t kMinTakenBytes = size_t{ 256 } << 10U;

} // namespace

ItemDecoder::ItemDecoder(const ItemPosition& aPosition, size_t aMaxBytes)
  : mMaxBytes(aMaxBytes)
  , mSkippedBytes(aPosition.mOffset)
  , mHeaderRead(true)
  , mLittleEndian(aPosition.mLittleEndian)
  , mItemsLeft(aPosition.mItemsLeft)
{
}

void ItemDecoder::Add(std::string_view aPiece)
{
  mBytes.erase(0, mOffset);
  mExpectedBytes -= std::min(mOffset, mExpectedBytes);
  mOffset = 0;
  const size_t skipped =
    std::min(std::exchange(mSkippedBytes, 0), aPiece.size());
  const std::string_view piece = aPiece.substr(skipped);
  // The piece that completes the item may have more than that.
  mBytes.reserve(
    std::min(std::max(mExpectedBytes, mBytes.size()) + piece.size(),
             std::max(mMaxBytes, mBytes.size() + piece.size())));
  mBytes += piece;
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
  size_t bodyBegin = 0;
  uint64_t bodyLength = 0;
  try {
    SerializeHead(archive, item);
    archive.LoadNumber(bodyLength);
    bodyBegin = mBytes.size() - archive.BytesLeft();
    if (bodyLength > archive.BytesLeft()) {
      mExpectedBytes = bodyBegin + std::min<uint64_t>(bodyLength, mMaxBytes);
      return std::nullopt;
    }
    archive.Skip(bodyLength);
    SerializeTail(archive, item);
  } catch (const cereal::Exception&) {
    return std::nullopt; // Its end is in the next piece, if there is one.
  }
  item.mBody =
    TakeBody(bodyBegin, bodyLength, mBytes.size() - archive.BytesLeft());
  mExpectedBytes = 0;
  --mItemsLeft;
  return item;
}

/// Removes an item, and returns its body.
SharedBytes ItemDecoder::TakeBody(size_t aBegin,
                                  size_t aLength,
                                  size_t aItemEnd)
{
  if (aLength < kMinTakenBytes || aLength < mBytes.size() / 2) {
    mOffset = aItemEnd;
    return mBytes.substr(aBegin, aLength);
  }
  std::string rest = mBytes.substr(aItemEnd);
  std::string body = std::exchange(mBytes, std::move(rest));
  mOffset = 0;
  body.resize(aBegin + aLength);
  body.erase(0, aBegin);
  return body;
}

} // namespace agatetide::steps
