#pragma once

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
  /// Precondition: the items outlive the encoder.
  explicit ItemEncoder(std::span<const StepItem> aItems);

  /// @brief Returns the next piece: aMaxBytes bytes, or fewer if it is the last
  /// one. Precondition: !AtEnd().
  std::string Next(size_t aMaxBytes);

  /// @brief Whether all pieces were returned.
  bool AtEnd() const { return mNextItem == mItems.size() && mEncoded.empty(); }

private:
  std::span<const StepItem> mItems;
  size_t mNextItem = 0;
  std::ostringstream mStream;
  cereal::PortableBinaryOutputArchive mArchive{ mStream };
  /// Encoded bytes that were not returned yet.
  std::string mEncoded;
};

} // namespace agatetide::steps
