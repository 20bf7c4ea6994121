#include "agatetide/http/client.hpp"

#include "agatetide/http/connection_pool.hpp"
#include "agatetide/http/syntax.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>
#include <optional>

namespace agatetide::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

/// Interim responses (1xx) before the final one.
constexpr unsigned kMaxInterimResponses = 8;
/// Only bodies of responses with this status are streamed; others are
/// collected in memory.
constexpr unsigned kStreamedStatus = 200;

Error ConnectError(const Endpoint& aEndpoint, const ErrorCode& aError)
{
  const bool timedOut = aError == beast::error::timeout;
  return { timedOut ? ErrorKind::DeadlineExceeded : ErrorKind::Unavailable,
           "cannot reach " + aEndpoint.mAddress + ":" +
             std::to_string(aEndpoint.mPort) + ": " + aError.message(),
           "check that the process is running, or use another address",
           Execution::NotRun };
}

Error InvalidRequest(std::string aReason)
{
  return { ErrorKind::InvalidArgument,
           std::move(aReason),
           "correct the request",
           Execution::NotRun };
}

Error NoOpenConnection(const Endpoint& aEndpoint)
{
  return { ErrorKind::Unavailable,
           "no connection to " + aEndpoint.mAddress + ":" +
             std::to_string(aEndpoint.mPort) + " is open",
           "use another address",
           Execution::NotRun };
}

Error TransferError(const Endpoint& aEndpoint, const ErrorCode& aError)
{
  const bool timedOut = aError == beast::error::timeout;
  return { timedOut ? ErrorKind::DeadlineExceeded : ErrorKind::OutcomeUnknown,
           "no complete response from " + aEndpoint.mAddress + ":" +
             std::to_string(aEndpoint.mPort) + ": " + aError.message(),
           "the request may have run; repeat it only if it is idempotent",
           Execution::Unknown };
}

/// Whether a connection ended since its server's kernel is not reached.
bool IsUnacknowledged(const ErrorCode& aError)
{
  return aError == asio::error::timed_out ||
         aError == asio::error::host_unreachable;
}

Error CanceledError(Execution aExecution = Execution::Unknown)
{
  return { ErrorKind::Canceled, "the call was canceled", "none", aExecution };
}

Error IncompleteResponse(const Endpoint& aEndpoint)
{
  return { ErrorKind::DataLoss,
           "the response from " + aEndpoint.mAddress + ":" +
             std::to_string(aEndpoint.mPort) + " is incomplete or too long",
           "the request may have run; repeat it only if it is idempotent",
           Execution::Unknown };
}

Error InvalidStatus(const Endpoint& aEndpoint, unsigned aStatus)
{
  return { ErrorKind::DataLoss,
           "the response from " + aEndpoint.mAddress + ":" +
             std::to_string(aEndpoint.mPort) + " has the status " +
             std::to_string(aStatus) + ", which answers no request",
           "the request may have run; repeat it only if it is idempotent",
           Execution::Unknown };
}

/// A message that refers to the body of its request.
using OutgoingRequest =
  beast::http::request<beast::http::span_body<const char>>;

/// Precondition: the body of the request outlives the message.
OutgoingRequest ToMessage(const Endpoint& aEndpoint, const Request& aRequest)
{
  OutgoingRequest message;
  message.version(11);
  message.method_string(aRequest.mMethod);
  message.target(aRequest.mTarget);
  const std::string_view host = FindHeader(aRequest.mHeaders, "host");
  message.set(beast::http::field::host,
              host.empty()
                ? aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort)
                : std::string(host));
  for (const Header& header : aRequest.mHeaders) {
    if (!beast::iequals(header.mName, "host")) {
      message.insert(header.mName, header.mValue);
    }
  }
  message.body() = { aRequest.mBody.Data(), aRequest.mBody.size() };
  message.keep_alive(true);
  message.prepare_payload();
  return message;
}

template<class Fields>
Response ToResponse(const Fields& aMessage)
{
  Response response;
  response.mStatus = aMessage.result_int();
  for (const auto& field : aMessage) {
    response.mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return response;
}

/// Whether the header of a response announces a body.
template<class Fields>
bool HasBodyFields(const Fields& aMessage)
{
  return aMessage.find(beast::http::field::content_length) != aMessage.end() ||
         aMessage.find(beast::http::field::transfer_encoding) != aMessage.end();
}

/// Whether a response has no body whatever its header announces.
constexpr bool NeverHasBody(unsigned aStatus)
{
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aStatus == kNoContent || aStatus == kNotModified;
}

/// How long an idle connection may be reused: the server's keep-alive timeout
/// minus a margin, so that no request is under way when the server closes it.
std::chrono::milliseconds KeepAliveTimeout(const Response& aResponse)
{
  constexpr std::chrono::milliseconds kMargin{ 300 };
  constexpr std::string_view kKey = "timeout=";
  const std::string_view text = FindHeader(aResponse.mHeaders, "keep-alive");
  const size_t found = text.find(kKey);
  unsigned seconds = 0;
  if (found != std::string_view::npos) {
    const std::string_view digits = text.substr(found + kKey.size());
    const auto read =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (read.ec == std::errc()) {
      return std::chrono::seconds(seconds) - kMargin;
    }
  }
  return std::chrono::hours(1);
}

Error BufferLimitExceeded()
{
  return { ErrorKind::ResourceExhausted,
           "the responses being read take too much memory",
           "send fewer requests at once, or allow more memory",
           Execution::Unknown };
}

/// Reads one response from a connection. The server is not trusted: memory and
/// time are limited whatever it sends.
class ResponseReader
{
public:
  ResponseReader(Connection& aConnection,
                 Endpoint aEndpoint,
                 const CallOptions& aOptions,
                 size_t aMaxBodyBytes,
                 bool aIsHead)
    : mConnection(aConnection)
    , mEndpoint(std::move(aEndpoint))
    , mOptions(aOptions)
    , mMaxBodyBytes(aMaxBodyBytes)
    , mIsHead(aIsHead)
    , mExpiry(aOptions.mDeadline)
  {
    RestartIdleTimeout();
  }

  /// Reads status and header of the final response.
  Awaitable<Result<Response>> ReadHeader()
  {
    for (unsigned count = 0; count <= kMaxInterimResponses; ++count) {
      mParser.emplace();
      mParser->body_limit(mMaxBodyBytes);
      mParser->skip(mIsHead);
      ErrorCode error;
      co_await beast::http::async_read_header(
        mConnection.mStream,
        mConnection.mBuffer,
        *mParser,
        asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        mError = error;
        co_return UnlessAborted(TransferError(mEndpoint, error));
      }
      const unsigned status = mParser->get().result_int();
      if (IsInterimStatus(status) && !HasBodyFields(mParser->get())) {
        continue;
      }
      if (!IsFinalStatus(status)) {
        // What follows may be a body, so it is not read as a response.
        co_return InvalidStatus(mEndpoint, status);
      }
      if (mParser->get().need_eof() && !mOptions.mAllowCloseDelimited) {
        // Without a length or chunked encoding, a truncated body cannot be
        // told from a complete one.
        co_return IncompleteResponse(mEndpoint);
      }
      RestartIdleTimeout();
      co_return ToResponse(mParser->get());
    }
    co_return IncompleteResponse(mEndpoint);
  }

  /// Passes the body to aSink piece by piece.
  Awaitable<Result<bool>> ReadBody(BodySink aSink)
  {
    std::array<char, 16384> bytes{};
    while (!mParser->is_done()) {
      auto& body = mParser->get().body();
      body.data = bytes.data();
      body.size = bytes.size();
      ErrorCode error;
      co_await beast::http::async_read_some(
        mConnection.mStream,
        mConnection.mBuffer,
        *mParser,
        asio::redirect_error(asio::use_awaitable, error));
      if (error == beast::http::error::need_buffer) {
        error = {};
      }
      if (!error && !mParser->is_done() && IsExpired()) {
        error = beast::error::timeout;
      }
      const std::string_view piece(bytes.data(), bytes.size() - body.size);
      const BodySinkResult result =
        piece.empty() ? BodySinkResult::NoProgress : aSink(piece);
      if (result == BodySinkResult::Cancel) {
        co_return CanceledError();
      }
      if (result == BodySinkResult::Progress) {
        RestartIdleTimeout();
      }
      if (error) {
        mError = error;
        co_return UnlessAborted(error == beast::error::timeout
                                  ? TransferError(mEndpoint, error)
                                  : IncompleteResponse(mEndpoint));
      }
    }
    co_return true;
  }

  /// Whether the connection can be used again. A body that the status rules out
  /// may still follow.
  bool KeepAlive() const
  {
    const auto& message = mParser->get();
    return mParser->keep_alive() &&
           !(NeverHasBody(message.result_int()) && HasBodyFields(message));
  }
  /// The error that ended the response early.
  const ErrorCode& LastError() const { return mError; }
  bool GotSome() const { return mParser && mParser->got_some(); }

private:
  void RestartIdleTimeout()
  {
    if (mOptions.mIdleTimeout.count() > 0) {
      mExpiry =
        std::min(mOptions.mDeadline,
                 std::chrono::steady_clock::now() + mOptions.mIdleTimeout);
      mConnection.mStream.expires_at(mExpiry);
    }
  }

  /// Beast ends a read that waits when its time is up, but not reads that
  /// always find bytes.
  bool IsExpired() const { return std::chrono::steady_clock::now() >= mExpiry; }

  /// Returns aError, or Canceled if the error comes from CancelHandle, which
  /// closes the connection.
  Error UnlessAborted(Error aError) const
  {
    const bool canceled = mOptions.mCancel && mOptions.mCancel->IsCanceled();
    return canceled ? CanceledError() : std::move(aError);
  }

  Connection& mConnection;
  Endpoint mEndpoint;
  const CallOptions& mOptions;
  size_t mMaxBodyBytes;
  bool mIsHead;
  SteadyTime mExpiry;
  ErrorCode mError;
  std::optional<beast::http::response_parser<beast::http::buffer_body>> mParser;
};

/// Makes a sink that collects a body, and reports aResult for each piece.
BodySink CollectIn(BudgetedBuffer& aBuffer, BodySinkResult aResult)
{
  return [&aBuffer, aResult](std::string_view aPiece) {
    return aBuffer.Append(aPiece) ? aResult : BodySinkResult::Cancel;
  };
}

} // namespace

struct Client::State
{
  asio::any_io_executor mExecutor;
  ClientOptions mOptions;
  ConnectionPool mPool{ mOptions };

  /// Drops idle connections if the error of a call shows that those to the
  /// endpoint may have gone silent.
  void CheckSilence(const Endpoint& aEndpoint,
                    SteadyTime aSentAt,
                    const ErrorCode& aError,
                    bool aGotSome)
  {
    const bool deadlineExceeded = aError == beast::error::timeout && !aGotSome;
    if (IsUnacknowledged(aError) ||
        (deadlineExceeded && mOptions.mDeadlineShowsSilence)) {
      mPool.DropUnusedSince(aEndpoint, aSentAt);
    }
  }

  Awaitable<Result<ConnectionPtr>> Connect(const Endpoint& aEndpoint,
                                           const CallOptions& aOptions)
  {
    if (!aOptions.mFreshConnection) {
      if (ConnectionPtr idle = mPool.Take(aEndpoint)) {
        co_return idle;
      }
    }
    if (aOptions.mOpenConnectionOnly) {
      co_return NoOpenConnection(aEndpoint);
    }
    auto connection = std::make_unique<Connection>(mExecutor);
    ErrorCode error;
    const auto address = asio::ip::make_address(aEndpoint.mAddress, error);
    if (error) {
      co_return ConnectError(aEndpoint, error);
    }
    if (!mOptions.mLocalAddress.empty()) {
      auto& socket = connection->mStream.socket();
      const auto local = asio::ip::make_address(mOptions.mLocalAddress, error);
      if (!error) {
        socket.open(Tcp::endpoint(local, 0).protocol(), error);
      }
      if (!error) {
        socket.bind(Tcp::endpoint(local, 0), error);
      }
      if (error) {
        co_return ConnectError(aEndpoint, error);
      }
    }
    const SteadyTime connectDeadline =
      std::chrono::steady_clock::now() + mOptions.mConnectTimeout;
    connection->mStream.expires_at(
      std::min(connectDeadline, aOptions.mDeadline));
    co_await connection->mStream.async_connect(
      Tcp::endpoint(address, aEndpoint.mPort),
      asio::redirect_error(asio::use_awaitable, error));
    if (mOptions.mOnConnect) {
      mOptions.mOnConnect(aEndpoint, !error);
    }
    if (error) {
      const bool deadlineExceeded =
        std::chrono::steady_clock::now() >= aOptions.mDeadline;
      Error failure = ConnectError(aEndpoint, error);
      failure.mKind =
        deadlineExceeded ? ErrorKind::DeadlineExceeded : ErrorKind::Unavailable;
      co_return failure;
    }
    Tcp::socket& socket = connection->mStream.socket();
    socket.set_option(Tcp::no_delay(true), error);
    if (mOptions.mKeepAliveInterval.count() > 0) {
      connection->EnableKeepAlive(mOptions.mKeepAliveInterval);
    }
    co_return connection;
  }

  /// Gives up the body of the request once it is sent.
  Awaitable<Result<ConnectionPtr>> Send(const Endpoint& aEndpoint,
                                        Request& aRequest,
                                        const CallOptions& aOptions)
  {
    if (auto reason = FindInvalidPart(aRequest)) {
      co_return InvalidRequest(std::move(*reason));
    }
    auto connected = co_await Connect(aEndpoint, aOptions);
    if (connected.has_error()) {
      co_return connected.error();
    }
    if (aOptions.mCancel && aOptions.mCancel->IsCanceled()) {
      co_return CanceledError(Execution::NotRun);
    }
    Connection& connection = **connected;
    connection.SetAcknowledgementTimeout(
      aOptions.mAcknowledgementTimeout.count() > 0
        ? aOptions.mAcknowledgementTimeout
        : mOptions.mAcknowledgementTimeout);
    const auto message = ToMessage(aEndpoint, aRequest);
    const SteadyTime sentAt = std::chrono::steady_clock::now();
    connection.mStream.expires_at(aOptions.mDeadline);
    ErrorCode error;
    co_await beast::http::async_write(
      connection.mStream,
      message,
      asio::redirect_error(asio::use_awaitable, error));
    aRequest.mBody.Reset();
    if (error) {
      CheckSilence(aEndpoint, sentAt, error, false);
      co_return TransferError(aEndpoint, error);
    }
    co_return std::move(*connected);
  }
};

std::unique_ptr<Client> Client::Create(asio::any_io_executor aExecutor,
                                       ClientOptions aOptions)
{
  auto state = std::make_shared<State>();
  state->mExecutor = std::move(aExecutor);
  state->mOptions = std::move(aOptions);
  return std::unique_ptr<Client>(new Client(std::move(state)));
}

Client::Client(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

Client::~Client() = default;

size_t Client::DropEndedConnections()
{
  return mState->mPool.DropEnded();
}

Awaitable<Result<bool>> Client::OpenConnection(
  Endpoint aEndpoint,
  std::chrono::milliseconds aTimeout)
{
  const std::shared_ptr<State> state = mState;
  CallOptions options;
  options.mDeadline = std::chrono::steady_clock::now() + aTimeout;
  options.mFreshConnection = true;
  auto connected = co_await state->Connect(aEndpoint, options);
  if (connected.has_error()) {
    co_return connected.error();
  }
  (*connected)
    ->SetAcknowledgementTimeout(state->mOptions.mAcknowledgementTimeout);
  state->mPool.Return(aEndpoint, std::move(*connected));
  co_return true;
}

Awaitable<Result<Response>> Client::Call(Endpoint aEndpoint,
                                         Request aRequest,
                                         CallOptions aOptions)
{
  const std::shared_ptr<State> state = mState;
  BudgetedBuffer body(state->mOptions.mResponses.mBudget);
  const BodySink collect = CollectIn(body, BodySinkResult::Progress);
  auto streamed = co_await Stream(
    std::move(aEndpoint), std::move(aRequest), aOptions, collect);
  if (body.LimitExceeded()) {
    co_return BufferLimitExceeded();
  }
  if (streamed.has_value() && streamed->mStatus == kStreamedStatus) {
    streamed->mBody = body.Release();
  }
  co_return streamed;
}

Awaitable<Result<Response>> Client::Stream(Endpoint aEndpoint,
                                           Request aRequest,
                                           CallOptions aOptions,
                                           BodySink aSink)
{
  const std::shared_ptr<State> state = mState;
  const SteadyTime startedAt = std::chrono::steady_clock::now();
  auto sent = co_await state->Send(aEndpoint, aRequest, aOptions);
  if (sent.has_error()) {
    co_return sent.error();
  }
  ConnectionPtr connection = std::move(*sent);
  const std::shared_ptr<CancelHandle> cancel = aOptions.mCancel;
  if (cancel && cancel->IsCanceled()) {
    co_return CanceledError();
  }
  if (cancel) {
    cancel->mClose = [stream = &connection->mStream] { stream->close(); };
  }
  const std::shared_ptr<void> clearCancelHandle(nullptr, [cancel](void*) {
    if (cancel) {
      cancel->mClose = nullptr;
    }
  });
  ResponseReader reader(*connection,
                        aEndpoint,
                        aOptions,
                        state->mOptions.mResponses.mMaxBodyBytes,
                        aRequest.mMethod == "HEAD");
  auto response = co_await reader.ReadHeader();
  if (response.has_error()) {
    state->CheckSilence(
      aEndpoint, startedAt, reader.LastError(), reader.GotSome());
    co_return response;
  }
  if (aOptions.mOnHeader && !aOptions.mOnHeader(*response)) {
    co_return CanceledError();
  }
  BudgetedBuffer errorBody(state->mOptions.mResponses.mBudget);
  const bool failed = response->mStatus != kStreamedStatus;
  if (failed) {
    aSink = CollectIn(errorBody, BodySinkResult::NoProgress);
  }
  const auto read = co_await reader.ReadBody(std::move(aSink));
  if (errorBody.LimitExceeded()) {
    co_return BufferLimitExceeded();
  }
  if (failed) {
    response->mBody = errorBody.Release();
  }
  if (read.has_error()) {
    state->CheckSilence(
      aEndpoint, startedAt, reader.LastError(), reader.GotSome());
    co_return read.error();
  }
  if (reader.KeepAlive()) {
    connection->mIdleConnectionTimeout = KeepAliveTimeout(*response);
    state->mPool.Return(aEndpoint, std::move(connection));
  }
  co_return response;
}

} // namespace agatetide::http
