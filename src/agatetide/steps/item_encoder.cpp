#include "agatetide/steps/item_encoder.hpp"

#include <algorithm>

namespace agatetide::steps {

ItemEncoder::ItemEncoder(std::span<const StepItem> aItems, uint32_t aPieceBytes)
  : mItems(aItems)
  , mPieceBytes(aPieceBytes)
  , mIndex(aPieceBytes)
{
  mArchive(
    cereal::make_size_tag(static_cast<cereal::size_type>(aItems.size())));
  AddWritten();
}

void ItemEncoder::AddPart(SharedBytes aPart)
{
  mEncodedBytes += aPart.size();
  if (!aPart.empty()) {
    mParts.push_back(std::move(aPart));
  }
}

void ItemEncoder::AddBody(const SharedBytes& aBody)
{
  mArchive(cereal::make_size_tag(static_cast<cereal::size_type>(aBody.size())));
  AddWritten();
  AddPart(aBody);
}

/// Adds the parts of an item, in the form of step_archive.hpp.
void ItemEncoder::EncodeNextItem()
{
  // Its body and that of its scoring call are added by themselves.
  StepItem item = mItems[mNextItem++];
  mIndex.Add(item.mId, mEncodedBytes);
  SerializeHead(mArchive, item);
  AddBody(item.mBody);
  const SharedBytes scoringBody =
    item.mScoring ? std::move(item.mScoring->mBody) : SharedBytes();
  SerializeTail(mArchive, item);
  if (!scoringBody.empty()) {
    // The call ends with the length of its body, which was empty.
    std::string written = mBuffer.Release();
    written.resize(written.size() - sizeof(cereal::size_type));
    AddPart(std::move(written));
    AddBody(scoringBody);
  }
  AddWritten();
}

std::string ItemEncoder::Next()
{
  std::string piece;
  while (piece.size() < mPieceBytes) {
    if (mParts.empty() && mNextItem == mItems.size()) {
      break;
    }
    if (mParts.empty()) {
      EncodeNextItem();
    }
    const std::string_view rest = mParts.front().View().substr(mPartOffset);
    const size_t taken = std::min(rest.size(), mPieceBytes - piece.size());
    piece.append(rest.substr(0, taken));
    mPartOffset += taken;
    if (taken == rest.size()) {
      mParts.pop_front();
      mPartOffset = 0;
    }
  }
  return piece;
}

} // namespace agatetide::steps
