#include "agatetide/http/message.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace agatetide::http {

namespace {

unsigned HttpStatus(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::InvalidArgument:
      return 400;
    case ErrorKind::Unauthenticated:
      return 401;
    case ErrorKind::PermissionDenied:
      return 403;
    case ErrorKind::NotFound:
      return 404;
    case ErrorKind::Conflict:
      return 409;
    case ErrorKind::ResourceExhausted:
      return 429;
    case ErrorKind::TooLarge:
      return 413;
    case ErrorKind::Canceled:
      return 499;
    case ErrorKind::Unavailable:
    case ErrorKind::NotConfirmed:
      return 503;
    case ErrorKind::DeadlineExceeded:
      return 504;
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::DataLoss:
      return 502;
    case ErrorKind::Internal:
      break;
  }
  return 500;
}

} // namespace

void CallerConnection::OnDisconnect(std::function<void()> aCallback)
{
  mCallback = std::move(aCallback);
  if (mDisconnected && mCallback) {
    std::exchange(mCallback, nullptr)();
  }
}

void CallerConnection::MarkDisconnected()
{
  mDisconnected = true;
  if (mCallback) {
    std::exchange(mCallback, nullptr)();
  }
}

std::string_view FindHeader(const std::vector<Header>& aHeaders,
                            std::string_view aName)
{
  for (const Header& header : aHeaders) {
    if (boost::beast::iequals(header.mName, aName)) {
      return header.mValue;
    }
  }
  return {};
}

Response MakeResponse(unsigned aStatus,
                      std::string_view aContentType,
                      SharedBytes aBody)
{
  Response response;
  response.mStatus = aStatus;
  response.mHeaders.push_back({ "content-type", std::string(aContentType) });
  response.mBody = std::move(aBody);
  return response;
}

Response MakeErrorResponse(const Error& aError, std::string_view aRequestId)
{
  const nlohmann::json body = { { "code", ErrorKindName(aError.mKind) },
                                { "message", aError.mMessage },
                                { "remedy", aError.mRemedy },
                                { "execution",
                                  ExecutionName(aError.mExecution) },
                                { "request_id", aRequestId } };
  return MakeResponse(
    HttpStatus(aError.mKind),
    "application/json",
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

Error ParseErrorResponse(const Response& aResponse)
{
  const auto body = nlohmann::json::parse(aResponse.mBody, nullptr, false);
  if (!body.is_object() || !body.contains("code")) {
    return { ErrorKind::Internal,
             "HTTP status " + std::to_string(aResponse.mStatus),
             "see the server's log",
             Execution::Unknown };
  }
  const auto text = [&](const char* aName) {
    const auto found = body.find(aName);
    return found != body.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
  };
  return { ErrorKindFromName(text("code")),
           text("message"),
           text("remedy"),
           ExecutionFromName(text("execution")) };
}

Result<Endpoint> ParseEndpoint(std::string_view aText)
{
  const Error invalid{
    ErrorKind::InvalidArgument,
    "\"" + std::string(aText) + "\" is not an endpoint",
    "use an IP address and a port, for example 127.0.0.1:7000"
  };
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return invalid;
  }
  Endpoint endpoint;
  endpoint.mAddress = aText.substr(0, colon);
  const std::string_view port = aText.substr(colon + 1);
  const auto parsed =
    std::from_chars(port.data(), port.data() + port.size(), endpoint.mPort);
  boost::system::error_code addressError;
  boost::asio::ip::make_address(endpoint.mAddress, addressError);
  if (addressError || parsed.ec != std::errc() ||
      parsed.ptr != port.data() + port.size()) {
    return invalid;
  }
  return endpoint;
}

} // namespace agatetide::http
