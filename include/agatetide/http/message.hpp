#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/error.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace agatetide::http {

struct Header
{
  std::string mName;
  std::string mValue;
};

/// @brief Tells a handler that its caller has closed the connection.
/// Not thread-safe; owned by the server's executor.
class CallerConnection
{
public:
  /// @brief Whether the caller has gone.
  bool Disconnected() const { return mGone; }

  /// @brief Sets what to do when the caller goes; called at most once, and
  /// at once if the caller has gone already. An empty function clears it.
  void OnDisconnect(std::function<void()> aNotify);

  /// @brief Called by the server.
  void MarkDisconnected();

private:
  bool mGone = false;
  std::function<void()> mNotify;
};

/// @brief A request with its whole body.
struct Request
{
  std::string mMethod = "POST";
  std::string mTarget = "/";
  std::vector<Header> mHeaders;
  std::string mBody;
  /// Address of the sender; filled in by the server.
  std::string mRemoteAddress;
  /// Filled in by the server; null in requests that are sent.
  std::shared_ptr<CallerConnection> mCaller;
};

/// @brief Writes one chunk of a streamed answer.
/// Errors: Unavailable when the caller has gone.
using ChunkWriter = std::function<Awaitable<Result<bool>>(std::string)>;

/// @brief An answer: a whole body, or a stream when mStream is set.
struct Response
{
  unsigned mStatus = 200;
  std::vector<Header> mHeaders;
  std::string mBody;
  /// Writes the body chunk by chunk. An error cuts the connection, so that
  /// the caller sees an incomplete answer and not a short one.
  std::function<Awaitable<Result<bool>>(ChunkWriter)> mStream;
};

/// @brief The value of the first header with this name, compared without
/// regard to case, or an empty view.
std::string_view FindHeader(const std::vector<Header>& aHeaders,
                            std::string_view aName);

/// @brief An answer with a content type.
Response MakeResponse(unsigned aStatus,
                      std::string_view aContentType,
                      std::string aBody);

/// @brief The JSON error body and status of the Connect protocol.
Response MakeErrorResponse(const Error& aError, std::string_view aRequestId);

/// @brief Reads an error from an answer that is not 200.
Error ParseErrorResponse(const Response& aResponse);

/// @brief Splits "address:port". Errors: InvalidArgument.
struct Endpoint
{
  std::string mAddress;
  uint16_t mPort = 0;
};
Result<Endpoint> ParseEndpoint(std::string_view aText);

} // namespace agatetide::http
