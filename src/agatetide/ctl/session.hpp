#pragma once

#include "agatetide/base/error.hpp"
#include "agatetide/http/message.hpp"

#include <google/protobuf/message.h>

#include <chrono>
#include <string>
#include <vector>

namespace agatetide::ctl {

/// @brief Where and as whom the tool calls.
struct SessionOptions
{
  /// Tried in order while a request is known not to have run.
  std::vector<http::Endpoint> mHosts;
  std::string mKey;
  std::chrono::milliseconds mTimeout{ 30000 };
};

struct RawCall
{
  std::string mMethod;
  std::string mBody;
  std::string mContentType = "application/json";
  std::string mRequestId;
};

/// @brief Sends calls one at a time. Blocks; not thread-safe.
class Session
{
public:
  explicit Session(SessionOptions aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  /// @brief Sends a call to the first host that takes it and returns the
  /// body of its answer. Errors: those of the client and of the service.
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
                    "the answer of " + aMethod + " cannot be read",
                    "use the version of agatetidectl that the daemons have",
                    Execution::Unknown };
    }
    return response;
  }

private:
  SessionOptions mOptions;
};

} // namespace agatetide::ctl
