#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/daemon/traffic.hpp"
#include "agatetide/v1/service.pb.h"

namespace agatetide::daemon {

/// @brief The operators' calls. Owned by the traffic thread.
class Admin
{
public:
  explicit Admin(TrafficContext& aContext)
    : mContext(aContext)
  {
  }

  /// @brief Stores an object and waits until it is in force everywhere.
  /// Errors: InvalidArgument, Conflict, NotConfirmed, Unavailable.
  Awaitable<Result<v1::PutResponse>> Put(v1::PutRequest aRequest);
  Awaitable<Result<v1::PutResponse>> Delete(v1::DeleteRequest aRequest);
  Result<v1::ListResponse> List(const v1::ListRequest& aRequest) const;
  Awaitable<Result<v1::GrantKeyResponse>> GrantKey(
    v1::GrantKeyRequest aRequest);
  Awaitable<Result<v1::PutResponse>> WithdrawKey(
    v1::WithdrawKeyRequest aRequest);
  Result<v1::CheckSchemaResponse> CheckSchema(
    const v1::CheckSchemaRequest& aRequest) const;
  v1::StatusResponse Status() const;
  Awaitable<Result<v1::UsageResponse>> Usage(v1::UsageRequest aRequest);

private:
  Awaitable<Result<v1::PutResponse>> Store(std::string aKey,
                                           std::string aValue,
                                           bool aDeleted,
                                           int64_t aExpectedVersion,
                                           std::string aChangeId);

  TrafficContext& mContext;
};

} // namespace agatetide::daemon
