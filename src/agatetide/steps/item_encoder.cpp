#include "agatetide/steps/item_encoder.hpp"

namespace agatetide::steps {

ItemEncoder::ItemEncoder(std::span<const StepItem> aItems, uint32_t aPieceBytes)
  : mItems(aItems)
  , mPieceBytes(aPieceBytes)
  , mIndex(aPieceBytes)
{
  mArchive(
    cereal::make_size_tag(static_cast<cereal::size_type>(aItems.size())));
  mEncoded = std::move(mStream).str();
}

std::string ItemEncoder::Next()
{
  while (mEncoded.size() < mPieceBytes && mNextItem < mItems.size()) {
    const StepItem& item = mItems[mNextItem++];
    mIndex.Add(item.mId, mReturnedBytes + mEncoded.size());
    mArchive(item);
    mEncoded += std::move(mStream).str();
  }
  std::string piece = mEncoded.substr(0, mPieceBytes);
  mEncoded.erase(0, piece.size());
  mReturnedBytes += piece.size();
  return piece;
}

} // namespace agatetide::steps
