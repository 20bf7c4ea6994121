#include "agatetide/http/client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>
#include <deque>
#include <map>
#include <optional>

namespace agatetide::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

/// Received bytes that are not parsed yet.
constexpr size_t kMaxBufferBytes = size_t{ 256 } << 10U;
/// Interim answers before the final one.
constexpr unsigned kMaxInterimAnswers = 8;
constexpr unsigned kFirstFinalStatus = 200;
/// Bodies of other answers are collected and not passed on in pieces.
constexpr unsigned kStreamedStatus = 200;

struct Connection
{
  explicit Connection(const asio::any_io_executor& aExecutor)
    : mStream(aExecutor)
  {
  }

  beast::tcp_stream mStream;
  /// A head or a chunk's header that does not fit ends the call.
  beast::flat_buffer mBuffer{ kMaxBufferBytes };
  SteadyTime mIdleSince{};
  /// From the server's "keep-alive: timeout"; the longest time otherwise.
  std::chrono::milliseconds mIdleConnectionTimeout = std::chrono::hours(1);
};

using ConnectionPtr = std::unique_ptr<Connection>;

Error NotSent(const Endpoint& aEndpoint, const ErrorCode& aError)
{
  const bool late = aError == beast::error::timeout;
  return { late ? ErrorKind::DeadlineExceeded : ErrorKind::Unavailable,
           "cannot reach " + aEndpoint.mAddress + ":" +
             std::to_string(aEndpoint.mPort) + ": " + aError.message(),
           "check that the process is running, or use another address",
           Execution::NotRun };
}

Error Interrupted(const Endpoint& aEndpoint, const ErrorCode& aError)
{
  const bool late = aError == beast::error::timeout;
  return { late ? ErrorKind::DeadlineExceeded : ErrorKind::OutcomeUnknown,
           "no whole answer from " + aEndpoint.mAddress + ":" +
             std::to_string(aEndpoint.mPort) + ": " + aError.message(),
           "the request may have run; repeat it only if it is idempotent",
           Execution::Unknown };
}

Error CanceledCall()
{
  return {
    ErrorKind::Canceled, "the call was canceled", "none", Execution::Unknown
  };
}

Error CutAnswer(const Endpoint& aEndpoint)
{
  return { ErrorKind::DataLoss,
           "the answer from " + aEndpoint.mAddress + ":" +
             std::to_string(aEndpoint.mPort) + " was cut",
           "the request may have run; repeat it only if it is idempotent",
           Execution::Unknown };
}

beast::http::request<beast::http::string_body> ToMessage(
  const Endpoint& aEndpoint,
  Request& aRequest)
{
  beast::http::request<beast::http::string_body> message;
  message.version(11);
  message.method_string(aRequest.mMethod);
  message.target(aRequest.mTarget);
  message.set(beast::http::field::host,
              aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort));
  for (const Header& header : aRequest.mHeaders) {
    message.set(header.mName, header.mValue);
  }
  message.body() = std::move(aRequest.mBody);
  message.keep_alive(true);
  message.prepare_payload();
  return message;
}

template<class Fields>
Response HeaderOf(const Fields& aMessage)
{
  Response response;
  response.mStatus = aMessage.result_int();
  for (const auto& field : aMessage) {
    response.mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return response;
}

/// How long the server keeps an idle connection, less a margin for a request
/// that is under way when the time ends.
std::chrono::milliseconds IdleTimeOf(const Response& aResponse)
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

Error TooMuchHeld()
{
  return { ErrorKind::ResourceExhausted,
           "the answers being read take too much memory",
           "send fewer requests at once, or allow more memory",
           Execution::Unknown };
}

/// Reads one answer from a connection. Its bytes are not trusted: memory and
/// time are limited whatever arrives.
class AnswerReader
{
public:
  AnswerReader(Connection& aConnection,
               Endpoint aEndpoint,
               const CallOptions& aOptions,
               size_t aMaxBodyBytes,
               bool aIsHead)
    : mConnection(aConnection)
    , mEndpoint(std::move(aEndpoint))
    , mOptions(aOptions)
    , mMaxBodyBytes(aMaxBodyBytes)
    , mIsHead(aIsHead)
  {
    Progress();
  }

  /// The status and the header of the final answer.
  Awaitable<Result<Response>> ReadHeader()
  {
    for (unsigned answers = 0; answers <= kMaxInterimAnswers; ++answers) {
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
        co_return Failure(Interrupted(mEndpoint, error));
      }
      if (mParser->get().result_int() < kFirstFinalStatus) {
        continue;
      }
      if (mParser->get().need_eof() && !mOptions.mAllowCloseDelimited) {
        // Without a length or chunks, a cut answer looks like a whole one.
        co_return CutAnswer(mEndpoint);
      }
      Progress();
      co_return HeaderOf(mParser->get());
    }
    co_return CutAnswer(mEndpoint);
  }

  /// Passes the body on piece by piece.
  Awaitable<Result<bool>> ReadBody(BodySink aSink)
  {
    std::array<char, 16384> piece{};
    while (!mParser->is_done()) {
      auto& body = mParser->get().body();
      body.data = piece.data();
      body.size = piece.size();
      ErrorCode error;
      co_await beast::http::async_read_some(
        mConnection.mStream,
        mConnection.mBuffer,
        *mParser,
        asio::redirect_error(asio::use_awaitable, error));
      if (error == beast::http::error::need_buffer) {
        error = {};
      }
      const std::string_view part(piece.data(), piece.size() - body.size);
      const BodySinkResult step =
        part.empty() ? BodySinkResult::NoProgress : aSink(part);
      if (step == BodySinkResult::Cancel) {
        co_return CanceledCall();
      }
      if (step == BodySinkResult::Progress) {
        Progress();
      }
      if (error) {
        co_return Failure(error == beast::error::timeout
                            ? Interrupted(mEndpoint, error)
                            : CutAnswer(mEndpoint));
      }
    }
    co_return true;
  }

  bool KeepAlive() const { return mParser->keep_alive(); }

private:
  /// The idle timeout starts anew.
  void Progress()
  {
    if (mOptions.mIdleTimeout.count() > 0) {
      mConnection.mStream.expires_at(
        std::min(mOptions.mDeadline,
                 std::chrono::steady_clock::now() + mOptions.mIdleTimeout));
    }
  }

  /// An aborted call fails because its connection was closed.
  Error Failure(Error aError) const
  {
    const bool aborted = mOptions.mAbort && mOptions.mAbort->Requested();
    return aborted ? CanceledCall() : std::move(aError);
  }

  Connection& mConnection;
  Endpoint mEndpoint;
  const CallOptions& mOptions;
  size_t mMaxBodyBytes;
  bool mIsHead;
  std::optional<beast::http::response_parser<beast::http::buffer_body>> mParser;
};

/// A body that is collected in memory, within the limit of all of them.
class HeldBody
{
public:
  HeldBody(size_t& aHeldBytes, size_t aMaxHeldBytes)
    : mHeldBytes(aHeldBytes)
    , mMaxBufferedBytes(aMaxHeldBytes)
  {
  }
  ~HeldBody() { mHeldBytes -= mCounted; }
  HeldBody(const HeldBody&) = delete;
  HeldBody& operator=(const HeldBody&) = delete;

  BodySinkResult Take(std::string_view aPart)
  {
    mExhausted = mHeldBytes + aPart.size() > mMaxBufferedBytes;
    if (mExhausted) {
      return BodySinkResult::Cancel;
    }
    mBody.append(aPart);
    mCounted += aPart.size();
    mHeldBytes += aPart.size();
    return BodySinkResult::Progress;
  }

  bool Exhausted() const { return mExhausted; }
  std::string Release() { return std::move(mBody); }

private:
  size_t& mHeldBytes;
  size_t mMaxBufferedBytes;
  std::string mBody;
  size_t mCounted = 0;
  bool mExhausted = false;
};

/// Whether an idle connection is still open and silent. A server that closed
/// it, or sent something unasked, must not get a further request.
bool Usable(Connection& aConnection)
{
  ErrorCode error;
  auto& socket = aConnection.mStream.socket();
  char byte = 0;
  socket.non_blocking(true, error);
  socket.receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace

struct Client::State
{
  asio::any_io_executor mExecutor;
  ClientOptions mOptions;
  std::map<std::string, std::deque<ConnectionPtr>> mIdle;
  /// Bytes of bodies that running calls have collected.
  size_t mHeldBytes = 0;

  static std::string Key(const Endpoint& aEndpoint)
  {
    return aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort);
  }

  ConnectionPtr TakeIdle(const Endpoint& aEndpoint)
  {
    const auto found = mIdle.find(Key(aEndpoint));
    if (found == mIdle.end()) {
      return nullptr;
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    while (!found->second.empty()) {
      ConnectionPtr connection = std::move(found->second.back());
      found->second.pop_back();
      if (now - connection->mIdleSince <
            std::min(mOptions.mIdleConnectionTimeout,
                     connection->mIdleConnectionTimeout) &&
          Usable(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  void Keep(const Endpoint& aEndpoint, ConnectionPtr aConnection)
  {
    auto& idle = mIdle[Key(aEndpoint)];
    if (idle.size() < mOptions.mMaxIdleConnections &&
        aConnection->mBuffer.size() == 0) {
      aConnection->mStream.expires_never();
      aConnection->mIdleSince = std::chrono::steady_clock::now();
      idle.push_back(std::move(aConnection));
    }
  }

  Awaitable<Result<ConnectionPtr>> Connect(const Endpoint& aEndpoint,
                                           const CallOptions& aOptions)
  {
    if (!aOptions.mFreshConnection) {
      if (ConnectionPtr idle = TakeIdle(aEndpoint)) {
        co_return idle;
      }
    }
    auto connection = std::make_unique<Connection>(mExecutor);
    ErrorCode error;
    const auto address = asio::ip::make_address(aEndpoint.mAddress, error);
    if (error) {
      co_return NotSent(aEndpoint, error);
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
        co_return NotSent(aEndpoint, error);
      }
    }
    const SteadyTime limit =
      std::chrono::steady_clock::now() + mOptions.mConnectTimeout;
    connection->mStream.expires_at(std::min(limit, aOptions.mDeadline));
    co_await connection->mStream.async_connect(
      Tcp::endpoint(address, aEndpoint.mPort),
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      const bool deadline =
        std::chrono::steady_clock::now() >= aOptions.mDeadline;
      Error failure = NotSent(aEndpoint, error);
      failure.mKind =
        deadline ? ErrorKind::DeadlineExceeded : ErrorKind::Unavailable;
      co_return failure;
    }
    connection->mStream.socket().set_option(Tcp::no_delay(true), error);
    co_return connection;
  }

  Awaitable<Result<ConnectionPtr>> Send(const Endpoint& aEndpoint,
                                        Request& aRequest,
                                        const CallOptions& aOptions)
  {
    auto connected = co_await Connect(aEndpoint, aOptions);
    if (connected.has_error()) {
      co_return connected.error();
    }
    Connection& connection = **connected;
    const auto message = ToMessage(aEndpoint, aRequest);
    connection.mStream.expires_at(aOptions.mDeadline);
    ErrorCode error;
    co_await beast::http::async_write(
      connection.mStream,
      message,
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return Interrupted(aEndpoint, error);
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

Awaitable<Result<Response>> Client::Call(Endpoint aEndpoint,
                                         Request aRequest,
                                         CallOptions aOptions)
{
  const std::shared_ptr<State> state = mState;
  HeldBody body(state->mHeldBytes, state->mOptions.mMaxBufferedBytes);
  const BodySink collect = [&](std::string_view aPart) {
    return body.Take(aPart);
  };
  auto streamed = co_await Stream(
    std::move(aEndpoint), std::move(aRequest), aOptions, collect);
  if (body.Exhausted()) {
    co_return TooMuchHeld();
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
  auto sent = co_await state->Send(aEndpoint, aRequest, aOptions);
  if (sent.has_error()) {
    co_return sent.error();
  }
  ConnectionPtr connection = std::move(*sent);
  const std::shared_ptr<AbortHandle> abort = aOptions.mAbort;
  if (abort && abort->Requested()) {
    co_return CanceledCall();
  }
  if (abort) {
    abort->mClose = [stream = &connection->mStream] { stream->close(); };
  }
  const std::shared_ptr<void> forgetConnection(nullptr, [abort](void*) {
    if (abort) {
      abort->mClose = nullptr;
    }
  });
  AnswerReader reader(*connection,
                      aEndpoint,
                      aOptions,
                      state->mOptions.mMaxBodyBytes,
                      aRequest.mMethod == "HEAD");
  auto response = co_await reader.ReadHeader();
  if (response.has_error()) {
    co_return response;
  }
  if (aOptions.mOnHeader && !aOptions.mOnHeader(*response)) {
    co_return CanceledCall();
  }
  HeldBody failure(state->mHeldBytes, state->mOptions.mMaxBufferedBytes);
  const bool failed = response->mStatus != kStreamedStatus;
  if (failed) {
    aSink = [&](std::string_view aPart) {
      const BodySinkResult step = failure.Take(aPart);
      return step == BodySinkResult::Cancel ? step : BodySinkResult::NoProgress;
    };
  }
  const auto read = co_await reader.ReadBody(std::move(aSink));
  if (failure.Exhausted()) {
    co_return TooMuchHeld();
  }
  if (failed) {
    response->mBody = failure.Release();
  }
  if (read.has_error()) {
    co_return read.error();
  }
  if (reader.KeepAlive()) {
    connection->mIdleConnectionTimeout = IdleTimeOf(*response);
    state->Keep(aEndpoint, std::move(connection));
  }
  co_return response;
}

} // namespace agatetide::http
