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

/// @brief Returns a StoreCall that uses the JSON gateway of etcd v3.
///
/// Requests go to the endpoint that responded last. After a failure they are
/// sent to the next endpoint, writes only if the failed endpoint has not run
/// them.
///
/// Preconditions: there is at least one endpoint; aClient outlives the returned
/// function, which must be called from the client's executor.
coordination::StoreCall MakeEtcdStore(http::Client& aClient,
                                      EtcdStoreOptions aOptions);

/// @brief An encoded request to the gateway. This type and the following
/// functions are also used by the test double of the store.
struct GatewayRequest
{
  std::string mPath;
  std::string mBody;
};
GatewayRequest EncodeGatewayRequest(const coordination::StoreRequest& aRequest);
Result<coordination::StoreReply> DecodeGatewayReply(std::string_view aBody);
Result<coordination::StoreRequest> DecodeGatewayRequest(std::string_view aPath,
                                                        std::string_view aBody);
std::string EncodeGatewayReply(const coordination::StoreRequest& aRequest,
                               const coordination::StoreReply& aReply);

} // namespace agatetide::clients
