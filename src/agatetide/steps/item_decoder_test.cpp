#include "agatetide/steps/item_decoder.hpp"

#include "agatetide/coordination/recorded_bytes.hpp"
#include "agatetide/steps/item_encoder.hpp"

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
  ItemDecoder decoder(aBytes.size());
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

// Guards against the body of another item, since an item begins within a piece
// or spans several.
Test(item_decoder, each_item_is_decoded_from_its_position)
{
  const std::vector<StepItem> items = MakeItems(12);
  for (const uint32_t size : { 1U, 50U, 700U }) {
    ItemEncoder encoder(items, size);
    std::vector<std::string> pieces;
    while (!encoder.AtEnd()) {
      pieces.push_back(encoder.Next());
    }
    const auto index = ItemIndex::Decode(encoder.Index().Encode());
    cr_assert(index.has_value());
    for (const StepItem& item : items) {
      const auto position = index->Find(item.mId);
      cr_assert(position.has_value());
      ItemDecoder decoder(*position, pieces.size() * size);
      std::optional<StepItem> decoded;
      for (size_t at = position->mChunk; !decoded; ++at) {
        cr_assert(at < pieces.size());
        decoder.Add(pieces[at]);
        decoded = decoder.Next();
      }
      cr_expect(EncodeItems({ *decoded }) == EncodeItems({ item }));
    }
    cr_expect(!index->Find("other").has_value());
  }
}

// Guards against a large body that is in memory twice while its item is
// decoded, and against one whose end takes bytes of the next item.
Test(item_decoder, a_large_body_takes_over_the_memory_of_its_pieces)
{
  constexpr size_t kPieceBytes = size_t{ 64 } << 10U;
  std::vector<StepItem> items = MakeItems(4);
  items[2].mBody = std::string(size_t{ 2 } << 20U, 'x');
  const std::string whole = EncodeItems(items);
  ItemDecoder decoder(whole.size());
  std::vector<StepItem> decoded;
  for (size_t at = 0; at < whole.size(); at += kPieceBytes) {
    decoder.Add(std::string_view(whole).substr(at, kPieceBytes));
    while (auto item = decoder.Next()) {
      decoded.push_back(std::move(*item));
    }
  }
  cr_assert(decoder.AtEnd());
  cr_expect(EncodeItems(decoded) == whole);
  cr_expect_leq(decoded[2].mBody.Release().capacity(),
                (size_t{ 2 } << 20U) + 2 * kPieceBytes);
}

// Guards against a change of the stored form, which later builds must read, and
// against reading a damaged one.
Test(item_decoder, the_stored_index_keeps_its_form)
{
  ItemIndex index(700);
  index.Add("a", 9);
  const std::string bytes = index.Encode();
  coordination::ExpectRecordedBytes(
    bytes,
    "01bc0200000101000000000000005b6e8ca9f1c44ed2010000000000000009000000"
    "00000000");
  for (size_t size = 0; size < bytes.size(); ++size) {
    cr_expect(ItemIndex::Decode(bytes.substr(0, size)).has_error());
  }
}
