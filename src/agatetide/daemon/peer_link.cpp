#include "agatetide/daemon/peer_link.hpp"

#include "agatetide/base/task.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <optional>

namespace agatetide::daemon {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using coordination::Datagram;
using coordination::PeerReply;
using coordination::PeerRequest;
using ErrorCode = boost::system::error_code;

namespace {

constexpr size_t kMaxDatagramBytes = 65507;
constexpr uint32_t kMaxFrameBytes = 16U << 20U;
constexpr size_t kMaxConnections = 1024;
constexpr std::chrono::seconds kFrameTimeout{ 10 };
/// Time after an error of the system, which may last.
constexpr std::chrono::milliseconds kErrorPause{ 50 };

Error Unreachable(const std::string& aAddress, const std::string& aReason)
{
  return {
    ErrorKind::Unavailable,
    "cannot reach daemon " + aAddress + ": " + aReason,
    "check that the daemon runs and that its daemon address is reachable",
    Execution::NotRun
  };
}

Error NoReply(const std::string& aAddress)
{
  return { ErrorKind::OutcomeUnknown,
           "no reply from daemon " + aAddress,
           "repeat the request if it is idempotent",
           Execution::Unknown };
}

Awaitable<void> Pause(asio::any_io_executor aExecutor)
{
  asio::steady_timer timer(aExecutor, kErrorPause);
  ErrorCode ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Awaitable<bool> WriteFrame(boost::beast::tcp_stream& aStream,
                           const std::string& aBytes)
{
  const auto size = static_cast<uint32_t>(aBytes.size());
  const std::array<unsigned char, 4> length{
    static_cast<unsigned char>(size >> 24U),
    static_cast<unsigned char>(size >> 16U),
    static_cast<unsigned char>(size >> 8U),
    static_cast<unsigned char>(size)
  };
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(length),
                                                   asio::buffer(aBytes) };
  ErrorCode error;
  co_await asio::async_write(
    aStream, buffers, asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

Awaitable<std::optional<std::string>> ReadFrame(
  boost::beast::tcp_stream& aStream)
{
  std::array<unsigned char, 4> length{};
  ErrorCode error;
  co_await asio::async_read(aStream,
                            asio::buffer(length),
                            asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return std::nullopt;
  }
  const uint32_t size = (uint32_t{ length[0] } << 24U) |
                        (uint32_t{ length[1] } << 16U) |
                        (uint32_t{ length[2] } << 8U) | uint32_t{ length[3] };
  if (size > kMaxFrameBytes) {
    co_return std::nullopt;
  }
  std::string bytes(size, '\0');
  co_await asio::async_read(aStream,
                            asio::buffer(bytes),
                            asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return std::nullopt;
  }
  co_return bytes;
}

} // namespace

struct PeerLink::State : std::enable_shared_from_this<PeerLink::State>
{
  State(asio::any_io_executor aExecutor,
        const Settings& aSettings,
        PeerLinkHooks aHooks)
    : mUdp(aExecutor)
    , mAcceptor(aExecutor)
    , mSource(asio::ip::make_address(aSettings.mDaemonListen.mAddress), 0)
    , mSecret(aSettings.mClusterSecret)
    , mHooks(std::move(aHooks))
  {
  }

  ErrorCode Open(const http::Endpoint& aEndpoint)
  {
    ErrorCode error;
    const auto address = asio::ip::make_address(aEndpoint.mAddress, error);
    const tcp::endpoint tcpEndpoint(address, aEndpoint.mPort);
    mAcceptor.open(tcpEndpoint.protocol(), error);
    mAcceptor.set_option(asio::socket_base::reuse_address(true), error);
    mAcceptor.bind(tcpEndpoint, error);
    if (!error) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return error;
    }
    const udp::endpoint udpEndpoint(address, aEndpoint.mPort);
    mUdp.open(udpEndpoint.protocol(), error);
    mUdp.bind(udpEndpoint, error);
    mUdp.non_blocking(true);
    return error;
  }

  Awaitable<void> ReceiveDatagrams()
  {
    const auto self = shared_from_this();
    std::string buffer(kMaxDatagramBytes, '\0');
    while (!mClosed) {
      ErrorCode error;
      udp::endpoint from;
      const size_t size = co_await mUdp.async_receive_from(
        asio::buffer(buffer),
        from,
        asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) {
        co_return;
      }
      if (error) {
        // An ICMP error for an earlier datagram, or one of the system.
        co_await Pause(mUdp.get_executor());
        continue;
      }
      const auto datagram = coordination::DecodeMessage<Datagram>(
        std::string_view(buffer).substr(0, size), mSecret);
      if (datagram.has_error()) {
        ++mCounters.mDatagramsInvalid;
        continue;
      }
      ++mCounters.mDatagramsReceived;
      try {
        mHooks.mOnDatagram(*datagram);
      } catch (const std::exception&) {
        ++mCounters.mDatagramsInvalid;
      }
    }
  }

  Awaitable<void> AcceptPeers()
  {
    const auto self = shared_from_this();
    while (!mClosed) {
      ErrorCode error;
      tcp::socket socket = co_await mAcceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) {
        co_return;
      }
      if (error) {
        // For example out of file descriptors: waits until some are closed.
        co_await Pause(mAcceptor.get_executor());
        continue;
      }
      if (mConnections >= kMaxConnections) {
        continue;
      }
      asio::co_spawn(
        mAcceptor.get_executor(),
        ServePeer(self, boost::beast::tcp_stream(std::move(socket))),
        LogFailure("serve_peer"));
    }
  }

  /// Calls the request handler. Returns std::nullopt if it throws, for example
  /// on a body from another version of the daemon; the exception must not end
  /// the process.
  static Awaitable<std::optional<PeerReply>> HandleRequest(State& aSelf,
                                                           PeerRequest aRequest)
  {
    try {
      co_return co_await aSelf.mHooks.mOnRequest(std::move(aRequest));
    } catch (const std::exception&) {
      ++aSelf.mCounters.mRequestsInvalid;
    }
    co_return std::nullopt;
  }

  static Awaitable<void> ServePeer(std::shared_ptr<State> aSelf,
                                   boost::beast::tcp_stream aStream)
  {
    ++aSelf->mConnections;
    aStream.expires_after(kFrameTimeout);
    const auto frame = co_await ReadFrame(aStream);
    if (!frame) {
      // The connection was closed, was too slow or sent too long a frame.
      ++aSelf->mCounters.mRequestsInvalid;
    } else {
      auto request =
        coordination::DecodeMessage<PeerRequest>(*frame, aSelf->mSecret);
      if (request.has_error()) {
        ++aSelf->mCounters.mRequestsInvalid;
      } else {
        ++aSelf->mCounters.mRequests;
        aStream.expires_never();
        const auto reply = co_await HandleRequest(*aSelf, std::move(*request));
        aStream.expires_after(kFrameTimeout);
        const std::string bytes =
          reply ? coordination::EncodeMessage(*reply, aSelf->mSecret) : "";
        if (reply && co_await WriteFrame(aStream, bytes)) {
          aSelf->mCounters.mBytesSent += bytes.size();
        }
      }
    }
    --aSelf->mConnections;
  }

  udp::socket mUdp;
  tcp::acceptor mAcceptor;
  /// Outgoing connections use the listening address as their source, as
  /// datagrams do, so that peers and firewalls see one address for each daemon.
  tcp::endpoint mSource;
  std::string mSecret;
  PeerLinkHooks mHooks;
  PeerLinkCounters mCounters;
  size_t mConnections = 0;
  bool mClosed = false;
};

Result<std::unique_ptr<PeerLink>> PeerLink::Create(
  asio::any_io_executor aExecutor,
  const Settings& aSettings,
  PeerLinkHooks aHooks)
{
  auto state =
    std::make_shared<State>(std::move(aExecutor), aSettings, std::move(aHooks));
  const ErrorCode error = state->Open(aSettings.mDaemonListen);
  if (error) {
    return Error{
      ErrorKind::Unavailable,
      "cannot listen on " + aSettings.mDaemonListen.mAddress + ":" +
        std::to_string(aSettings.mDaemonListen.mPort) + ": " + error.message(),
      "stop the process that uses the address or change listen.daemons"
    };
  }
  return std::unique_ptr<PeerLink>(new PeerLink(std::move(state)));
}

PeerLink::PeerLink(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

PeerLink::~PeerLink()
{
  mState->mClosed = true;
  ErrorCode ignored;
  mState->mUdp.close(ignored);
  mState->mAcceptor.close(ignored);
}

void PeerLink::Start()
{
  const auto executor = mState->mUdp.get_executor();
  SpawnSupervised(executor, "receive_datagrams", [state = mState] {
    return state->ReceiveDatagrams();
  });
  SpawnSupervised(executor, "accept_peers", [state = mState] {
    return state->AcceptPeers();
  });
}

void PeerLink::SendDatagram(const std::string& aAddress,
                            const Datagram& aDatagram)
{
  const auto endpoint = http::ParseEndpoint(aAddress);
  if (endpoint.has_error()) {
    return;
  }
  const std::string bytes =
    coordination::EncodeMessage(aDatagram, mState->mSecret);
  ErrorCode error;
  const auto address = asio::ip::make_address(endpoint->mAddress, error);
  mState->mUdp.send_to(
    asio::buffer(bytes), udp::endpoint(address, endpoint->mPort), 0, error);
  ++mState->mCounters.mDatagramsSent;
  mState->mCounters.mBytesSent += bytes.size();
}

Awaitable<Result<PeerReply>> PeerLink::SendRequest(
  std::string aAddress,
  PeerRequest aRequest,
  std::chrono::steady_clock::time_point aDeadline)
{
  const auto state = mState;
  const auto endpoint = http::ParseEndpoint(aAddress);
  if (endpoint.has_error()) {
    co_return endpoint.error();
  }
  boost::beast::tcp_stream stream(state->mUdp.get_executor());
  stream.expires_at(aDeadline);
  ErrorCode error;
  const auto address = asio::ip::make_address(endpoint->mAddress, error);
  stream.socket().open(state->mSource.protocol(), error);
  stream.socket().bind(state->mSource, error);
  if (error) {
    co_return Unreachable(aAddress, error.message());
  }
  co_await stream.async_connect(
    tcp::endpoint(address, endpoint->mPort),
    asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return Unreachable(aAddress, error.message());
  }
  const std::string bytes =
    coordination::EncodeMessage(aRequest, state->mSecret);
  state->mCounters.mBytesSent += bytes.size();
  if (!co_await WriteFrame(stream, bytes)) {
    co_return NoReply(aAddress);
  }
  const auto frame = co_await ReadFrame(stream);
  if (!frame) {
    co_return NoReply(aAddress);
  }
  co_return coordination::DecodeMessage<PeerReply>(*frame, state->mSecret);
}

const PeerLinkCounters& PeerLink::Counters() const
{
  return mState->mCounters;
}

} // namespace agatetide::daemon
