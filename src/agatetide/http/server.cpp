#include "agatetide/http/server.hpp"

#include "agatetide/base/event_log.hpp"
#include "agatetide/base/task.hpp"
#include "agatetide/http/syntax.hpp"
#include "request_reader.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <optional>
#include <set>

namespace agatetide::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

Response MakeRefusal(const Error& aReason, const std::vector<Header>& aHeaders)
{
  return MakeErrorResponse(aReason, FindHeader(aHeaders, "x-request-id"));
}

struct Server::State : std::enable_shared_from_this<Server::State>
{
  State(asio::any_io_executor aExecutor,
        ServerOptions aOptions,
        Handler aHandler)
    : mAcceptor(aExecutor)
    , mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
  {
  }

  Tcp::acceptor mAcceptor;
  ServerOptions mOptions;
  Handler mHandler;
  bool mStopping = false;
  bool mKeepAliveDisabled = false;
  /// Error for all further requests; std::nullopt if requests are handled.
  std::optional<Error> mRefusal;
  /// Connections that have served a request and wait for the next one.
  std::set<beast::tcp_stream*> mIdleConnections;
  size_t mRunningRequestCount = 0;
  size_t mConnectionCount = 0;
  ServerCounters mCounters;
  LogLimiter mBodyLog;
};

namespace {

constexpr std::chrono::milliseconds kLingerTimeout{ 1000 };
constexpr size_t kMaxLoggedTargetBytes = 80;
/// A receive buffer that became larger is freed after its request.
constexpr size_t kKeptBufferBytes = size_t{ 8 } << 10U;
/// Increments a counter and decrements it on destruction.
class ScopedCount
{
public:
  explicit ScopedCount(size_t& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }
  ~ScopedCount() { --mCount; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

private:
  size_t& mCount;
};

Request ToRequest(beast::http::request<beast::http::string_body>&& aMessage,
                  std::string aRemoteAddress)
{
  Request request;
  request.mMethod = std::string(aMessage.method_string());
  request.mTarget = std::string(aMessage.target());
  request.mHeaders.reserve(
    static_cast<size_t>(std::distance(aMessage.begin(), aMessage.end())));
  for (const auto& field : aMessage) {
    request.mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.mBody = std::move(aMessage.body());
  request.mRemoteAddress = std::move(aRemoteAddress);
  return request;
}

Error MalformedRequest(const ErrorCode& aError)
{
  if (aError == beast::http::error::body_limit) {
    return { ErrorKind::ResourceExhausted,
             "the body is too large",
             "send a smaller body" };
  }
  if (aError == beast::http::error::header_limit) {
    return { ErrorKind::ResourceExhausted,
             "the header is too large",
             "send fewer or shorter header fields" };
  }
  if (aError == beast::http::error::buffer_overflow) {
    return { ErrorKind::ResourceExhausted,
             "the trailers or a chunk extension are too large",
             "send fewer or shorter trailer fields and chunk extensions" };
  }
  return { ErrorKind::InvalidArgument,
           "the request is not valid HTTP",
           "send HTTP/1.1" };
}

template<class Body>
void FillHeader(beast::http::response<Body>& aMessage,
                const Response& aResponse,
                bool aKeepAlive)
{
  aMessage.version(11);
  if (IsFinalStatus(aResponse.mStatus)) {
    aMessage.result(aResponse.mStatus);
  } else {
    LogEvent("response_status_invalid", LogLevel::Error)
      .Field("status", aResponse.mStatus)
      .Write();
    aMessage.result(beast::http::status::internal_server_error);
  }
  for (const Header& header : aResponse.mHeaders) {
    if (auto reason = FindInvalidPart(header)) {
      LogEvent("response_header_dropped", LogLevel::Error)
        .Field("reason", *reason)
        .Write();
      continue;
    }
    aMessage.insert(header.mName, header.mValue);
  }
  aMessage.keep_alive(aKeepAlive);
}

Awaitable<bool> WriteComplete(beast::tcp_stream& aStream,
                              Response& aResponse,
                              bool aKeepAlive,
                              std::chrono::milliseconds aTimeout)
{
  const SharedBytes body = std::move(aResponse.mBody);
  beast::http::response<beast::http::span_body<const char>> message;
  FillHeader(message, aResponse, aKeepAlive);
  message.body() = { body.Data(), body.size() };
  message.prepare_payload();
  ErrorCode error;
  aStream.expires_after(aTimeout);
  co_await beast::http::async_write(
    aStream, message, asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

Error CallerDisconnected()
{
  return { ErrorKind::Unavailable,
           "the caller closed the connection",
           "none",
           Execution::Unknown };
}

Awaitable<bool> WriteStream(beast::tcp_stream& aStream,
                            Response& aResponse,
                            bool aKeepAlive,
                            std::chrono::milliseconds aTimeout)
{
  beast::http::response<beast::http::empty_body> message;
  FillHeader(message, aResponse, aKeepAlive);
  message.chunked(true);
  beast::http::response_serializer<beast::http::empty_body> serializer(message);
  ErrorCode error;
  aStream.expires_after(aTimeout);
  co_await beast::http::async_write_header(
    aStream, serializer, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return false;
  }
  const ChunkWriter writer =
    [&](std::string aChunk) -> Awaitable<Result<bool>> {
    if (aChunk.empty()) {
      co_return true; // An empty chunk would end the body.
    }
    ErrorCode writeError;
    aStream.expires_after(aTimeout);
    co_await asio::async_write(
      aStream,
      beast::http::make_chunk(asio::buffer(aChunk)),
      asio::redirect_error(asio::use_awaitable, writeError));
    if (writeError) {
      co_return CallerDisconnected();
    }
    co_return true;
  };
  aStream.expires_never();
  const Result<bool> written = co_await aResponse.mStream(writer);
  if (written.has_error()) {
    co_return false;
  }
  aStream.expires_after(aTimeout);
  co_await asio::async_write(aStream,
                             beast::http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

std::string RemoteAddress(const beast::tcp_stream& aStream)
{
  ErrorCode error;
  const auto endpoint = aStream.socket().remote_endpoint(error);
  return error ? std::string() : endpoint.address().to_string();
}

} // namespace

namespace {

/// Discards input for a limited time before the connection is closed. Closing a
/// connection with unread input resets it, and the caller may lose the error
/// response.
Awaitable<void> LingerBeforeClose(beast::tcp_stream& aStream)
{
  ErrorCode error;
  aStream.socket().shutdown(Tcp::socket::shutdown_send, error);
  std::array<char, 16384> discarded{};
  aStream.expires_after(kLingerTimeout);
  while (!error) {
    co_await aStream.async_read_some(
      asio::buffer(discarded),
      asio::redirect_error(asio::use_awaitable, error));
  }
}

/// Detects that the caller closes the connection while its request is handled.
/// Pipelined requests do not count as a disconnect.
class DisconnectMonitor
{
public:
  DisconnectMonitor(beast::tcp_stream& aStream,
                    std::shared_ptr<CallerConnection> aCaller)
    : mSocket(aStream.socket())
    , mCaller(std::move(aCaller))
    , mActive(std::make_shared<bool>(true))
  {
    mSocket.async_wait(Tcp::socket::wait_read,
                       [this, active = mActive](const ErrorCode& aError) {
                         if (*active && !aError) {
                           CheckDisconnect();
                         }
                       });
  }
  ~DisconnectMonitor()
  {
    *mActive = false;
    ErrorCode ignored;
    mSocket.cancel(ignored);
    mCaller->OnDisconnect({});
  }
  DisconnectMonitor(const DisconnectMonitor&) = delete;
  DisconnectMonitor& operator=(const DisconnectMonitor&) = delete;

private:
  void CheckDisconnect()
  {
    char byte = 0;
    ErrorCode error;
    mSocket.non_blocking(true, error);
    mSocket.receive(
      asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (error && error != asio::error::would_block) {
      mCaller->MarkDisconnected();
    }
  }

  Tcp::socket& mSocket;
  std::shared_ptr<CallerConnection> mCaller;
  std::shared_ptr<bool> mActive;
};

/// Runs the handler and turns an exception into an error response; an exception
/// that left the coroutine would terminate the process.
template<class ServerState>
Awaitable<Response> Handle(std::shared_ptr<ServerState> aState,
                           Request aRequest)
{
  const std::string id(FindHeader(aRequest.mHeaders, "x-request-id"));
  std::string reason;
  try {
    co_return co_await aState->mHandler(std::move(aRequest));
  } catch (const std::exception& error) {
    reason = error.what();
  }
  ++aState->mCounters.mHandlerFailures;
  const Error failure{ ErrorKind::Internal,
                       "the request could not be processed: " + reason,
                       "report this to the operators",
                       Execution::Unknown };
  co_return MakeErrorResponse(failure, id);
}

uint64_t UsedMemory(const ServerOptions& aOptions)
{
  if (aOptions.mMemory) {
    return aOptions.mMemory->Used();
  }
  return aOptions.mBodyBudget ? aOptions.mBodyBudget->Used() : 0;
}

/// The caller gets this in place of a response that does not fit. Its request
/// may have run.
Error ResponseDoesNotFit()
{
  return { ErrorKind::OutcomeUnknown,
           "responses that are not read take the memory of this host",
           "retry later, or at another host",
           Execution::Unknown };
}

/// Refuses a request whose body was not read to its end, and gives the caller
/// time to read the response.
template<class ServerState>
Awaitable<void> RefuseBody(std::shared_ptr<ServerState> aState,
                           beast::tcp_stream& aStream,
                           RequestParser& aParser,
                           std::shared_ptr<MemoryReservation> aMemory,
                           ConnectionHold& aHold,
                           Error aReason)
{
  ++aState->mCounters.mRefusedBodies;
  Request head = ToRequest(aParser.release(), RemoteAddress(aStream));
  head.mBodyMemory = std::move(aMemory);
  head.DropBody();
  if (aState->mBodyLog.Allow(std::chrono::steady_clock::now())) {
    LogEvent("body_refused", LogLevel::Warning)
      .Field("target", head.mTarget.substr(0, kMaxLoggedTargetBytes))
      .Field("length", FindHeader(head.mHeaders, "content-length"))
      .Field("used", UsedMemory(aState->mOptions))
      .Field("error", FormatError(aReason))
      .Field("suppressed", aState->mBodyLog.ResetSuppressedCount())
      .Write();
  }
  Response refusal = aState->mOptions.mMakeRefusal(aReason, head.mHeaders);
  head = Request(); // It is not needed while the response is written.
  aHold.Reset();
  co_await WriteComplete(
    aStream, refusal, false, aState->mOptions.mTransferTimeout);
  co_await LingerBeforeClose(aStream);
}

template<class ServerState>
Awaitable<void> Serve(std::shared_ptr<ServerState> aState,
                      beast::tcp_stream aStream,
                      std::unique_ptr<ScopedCount> /*aConnection*/)
{
  const ServerOptions& options = aState->mOptions;
  ErrorCode optionError;
  aStream.socket().set_option(Tcp::no_delay(true), optionError);
  const auto close = [&aStream] { aStream.close(); };
  ConnectionHold hold(options.mMemory,
                      options.mFromHosts ? std::function<void()>()
                                         : std::function<void()>(close));
  beast::flat_buffer buffer(MaxUnparsedBytes(options.mMaxHeaderBytes));
  bool keepAlive = true;
  bool served = false;
  while (keepAlive) {
    beast::http::request_parser<beast::http::string_body> parser;
    parser.header_limit(static_cast<uint32_t>(options.mMaxHeaderBytes));
    parser.body_limit(options.mMaxBodyBytes);
    ErrorCode error;
    hold.Reset();
    hold.SetPhase(ConnectionPhase::Ordinary);
    buffer.max_size(MaxUnparsedBytes(options.mMaxHeaderBytes));
    if (buffer.size() == 0) {
      if (buffer.capacity() > kKeptBufferBytes) {
        buffer.shrink_to_fit();
      }
      if (served && aState->mRefusal) {
        co_return;
      }
      aStream.expires_after(options.mIdleTimeout);
      if (served) {
        aState->mIdleConnections.insert(&aStream);
      }
      const size_t received = co_await aStream.async_read_some(
        buffer.prepare(4096), asio::redirect_error(asio::use_awaitable, error));
      aState->mIdleConnections.erase(&aStream);
      buffer.commit(received);
      if (error) {
        co_return;
      }
    }
    served = true;
    const ScopedCount running(aState->mRunningRequestCount);
    aStream.expires_after(options.mTransferTimeout);
    const auto memory =
      std::make_shared<MemoryReservation>(options.mBodyBudget);
    hold.SetPhase(ConnectionPhase::Receiving);
    const RequestTarget target{
      buffer,  parser, options.mMaxHeaderLines, options.mBodyBudget.get(),
      *memory, hold
    };
    auto refused = co_await ReadRequest(aStream, target, error);
    if (hold.IsClosed()) {
      co_return;
    }
    hold.SetPhase(ConnectionPhase::Ordinary);
    if (refused) {
      buffer = beast::flat_buffer();
      co_await RefuseBody(
        aState, aStream, parser, memory, hold, std::move(*refused));
      co_return;
    }
    if (error == beast::error::timeout) {
      ++aState->mCounters.mSlowRequests;
      co_return;
    }
    if (error == beast::http::error::end_of_stream ||
        error == asio::error::connection_reset) {
      co_return;
    }
    if (error) {
      ++aState->mCounters.mMalformedRequests;
      Response refusal = MakeErrorResponse(MalformedRequest(error), "");
      buffer = beast::flat_buffer();
      memory->Reset();
      hold.Reset();
      co_await WriteComplete(aStream, refusal, false, options.mTransferTimeout);
      co_await LingerBeforeClose(aStream);
      co_return;
    }
    keepAlive = parser.get().keep_alive();
    aStream.expires_never();
    Request request = ToRequest(parser.release(), RemoteAddress(aStream));
    request.mCaller = std::make_shared<CallerConnection>();
    request.mBodyMemory = memory;
    const auto caller = request.mCaller;
    std::optional<DisconnectMonitor> monitor;
    monitor.emplace(aStream, caller);
    Response response;
    if (aState->mRefusal) {
      response = MakeRefusal(*aState->mRefusal, request.mHeaders);
    } else {
      response = co_await Handle(aState, std::move(request));
    }
    if (!response.mStream) {
      monitor.reset();
    }
    if (caller->IsDisconnected()) {
      co_return;
    }
    if (!response.mStream) {
      // The request has ended; what is left is the response.
      memory->Reset();
      hold.Reset();
      hold.SetPhase(ConnectionPhase::Writing);
      // Bytes that other responses share are counted by themselves.
      const size_t heldBytes = options.mFromHosts ? 0 : response.mBody.size();
      const size_t responseBytes = response.mBody.IsCounted() ? 0 : heldBytes;
      const bool fits = co_await TakeResponseMemory(hold, responseBytes);
      hold.SetBodyBytes(heldBytes - responseBytes);
      if (hold.IsClosed()) {
        co_return;
      }
      if (!fits) {
        ++aState->mCounters.mDroppedResponses;
        LogEvent("response_dropped", LogLevel::Warning)
          .Field("bytes", static_cast<uint64_t>(responseBytes))
          .Field("used", UsedMemory(options))
          .Write();
        response = options.mMakeRefusal(ResponseDoesNotFit(), {});
      }
    }
    keepAlive = keepAlive && !aState->mStopping &&
                !aState->mKeepAliveDisabled && !aState->mRefusal;
    const bool written =
      response.mStream
        ? co_await WriteStream(
            aStream, response, keepAlive, options.mTransferTimeout)
        : co_await WriteComplete(
            aStream, response, keepAlive, options.mTransferTimeout);
    monitor.reset();
    if (!written) {
      co_return;
    }
  }
  ErrorCode ignored;
  aStream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

template<class ServerState>
void Start(const std::shared_ptr<ServerState>& aState, Tcp::socket aSocket)
{
  if (aState->mConnectionCount >= aState->mOptions.mMaxConnections) {
    ++aState->mCounters.mRefusedConnections;
    return;
  }
  ++aState->mCounters.mAccepted;
  asio::co_spawn(aState->mAcceptor.get_executor(),
                 Serve(aState,
                       beast::tcp_stream(std::move(aSocket)),
                       std::make_unique<ScopedCount>(aState->mConnectionCount)),
                 LogFailure("serve_connection"));
}

template<class ServerState>
Awaitable<void> Accept(std::shared_ptr<ServerState> aState)
{
  while (!aState->mStopping) {
    ErrorCode error;
    Tcp::socket socket = co_await aState->mAcceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted || aState->mStopping) {
      co_return;
    }
    if (error) {
      // For example out of file descriptors: waits until some are closed.
      asio::steady_timer timer(aState->mAcceptor.get_executor(),
                               std::chrono::milliseconds(50));
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    Start(aState, std::move(socket));
  }
}

} // namespace

Result<std::unique_ptr<Server>> Server::Create(asio::any_io_executor aExecutor,
                                               ServerOptions aOptions,
                                               Handler aHandler)
{
  ErrorCode error;
  const auto address = asio::ip::make_address(aOptions.mAddress, error);
  if (error) {
    return Error{ ErrorKind::InvalidArgument,
                  "\"" + aOptions.mAddress + "\" is not an IP address",
                  "use an IP address of this host" };
  }
  const uint16_t port = aOptions.mPort;
  auto state = std::make_shared<State>(
    aExecutor, std::move(aOptions), std::move(aHandler));
  const Tcp::endpoint endpoint(address, port);
  state->mAcceptor.open(endpoint.protocol(), error);
  if (!error) {
    state->mAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    state->mAcceptor.bind(endpoint, error);
  }
  if (!error) {
    state->mAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Error{
      ErrorKind::Unavailable,
      "cannot listen on " + address.to_string() + ":" + std::to_string(port) +
        ": " + error.message(),
      "stop the process that uses the address or choose another one"
    };
  }
  SpawnSupervised(aExecutor, "accept", [state] { return Accept(state); });
  return std::unique_ptr<Server>(new Server(std::move(state)));
}

Server::Server(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

Server::~Server()
{
  StopAccepting();
}

uint16_t Server::Port() const
{
  ErrorCode error;
  return mState->mAcceptor.local_endpoint(error).port();
}

void Server::DisableKeepAlive()
{
  mState->mKeepAliveDisabled = true;
}

void Server::RefuseRequests(Error aReason)
{
  mState->mRefusal = std::move(aReason);
  for (beast::tcp_stream* stream : mState->mIdleConnections) {
    stream->cancel();
  }
}

void Server::StopAccepting()
{
  mState->mStopping = true;
  // Takes the connections that the kernel has accepted already, so that their
  // requests get a response instead of a reset.
  ErrorCode error;
  mState->mAcceptor.non_blocking(true, error);
  while (!error) {
    Tcp::socket socket = mState->mAcceptor.accept(error);
    if (!error) {
      Start(mState, std::move(socket));
    }
  }
  mState->mAcceptor.close(error);
}

void Server::SetLimits(const ServerLimits& aLimits)
{
  mState->mOptions.mMaxHeaderBytes = aLimits.mMaxHeaderBytes;
  mState->mOptions.mMaxBodyBytes = aLimits.mMaxBodyBytes;
  mState->mOptions.mIdleTimeout = aLimits.mIdleTimeout;
}

size_t Server::RunningRequestCount() const
{
  return mState->mRunningRequestCount;
}

size_t Server::ConnectionCount() const
{
  return mState->mConnectionCount;
}

ServerCounters Server::Counters() const
{
  return mState->mCounters;
}

} // namespace agatetide::http
