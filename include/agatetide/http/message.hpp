#pragma once

#include "agatetide/base/awaitable.hpp"
#include "agatetide/base/error.hpp"
#include "agatetide/base/memory_budget.hpp"
#include "agatetide/base/shared_bytes.hpp"

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

/// @brief Tells a request handler when its caller closes the connection.
/// Not thread-safe: must be used on the server's executor.
class CallerConnection
{
public:
  /// @brief Whether the caller has closed the connection.
  bool IsDisconnected() const { return mDisconnected; }

  /// @brief Sets the callback for the disconnect. It is called at most once,
  /// and immediately if the caller has disconnected already. An empty function
  /// clears it.
  void OnDisconnect(std::function<void()> aCallback);

  /// @brief Called by the server.
  void MarkDisconnected();

private:
  bool mDisconnected = false;
  std::function<void()> mCallback;
};

/// @brief A request with its complete body.
struct Request
{
  std::string mMethod = "POST";
  std::string mTarget = "/";
  std::vector<Header> mHeaders;
  SharedBytes mBody;
  /// IP address of the sender; set by the server.
  std::string mRemoteAddress;
  /// Set by the server; null in requests that a client sends.
  std::shared_ptr<CallerConnection> mCaller;
  /// What the body takes from the server's budget; null if the server has none.
  /// Returned at the latest when the response is written.
  std::shared_ptr<MemoryReservation> mBodyMemory;

  /// @brief Frees the body and returns its memory to the budget.
  void DropBody()
  {
    mBody.Reset();
    if (mBodyMemory) {
      mBodyMemory->Reset();
    }
  }
};

/// @brief Writes one chunk of a streamed response body.
/// Errors: Unavailable if the caller has closed the connection. The value is
/// always true.
using ChunkWriter = std::function<Awaitable<Result<bool>>(std::string)>;

/// @brief A response with a complete body, or with a streamed one if mStream
/// is set.
struct Response
{
  unsigned mStatus = 200;
  std::vector<Header> mHeaders;
  SharedBytes mBody;
  /// Writes the body chunk by chunk; the server still tells Request::mCaller of
  /// a disconnect meanwhile. If it returns an error, the connection is
  /// closed without the final chunk, so that the caller notices that the
  /// response is incomplete.
  std::function<Awaitable<Result<bool>>(ChunkWriter)> mStream;
};

/// @brief Returns the value of the first header with this name, which is
/// compared case-insensitively, or an empty view if there is none.
std::string_view FindHeader(const std::vector<Header>& aHeaders,
                            std::string_view aName);

/// @brief Returns a response with a body of the given content type.
Response MakeResponse(unsigned aStatus,
                      std::string_view aContentType,
                      SharedBytes aBody);

/// @brief Returns a response with the status and the JSON error body of the
/// Connect protocol.
Response MakeErrorResponse(const Error& aError, std::string_view aRequestId);

/// @brief Parses the error in a response whose status is not 200.
Error ParseErrorResponse(const Response& aResponse);

/// @brief An IP address and a port.
struct Endpoint
{
  std::string mAddress;
  uint16_t mPort = 0;
};

/// @brief Parses "address:port". Errors: InvalidArgument.
Result<Endpoint> ParseEndpoint(std::string_view aText);

} // namespace agatetide::http
