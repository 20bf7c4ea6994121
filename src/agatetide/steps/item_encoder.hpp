#pragma once

#include "agatetide/steps/item_index.hpp"
#include "agatetide/steps/step_archive.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <span>
#include <sstream>
#include <string>

namespace agatetide::steps {

/// @brief Encodes items piece by piece, so that a large step is never in memory
/// a second time as a whole. The pieces together are what EncodeItems()
/// returns. Not thread-safe.
class ItemEncoder
{
public:
  /// Preconditions: the items outlive the encoder; aPieceBytes > 0.
  ItemEncoder(std::span<const StepItem> aItems, uint32_t aPieceBytes);

  /// @brief Returns the next piece: aPieceBytes bytes, or fewer if it is the
  /// last one. Precondition: !AtEnd().
  std::string Next();

  /// @brief Whether all pieces were returned.
  bool AtEnd() const { return mNextItem == mItems.size() && mEncoded.empty(); }

  /// @brief Where the items are that the pieces so far hold.
  const ItemIndex& Index() const { return mIndex; }

private:
  std::span<const StepItem> mItems;
  uint32_t mPieceBytes;
  size_t mNextItem = 0;
  ItemIndex mIndex;
  /// Size of the pieces that were returned.
  uint64_t mReturnedBytes = 0;
  std::ostringstream mStream;
  cereal::PortableBinaryOutputArchive mArchive{ mStream };
  /// Encoded bytes that were not returned yet.
  std::string mEncoded;
};

} // namespace agatetide::steps
