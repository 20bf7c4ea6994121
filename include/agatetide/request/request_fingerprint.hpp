#pragma once

#include "agatetide/request/upstream.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace agatetide::request {

/// @brief Identifies requests that are the same for a replica: those of one
/// client account with the same HTTP host, method, target and body, whatever
/// their ids, deadlines and other headers. Not thread-safe.
class RequestFingerprint
{
public:
  /// Precondition: aRequest outlives the object and keeps these parts.
  RequestFingerprint(const UpstreamRequest& aRequest,
                     std::string_view aHttpHost);

  /// @brief A hash that leaves the bytes of the body out, so that it is cheap
  /// for large bodies. Different requests may have the same.
  uint64_t ShortHash();

  /// @brief 32 hexadecimal digits of a SHA-256 digest, so that no caller can
  /// build a request that is taken for that of another one. Computed at the
  /// first call.
  const std::string& Digest();

private:
  std::string Head() const;

  const UpstreamRequest& mRequest;
  std::string mHttpHost;
  std::optional<uint64_t> mShortHash;
  std::string mDigest;
};

} // namespace agatetide::request
