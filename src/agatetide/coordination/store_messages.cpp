#include "agatetide/coordination/store_messages.hpp"

#include "agatetide/coordination/store_archive.hpp"

namespace agatetide::coordination {

namespace {

/// Decodes a request of the alternative that its first byte gives.
template<size_t Index>
Result<StoreRequest> DecodeAlternative(std::string_view aBytes)
{
  using Alternative = std::variant_alternative_t<Index, StoreRequest>;
  auto request = DecodePortable<Alternative>(
    aBytes, "a store request of another daemon", ErrorKind::InvalidArgument);
  if (request.has_error()) {
    return request.error();
  }
  return StoreRequest(std::move(*request));
}

template<size_t... Indices>
Result<StoreRequest> DecodeByIndex(size_t aIndex,
                                   std::string_view aBytes,
                                   std::index_sequence<Indices...>)
{
  Result<StoreRequest> request = Error{ ErrorKind::InvalidArgument,
                                        "a store request of unknown type",
                                        "run the same version on all hosts" };
  ((aIndex == Indices
      ? static_cast<void>(request = DecodeAlternative<Indices>(aBytes))
      : static_cast<void>(0)),
   ...);
  return request;
}

} // namespace

std::string Encode(const StoreRequest& aRequest)
{
  return std::visit(
    [&](const auto& aAlternative) {
      return static_cast<char>(aRequest.index()) + EncodePortable(aAlternative);
    },
    aRequest);
}

std::string Encode(const StoreReply& aReply)
{
  return EncodePortable(aReply);
}

Result<StoreRequest> DecodeStoreRequest(std::string_view aBytes)
{
  const size_t index = aBytes.empty()
                         ? std::variant_npos
                         : static_cast<unsigned char>(aBytes.front());
  aBytes.remove_prefix(std::min<size_t>(1, aBytes.size()));
  return DecodeByIndex(
    index,
    aBytes,
    std::make_index_sequence<std::variant_size_v<StoreRequest>>());
}

Result<StoreReply> DecodeStoreReply(std::string_view aBytes)
{
  return DecodePortable<StoreReply>(
    aBytes, "a store reply of another daemon", ErrorKind::InvalidArgument);
}

} // namespace agatetide::coordination
