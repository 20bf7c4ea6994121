#include "agatetide/base/encoding.hpp"

#include <criterion/criterion.h>

using namespace agatetide;

// Guards against losing the last bytes when the length is not a multiple of 3.
Test(encoding, base64_round_trip_keeps_every_length)
{
  std::string bytes;
  for (int length = 0; length < 70; ++length) {
    cr_assert(Base64Decode(Base64Encode(bytes)).value() == bytes);
    bytes += static_cast<char>(length * 37);
  }
}

// Guards against accepting malformed responses of the store as data.
Test(encoding, base64_refuses_malformed_text)
{
  cr_assert(Base64Decode("abc").has_error());
  cr_assert(Base64Decode("a!c=").has_error());
}

// Guards against a body that differs from the one sent, since its text arrives
// in pieces that end within a group of characters.
Test(encoding, base64_is_decoded_in_pieces)
{
  std::string bytes;
  for (int length = 0; length < 50; ++length) {
    const std::string text = Base64Encode(bytes);
    for (size_t size = 1; size < 9; ++size) {
      Base64Decoder decoder;
      for (size_t at = 0; at < text.size(); at += size) {
        decoder.Add(std::string_view(text).substr(at, size));
      }
      const auto decoded = decoder.Finish();
      cr_assert(decoded.has_value());
      cr_expect(*decoded == bytes);
    }
    bytes += static_cast<char>(length * 7);
  }
}

// Guards against a part of a text that is taken for all of it.
Test(encoding, base64_in_pieces_refuses_malformed_text)
{
  for (const char* text :
       { "abc", "a!c=", "ab==cdef", "a=bc", "====", "ab c", "abcd=" }) {
    for (const size_t size : { size_t{ 1 }, size_t{ 4 }, size_t{ 16 } }) {
      Base64Decoder decoder;
      const std::string_view whole(text);
      for (size_t at = 0; at < whole.size(); at += size) {
        decoder.Add(whole.substr(at, size));
      }
      cr_expect(decoder.Finish().has_error(), "%s in %zu", text, size);
      decoder.Add("YQ==");
      cr_expect(decoder.Finish().value() == "a", "a new text is read");
    }
  }
}
