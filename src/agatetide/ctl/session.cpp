#include "agatetide/ctl/session.hpp"

#include "agatetide/http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>

namespace agatetide::ctl {

namespace {

Result<http::Response> SendOnce(const http::Endpoint& aHost,
                                const http::Request& aRequest,
                                std::chrono::milliseconds aTimeout)
{
  boost::asio::io_context context(1);
  const auto client = http::Client::Create(context.get_executor());
  std::optional<Result<http::Response>> response;
  const http::CallOptions options{ std::chrono::steady_clock::now() +
                                   aTimeout };
  boost::asio::co_spawn(
    context,
    [&]() -> Awaitable<void> {
      response = co_await client->Call(aHost, aRequest, options);
    },
    boost::asio::detached);
  context.run();
  return std::move(*response);
}

http::Request MakeRequest(const RawCall& aCall, const SessionOptions& aOptions)
{
  http::Request request;
  request.mTarget = "/" + aCall.mMethod;
  request.mHeaders.push_back({ "content-type", aCall.mContentType });
  request.mHeaders.push_back(
    { "connect-timeout-ms", std::to_string(aOptions.mTimeout.count()) });
  if (!aOptions.mKey.empty()) {
    request.mHeaders.push_back({ "authorization", "Bearer " + aOptions.mKey });
  }
  if (!aCall.mRequestId.empty()) {
    request.mHeaders.push_back({ "x-request-id", aCall.mRequestId });
  }
  request.mBody = aCall.mBody;
  return request;
}

} // namespace

Result<std::string> Session::Send(const RawCall& aCall) const
{
  const http::Request request = MakeRequest(aCall, mOptions);
  Error error{ ErrorKind::InvalidArgument,
               "no host is given",
               "pass --host or set AGATETIDE_HOST" };
  for (const http::Endpoint& host : mOptions.mHosts) {
    const auto response = SendOnce(host, request, mOptions.mTimeout);
    if (response.has_value() && response->mStatus == 200) {
      return std::string(response->mBody);
    }
    error = response.has_error() ? response.error()
                                 : http::ParseErrorResponse(*response);
    if (error.mKind != ErrorKind::Unavailable ||
        error.mExecution != Execution::NotRun) {
      break;
    }
  }
  return error;
}

} // namespace agatetide::ctl
