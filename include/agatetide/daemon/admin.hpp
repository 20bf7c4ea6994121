#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/daemon/traffic.hpp"
#include "agatetide/v1/service.pb.h"

namespace agatetide::daemon {

/// @brief Implements the Admin service for operators. Owned by the traffic
/// thread.
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
  /// @brief Deletes an object. Waits and fails like Put().
  Awaitable<Result<v1::PutResponse>> Delete(v1::DeleteRequest aRequest);
  /// @brief Lists objects of this daemon's configuration copy, without the
  /// salts and digests of keys.
  Result<v1::ListResponse> List(const v1::ListRequest& aRequest) const;
  /// @brief Creates a key. Waits and fails like Put(); NotFound for an unknown
  /// account.
  Awaitable<Result<v1::GrantKeyResponse>> GrantKey(
    v1::GrantKeyRequest aRequest);
  /// @brief Withdraws a key. Waits and fails like Put(); NotFound for an
  /// unknown key.
  Awaitable<Result<v1::PutResponse>> WithdrawKey(
    v1::WithdrawKeyRequest aRequest);
  /// @brief Validates a schema file together with the loaded ones, and compares
  /// its methods with theirs. Errors: InvalidArgument.
  Result<v1::CheckSchemaResponse> CheckSchema(
    const v1::CheckSchemaRequest& aRequest) const;
  /// @brief The deployment as this daemon sees it.
  v1::StatusResponse Status() const;

  /// @brief Usage in the most recent sealed windows. Errors: those of
  /// the store.
  Awaitable<Result<v1::UsageResponse>> Usage(v1::UsageRequest aRequest);

private:
  Awaitable<Result<v1::PutResponse>> ChangeObject(std::string aKey,
                                                  std::string aValue,
                                                  bool aDeleted,
                                                  int64_t aExpectedVersion,
                                                  std::string aChangeId);

  TrafficContext& mContext;
};

} // namespace agatetide::daemon
