#include "agatetide/steps/item_encoder.hpp"

namespace agatetide::steps {

ItemEncoder::ItemEncoder(std::span<const StepItem> aItems)
  : mItems(aItems)
{
  mArchive(
    cereal::make_size_tag(static_cast<cereal::size_type>(aItems.size())));
  mEncoded = std::move(mStream).str();
}

std::string ItemEncoder::Next(size_t aMaxBytes)
{
  while (mEncoded.size() < aMaxBytes && mNextItem < mItems.size()) {
    mArchive(mItems[mNextItem++]);
    mEncoded += std::move(mStream).str();
  }
  std::string piece = mEncoded.substr(0, aMaxBytes);
  mEncoded.erase(0, piece.size());
  return piece;
}

} // namespace agatetide::steps
