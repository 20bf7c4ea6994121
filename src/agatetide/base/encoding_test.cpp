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
