#pragma once

#include "agatetide/base/shared_bytes.hpp"
#include "agatetide/coordination/input_archive.hpp"

#include <string>
#include <utility>

namespace agatetide {

/// Encoded like a string, without a copy of the bytes.
template<class Archive>
void CEREAL_SAVE_FUNCTION_NAME(Archive& aArchive, const SharedBytes& aBytes)
{
  aArchive(
    cereal::make_size_tag(static_cast<cereal::size_type>(aBytes.size())));
  aArchive(cereal::binary_data(aBytes.Data(), aBytes.size()));
}

inline void CEREAL_LOAD_FUNCTION_NAME(coordination::InputArchive& aArchive,
                                      SharedBytes& aBytes)
{
  std::string text;
  aArchive(text);
  aBytes = SharedBytes(std::move(text));
}

} // namespace agatetide
