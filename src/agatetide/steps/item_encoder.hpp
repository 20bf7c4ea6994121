#pragma once

#include "agatetide/steps/item_index.hpp"
#include "agatetide/steps/step_archive.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <deque>
#include <ostream>
#include <span>
#include <string>

namespace agatetide::steps {

/// @brief Encodes items piece by piece, so that neither a large step nor a
/// large item is in memory a second time as a whole. The pieces together are
/// what EncodeItems() returns. Not thread-safe.
class ItemEncoder
{
public:
  /// Preconditions: the items outlive the encoder; aPieceBytes > 0.
  ItemEncoder(std::span<const StepItem> aItems, uint32_t aPieceBytes);

  /// @brief Returns the next piece: aPieceBytes bytes, or fewer if it is the
  /// last one. Precondition: !AtEnd().
  std::string Next();

  /// @brief Whether all pieces were returned.
  bool AtEnd() const { return mNextItem == mItems.size() && mParts.empty(); }

  /// @brief Where the items are that the pieces so far hold.
  const ItemIndex& Index() const { return mIndex; }

private:
  void EncodeNextItem();
  void AddPart(SharedBytes aPart);
  /// Adds what was written to the archive.
  void AddWritten() { AddPart(mBuffer.Release()); }
  void AddBody(const SharedBytes& aBody);

  std::span<const StepItem> mItems;
  uint32_t mPieceBytes;
  size_t mNextItem = 0;
  ItemIndex mIndex;
  coordination::StringBuffer mBuffer{ 0 };
  std::ostream mStream{ &mBuffer };
  cereal::PortableBinaryOutputArchive mArchive{ mStream };
  /// Encoded bytes that were not returned yet. Bodies are those of the items.
  std::deque<SharedBytes> mParts;
  /// Number of bytes of the first part that were returned.
  size_t mPartOffset = 0;
  /// Size of all parts so far.
  uint64_t mEncodedBytes = 0;
};

} // namespace agatetide::steps
