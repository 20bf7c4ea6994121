#pragma once

#include "agatetide/coordination/store.hpp"

#include <string>
#include <string_view>

namespace agatetide::coordination {

/// @brief Serialisation of store requests and replies, for daemons that call
/// the store on behalf of other daemons. Decoding errors: InvalidArgument.
std::string Encode(const StoreRequest& aRequest);
std::string Encode(const StoreReply& aReply);
Result<StoreRequest> DecodeStoreRequest(std::string_view aBytes);
Result<StoreReply> DecodeStoreReply(std::string_view aBytes);

} // namespace agatetide::coordination
