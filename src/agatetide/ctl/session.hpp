#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/http/message.hpp"

#include <google/protobuf/message.h>

#include <chrono>
#include <string>
#include <vector>

namespace agatetide::ctl {

/// @brief Hosts, key and timeout of a session.
struct SessionOptions
{
  /// Tried in order, as long as the request is known not to have run.
  std::vector<http::Endpoint> mHosts;
  std::string mKey;
  std::chrono::milliseconds mTimeout{ 30000 };
};

/// @brief One call with an encoded body.
struct RawCall
{
  /// "package.Service/Method".
  std::string mMethod;
  std::string mBody;
  std::string mContentType = "application/json";
  std::string mRequestId;
};

/// @brief Sends calls to the daemons, one at a time. Blocks; not thread-safe.
class Session
{
public:
  explicit Session(SessionOptions aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  /// @brief Sends a call and returns the body of the response. Tries the next
  /// host only if the call failed as unavailable and is known not to have run.
  /// Errors: those of the client and of the service.
  Result<std::string> Send(const RawCall& aCall) const;

  /// @brief Calls a built-in method with typed messages.
  template<class Response>
  Result<Response> Invoke(const std::string& aMethod,
                          const google::protobuf::Message& aRequest) const
  {
    const auto body = Send({ "agatetide.v1." + aMethod,
                             aRequest.SerializeAsString(),
                             "application/proto",
                             "" });
    if (body.has_error()) {
      return body.error();
    }
    Response response;
    if (!response.ParseFromString(*body)) {
      return Error{ ErrorKind::DataLoss,
                    "the response of " + aMethod + " cannot be parsed",
                    "use the same version of agatetidectl as the daemons",
                    Execution::Unknown };
    }
    return response;
  }

private:
  SessionOptions mOptions;
};

} // namespace agatetide::ctl
