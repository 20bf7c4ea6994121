#include "agatetide/steps/item_decoder.hpp"

#include <criterion/criterion.h>

#include <vector>

using namespace agatetide;
using namespace agatetide::steps;

namespace {

std::vector<StepItem> MakeItems(size_t aCount)
{
  std::vector<StepItem> items(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    items[i].mId = "item-" + std::to_string(i);
    items[i].mBody = std::string(41 * i, 'b');
    if (i % 2 == 0) {
      items[i].mScoring = ScoringCall{ "score", "host", "/path", "text" };
    }
  }
  return items;
}

/// Decodes bytes that arrive in pieces; std::nullopt if they are not complete.
std::optional<std::vector<StepItem>> Decode(std::string_view aBytes,
                                            size_t aPieceSize)
{
  ItemDecoder decoder;
  std::vector<StepItem> items;
  for (size_t at = 0; at < aBytes.size(); at += aPieceSize) {
    decoder.Add(aBytes.substr(at, aPieceSize));
    while (auto item = decoder.Next()) {
      items.push_back(std::move(*item));
    }
  }
  return decoder.AtEnd() ? std::optional(std::move(items)) : std::nullopt;
}

} // namespace

// Guards against items that differ from those stored, since a piece ends within
// an item.
Test(item_decoder, pieces_are_decoded_to_the_items)
{
  for (const size_t count : { 0, 1, 12 }) {
    const std::string whole = EncodeItems(MakeItems(count));
    for (const size_t size :
         { size_t{ 1 }, size_t{ 50 }, size_t{ 700 }, whole.size() }) {
      const auto items = Decode(whole, size);
      cr_assert(items.has_value(), "%zu items in pieces of %zu", count, size);
      cr_expect(EncodeItems(*items) == whole);
    }
  }
}

// Guards against a step that runs with a part of its items.
Test(item_decoder, incomplete_or_longer_bytes_are_no_items)
{
  const std::string whole = EncodeItems(MakeItems(3));
  for (size_t size = 0; size < whole.size(); ++size) {
    cr_expect(!Decode(whole.substr(0, size), 64).has_value(), "%zu", size);
  }
  cr_expect(!Decode(whole + "x", 64).has_value());
  cr_expect(!Decode("\1\377\377\377\377\377\377\377\377", 64).has_value());
}
