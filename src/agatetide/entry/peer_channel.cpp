#include "agatetide/entry/peer_channel.hpp"

namespace agatetide::entry {

using namespace coordination;

namespace {

constexpr std::string_view kWatchTarget = "/watch";
constexpr std::string_view kContentType = "application/octet-stream";
constexpr unsigned kOk = 200;
constexpr size_t kMaxConnections = 256;
/// Daemons of one availability zone answer within milliseconds.
constexpr std::chrono::milliseconds kConnectTimeout{ 300 };

} // namespace

PeerChannel::PeerChannel(std::unique_ptr<http::Client> aClient,
                         ServePeer aServe)
  : mClient(std::move(aClient))
  , mServe(std::move(aServe))
{
}

Result<std::unique_ptr<PeerChannel>> PeerChannel::Create(
  boost::asio::any_io_executor aExecutor,
  const http::Endpoint& aListen,
  ServePeer aServe)
{
  http::ClientOptions client;
  client.mConnectTimeout = kConnectTimeout;
  std::unique_ptr<PeerChannel> channel(new PeerChannel(
    http::Client::Create(aExecutor, client), std::move(aServe)));
  if (aListen.mPort == 0) {
    return channel;
  }
  http::ServerOptions options;
  options.mAddress = aListen.mAddress;
  options.mPort = aListen.mPort;
  options.mMaxConnections = kMaxConnections;
  auto server =
    http::Server::Create(std::move(aExecutor),
                         options,
                         [self = channel.get()](http::Request aRequest) {
                           return self->Handle(std::move(aRequest));
                         });
  if (server.has_error()) {
    return server.error();
  }
  channel->mServer = std::move(*server);
  return channel;
}

Awaitable<http::Response> PeerChannel::Handle(http::Request aRequest)
{
  auto request = DecodePeerWatchRequest(aRequest.mBody);
  if (request.has_error()) {
    co_return http::MakeErrorResponse(request.error(), {});
  }
  const auto reply = co_await mServe(std::move(*request));
  if (reply.has_error()) {
    co_return http::MakeErrorResponse(reply.error(), {});
  }
  co_return http::MakeResponse(kOk, kContentType, Encode(*reply));
}

Awaitable<Result<PeerWatchReply>> PeerChannel::Ask(http::Endpoint aPeer,
                                                   PeerWatchRequest aRequest,
                                                   Milliseconds aTimeout)
{
  http::Request request;
  request.mTarget = kWatchTarget;
  request.mBody = Encode(aRequest);
  request.mHeaders.push_back({ "content-type", std::string(kContentType) });
  http::CallOptions options;
  options.mDeadline = std::chrono::steady_clock::now() + aTimeout;
  const auto answer = co_await mClient->Call(
    std::move(aPeer), std::move(request), std::move(options));
  if (answer.has_error()) {
    co_return answer.error();
  }
  if (answer->mStatus != kOk) {
    co_return http::ParseErrorResponse(*answer);
  }
  co_return DecodePeerWatchReply(answer->mBody);
}

} // namespace agatetide::entry
