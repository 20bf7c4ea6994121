#pragma once

#include "agatetide/coordination/store.hpp"
#include "agatetide/http/client.hpp"

#include <chrono>
#include <vector>

namespace agatetide::clients {

struct EtcdStoreOptions
{
  std::vector<http::Endpoint> mEndpoints;
  std::chrono::milliseconds mTimeout{ 1500 };
};

/// @brief A StoreCall that speaks etcd v3's JSON gateway.
///
/// Requests go to the endpoint that answered last; the next one is used only
/// when nothing was sent. Precondition: at least one endpoint, and aClient
/// outlives the returned hook, which is used from the client's executor.
coordination::StoreCall MakeEtcdStore(http::Client& aClient,
                                      EtcdStoreOptions aOptions);

/// @brief Parts of the gateway's protocol that the test double shares.
struct GatewayRequest
{
  std::string mPath;
  std::string mBody;
};
GatewayRequest EncodeStoreRequest(const coordination::StoreRequest& aRequest);
Result<coordination::StoreReply> DecodeStoreReply(std::string_view aBody);
Result<coordination::StoreRequest> DecodeStoreRequest(std::string_view aPath,
                                                      std::string_view aBody);
std::string EncodeStoreReply(const coordination::StoreRequest& aRequest,
                             const coordination::StoreReply& aReply);

} // namespace agatetide::clients
