#include "agatetide/steps/item_index.hpp"

#include "agatetide/base/encoding.hpp"
#include "agatetide/coordination/portable_bytes.hpp"

#include <algorithm>
#include <bit>

namespace agatetide::steps {

namespace {

/// The stored form of an index.
struct StoredIndex
{
  uint32_t mChunkBytes = 0;
  bool mLittleEndian = false;
  std::vector<uint64_t> mHashes;
  std::vector<uint64_t> mOffsets;
};

template<class Archive>
void serialize(Archive& aArchive, StoredIndex& aIndex)
{
  aArchive(
    aIndex.mChunkBytes, aIndex.mLittleEndian, aIndex.mHashes, aIndex.mOffsets);
}

} // namespace

ItemIndex::ItemIndex(uint32_t aChunkBytes)
  : mChunkBytes(aChunkBytes)
  , mLittleEndian(std::endian::native == std::endian::little)
{
}

void ItemIndex::Add(std::string_view aItem, uint64_t aOffset)
{
  mHashes.push_back(Hash64(aItem));
  mOffsets.push_back(aOffset);
}

std::optional<ItemPosition> ItemIndex::Find(std::string_view aItem) const
{
  const auto found = std::find(mHashes.begin(), mHashes.end(), Hash64(aItem));
  if (found == mHashes.end()) {
    return std::nullopt;
  }
  const auto item = static_cast<size_t>(found - mHashes.begin());
  ItemPosition position;
  position.mChunk = static_cast<uint32_t>(mOffsets[item] / mChunkBytes);
  position.mOffset = static_cast<uint32_t>(mOffsets[item] % mChunkBytes);
  position.mItemsLeft = mOffsets.size() - item;
  const bool hasNext = item + 1 < mOffsets.size();
  if (hasNext && mOffsets[item + 1] > mOffsets[item]) {
    position.mBytes = mOffsets[item + 1] - mOffsets[item];
  }
  position.mLittleEndian = mLittleEndian;
  return position;
}

std::string ItemIndex::Encode() const
{
  return coordination::EncodePortable(
    StoredIndex{ mChunkBytes, mLittleEndian, mHashes, mOffsets });
}

Result<ItemIndex> ItemIndex::Decode(std::string_view aBytes)
{
  auto stored = coordination::DecodePortable<StoredIndex>(
    aBytes, "the stored index of a step's items", ErrorKind::DataLoss);
  if (stored.has_error()) {
    return stored.error();
  }
  if (stored->mChunkBytes == 0 ||
      stored->mHashes.size() != stored->mOffsets.size()) {
    return Error{ ErrorKind::DataLoss,
                  "the stored index of a step's items is not whole",
                  "check that all daemons run the same version" };
  }
  ItemIndex index(stored->mChunkBytes);
  index.mLittleEndian = stored->mLittleEndian;
  index.mHashes = std::move(stored->mHashes);
  index.mOffsets = std::move(stored->mOffsets);
  return index;
}

} // namespace agatetide::steps
