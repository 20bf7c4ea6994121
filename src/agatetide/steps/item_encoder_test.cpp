#include "agatetide/steps/item_encoder.hpp"

#include <criterion/criterion.h>

using namespace agatetide;
using namespace agatetide::steps;

namespace {

std::vector<StepItem> MakeItems(size_t aCount)
{
  std::vector<StepItem> items(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    items[i].mId = "item-" + std::to_string(i);
    items[i].mHeaders = { { "Model", "m" } };
    items[i].mBody = std::string(37 * i, 'b');
    if (i % 2 == 0) {
      items[i].mScoring = ScoringCall{ "score", "host", "/path", "text" };
    }
  }
  return items;
}

} // namespace

// Guards against stored items that no host can read, or that an older build
// reads differently, since they were encoded in pieces.
Test(item_encoder, pieces_are_the_encoding_of_the_items)
{
  for (const size_t count : { 0, 1, 2, 20 }) {
    const std::vector<StepItem> items = MakeItems(count);
    const std::string whole = EncodeItems(items);
    for (const size_t size :
         { size_t{ 1 }, size_t{ 64 }, size_t{ 1000 }, whole.size() }) {
      ItemEncoder encoder(items, static_cast<uint32_t>(size));
      std::string joined;
      while (!encoder.AtEnd()) {
        const std::string piece = encoder.Next();
        joined += piece;
        cr_assert(piece.size() == size || encoder.AtEnd());
      }
      cr_expect(joined == whole, "%zu items in pieces of %zu", count, size);
    }
    cr_expect(DecodeItems(whole)->size() == count);
  }
}
